"""Exchange of evidence and stages of roll-outs between VMs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import suppress

import msgspec

from .._decoding import DECODING_ERRORS
from .._ports import Clock
from .._reports._section import Reporter
from ._book import RolloutBook
from ._evidence import NO_COUNTS, Cell, Counts
from ._model import Stage
from ._rollout import Rollout

SECTION_NAME = 'rollouts'
# A report without news is repeated, since an earlier one may have been lost.
_REPEAT_INTERVAL_S = 1.0
_ROWS_PER_PIECE = 10


class _Row(msgspec.Struct, array_like=True, frozen=True):
    route: str
    server: str
    is_new: bool
    # Without the zeros at the end.
    counts: list[int]


class RolloutPiece(msgspec.Struct, array_like=True, frozen=True):
    """Part of what one process knows of one roll-out.

    Parameters:
        target: the new version.
        elapsed_s: seconds since the order.
        stage: stage that the VM announces.
        sent: its attempts at the service so far.
        sent_new: those of them at the new version.
        rows: totals of its outcomes by route and server.
        store_version: store version of the order that the process knows.
    """

    service: str
    target: str
    elapsed_s: float
    stage: int
    sent: int
    sent_new: int
    rows: list[_Row]
    store_version: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RolloutPiece)


class RolloutReports:
    """Section of the reports that tells of undecided roll-outs.

    Only roll-outs with news, or with a stage that this VM has decided on, are
    reported at each interval, the others once a second.
    """

    def __init__(self, book: RolloutBook, clock: Clock) -> None:
        """Initialize with the roll-outs of the book."""
        self._book = book
        self._clock = clock
        self._sent_at: dict[str, float] = {}
        self._sent_totals: dict[str, tuple[int, int]] = {}

    @property
    def name(self) -> str:
        """Name of the section on the wire."""
        return SECTION_NAME

    def compose(self) -> list[bytes]:
        """Return the pieces to send now, of roll-outs that are ordered."""
        now = self._clock.monotonic()
        pieces: list[bytes] = []
        for service, rollout in self._book.rollouts.items():
            if rollout.is_undecided and self._is_due(rollout, now):
                self._sent_at[service] = now
                self._sent_totals[service] = rollout.evidence.own_sent
                pieces.extend(map(_encoder.encode, _to_pieces(rollout)))
        return pieces

    def receive(self, reporter: Reporter, piece: bytes) -> None:
        """Take one piece; a piece that cannot be read is ignored."""
        with suppress(*DECODING_ERRORS):
            self._take(reporter, _decoder.decode(piece))

    def _take(self, reporter: Reporter, piece: RolloutPiece) -> None:
        rollout = self._book.rollouts.get(piece.service)
        if rollout is None or rollout.target != piece.target:
            if rollout is not None and rollout.order is not None:
                return
            rollout = self._book.of_target(piece.service, piece.target)
        if not rollout.hear_order(piece.store_version):
            return
        now = self._clock.monotonic()
        evidence = rollout.evidence
        evidence.merge_sent(reporter, piece.sent, piece.sent_new, now)
        evidence.merge_counts(reporter, _to_counts(piece.rows))
        rollout.hear_elapsed(piece.elapsed_s)
        if piece.stage in iter(Stage):
            rollout.hear_stage(reporter, Stage(piece.stage))

    def _is_due(self, rollout: Rollout, now: float) -> bool:
        if rollout.own_stage is not Stage.OBSERVING:
            return True
        service = rollout.service
        if self._sent_totals.get(service) != rollout.evidence.own_sent:
            return True
        return now - self._sent_at.get(service, 0) >= _REPEAT_INTERVAL_S


def _to_pieces(rollout: Rollout) -> Iterator[RolloutPiece]:
    rows = [
        _Row(cell.route, cell.server_id, cell.is_new, _trim(counts))
        for cell, counts in rollout.evidence.own_counts.items()
    ]
    sent, sent_new = rollout.evidence.own_sent
    for start in range(0, max(1, len(rows)), _ROWS_PER_PIECE):
        yield RolloutPiece(
            rollout.service,
            rollout.target,
            rollout.elapsed_s,
            rollout.announced_stage,
            sent,
            sent_new,
            rows[start : start + _ROWS_PER_PIECE],
            rollout.store_version,
        )


def _trim(counts: Counts) -> list[int]:
    trimmed = list(counts)
    while trimmed and not trimmed[-1]:
        trimmed.pop()
    return trimmed


def _to_counts(rows: Iterable[_Row]) -> Iterator[tuple[Cell, Counts]]:
    for row in rows:
        padded = (*row.counts, *NO_COUNTS)
        counts = padded[: len(NO_COUNTS)]
        yield Cell(row.route, row.server, row.is_new), counts
