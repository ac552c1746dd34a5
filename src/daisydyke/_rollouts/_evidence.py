"""Evidence on the versions of a service, summed over all VMs."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from operator import add, sub

from .._reports._section import Reporter

# Each bucket is wider than the previous one by the square root of two.
LATENCY_BUCKET_COUNT = 20
_FIRST_BUCKET_S = 0.001
_BUCKETS_PER_DOUBLING = 2


@dataclass(frozen=True, slots=True)
class Cell:
    """What one server answered on one route.

    Parameters:
        is_new: whether the server is of the version that is rolled out.
    """

    route: str
    server_id: str
    is_new: bool


# Failures, followed by the number of successes in each latency bucket.
Counts = tuple[int, ...]
NO_COUNTS: Counts = (0,) * (LATENCY_BUCKET_COUNT + 1)
CellCounts = Mapping[Cell, Counts]


def latency_bucket(seconds: float) -> int:
    """Return the index of the latency bucket, starting from 0."""
    if seconds <= _FIRST_BUCKET_S:
        return 0
    doublings = math.log2(seconds / _FIRST_BUCKET_S)
    index = math.ceil(doublings * _BUCKETS_PER_DOUBLING)
    return min(index, LATENCY_BUCKET_COUNT - 1)


def subtract(counts: CellCounts, earlier: CellCounts) -> dict[Cell, Counts]:
    """Return what has been added since an earlier state."""
    return {
        cell: _minus(total, earlier.get(cell, NO_COUNTS))
        for cell, total in counts.items()
    }


@dataclass(slots=True)
class _Totals:
    """Totals that one process has reported."""

    sent: int = 0
    sent_new: int = 0
    cells: dict[Cell, Counts] = field(default_factory=dict)
    heard_at: float = -math.inf


class RolloutEvidence:
    """Totals of all processes for one roll-out.

    Totals only grow, so that reports which are lost, repeated or out of order
    do no harm.

    Attributes:
        sent: attempts at the service, by all VMs as far as known.
        sent_new: those of them at servers of the new version.
    """

    def __init__(self, me: Reporter) -> None:
        """Initialize without evidence."""
        self._me = me
        self._by_reporter: dict[Reporter, _Totals] = {me: _Totals()}
        self._sum: dict[Cell, Counts] = {}
        self.sent = 0
        self.sent_new = 0

    @property
    def counts(self) -> dict[Cell, Counts]:
        """Counts of all processes together."""
        return dict(self._sum)

    @property
    def own_sent(self) -> tuple[int, int]:
        """Attempts of this process: all, and those at new servers."""
        own = self._by_reporter[self._me]
        return own.sent, own.sent_new

    @property
    def own_counts(self) -> CellCounts:
        """Counts of this process."""
        return self._by_reporter[self._me].cells

    def record_attempt(self, *, is_new: bool) -> None:
        """Count an attempt of this process."""
        sent, sent_new = self.own_sent
        self.merge_sent(self._me, sent + 1, sent_new + is_new, 0)

    def record_outcome(self, cell: Cell, index: int) -> None:
        """Count an outcome of this process.

        Parameters:
            index: 0 for a failure, else 1 plus the latency bucket.
        """
        counts = list(self.own_counts.get(cell, NO_COUNTS))
        counts[index] += 1
        self.merge_counts(self._me, ((cell, tuple(counts)),))

    def merge_sent(
        self, reporter: Reporter, sent: int, sent_new: int, now: float
    ) -> None:
        """Take the attempts that a process has counted so far."""
        totals = self._by_reporter.setdefault(reporter, _Totals())
        self.sent += max(0, sent - totals.sent)
        self.sent_new += max(0, sent_new - totals.sent_new)
        totals.sent = max(sent, totals.sent)
        totals.sent_new = max(sent_new, totals.sent_new)
        totals.heard_at = now

    def merge_counts(
        self, reporter: Reporter, rows: Iterable[tuple[Cell, Counts]]
    ) -> None:
        """Take the outcomes that a process has counted so far."""
        cells = self._by_reporter.setdefault(reporter, _Totals()).cells
        for cell, reported in rows:
            known = cells.get(cell, NO_COUNTS)
            merged = tuple(map(max, known, reported))
            cells[cell] = merged
            added = _minus(merged, known)
            self._sum[cell] = _plus(self._sum.get(cell, NO_COUNTS), added)

    def heard_since(self, since: float) -> set[str]:
        """Return the other VMs that have reported since a time."""
        heard = {
            reporter.vm
            for reporter, totals in self._by_reporter.items()
            if totals.heard_at >= since
        }
        return heard - {self._me.vm}


def _plus(left: Counts, right: Counts) -> Counts:
    return tuple(map(add, left, right))


def _minus(left: Counts, right: Counts) -> Counts:
    return tuple(map(sub, left, right))
