"""Loans to leaders, as a section of the reports between VMs."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from .._decoding import DECODING_ERRORS
from .._ports import Clock
from .._reports._section import Reporter
from ._lending import LOAN_INTERVAL_S, Lending
from ._messages import ClockAnswer, ClockRequest, Loan

# Reports are sent a little early or late.
_JITTER_SHARE = 0.25
_MINIMUM_GAP_S = LOAN_INTERVAL_S * (1 - _JITTER_SHARE)


class LoanSection:
    """Sends this VM's loans and records those of others.

    Parameters:
        lending: makes this VM's loans and records those of others.
        is_leaving: returns whether this VM is leaving.
    """

    name = 'quota-loans'

    def __init__(
        self,
        lending: Lending,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Initialize without loans."""
        self._lending = lending
        self._is_leaving = is_leaving
        self._clock = clock
        self._sent_at: float | None = None
        self._decoder = msgspec.msgpack.Decoder(Loan)
        self._clock_decoder = msgspec.msgpack.Decoder(
            ClockRequest | ClockAnswer
        )

    def compose(self) -> list[bytes]:
        """Return this VM's new loan, unless one was sent a short time ago."""
        now = self._clock.monotonic()
        if self._sent_at is not None and now - self._sent_at < _MINIMUM_GAP_S:
            return []
        self._sent_at = now
        loan = self._lending.renew(is_leaving=self._is_leaving())
        return [] if loan is None else [msgspec.msgpack.encode(loan)]

    def receive(self, reporter: Reporter, piece: bytes) -> bytes | None:
        """Record a loan; one that cannot be read is ignored.

        Returns:
            A question for the lender's clock if the loan seems late, or the
            answer to such a question.
        """
        try:
            loan = self._decoder.decode(piece)
        except DECODING_ERRORS:
            return self._receive_clock(reporter, piece)
        self._lending.record(reporter, loan)
        if not self._lending.seems_late(reporter.vm):
            return None
        return msgspec.msgpack.encode(ClockRequest(self._clock.monotonic()))

    def _receive_clock(self, reporter: Reporter, piece: bytes) -> bytes | None:
        try:
            message = self._clock_decoder.decode(piece)
        except DECODING_ERRORS:
            return None
        if isinstance(message, ClockRequest):
            now = self._clock.monotonic()
            return msgspec.msgpack.encode(ClockAnswer(message.asked_s, now))
        self._lending.record_clock(reporter, message)
        return None
