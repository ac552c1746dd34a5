"""Decision log with a limited rate of lines."""

from __future__ import annotations

from .._ports import Clock, DecisionLog

_ROUTINE_LINES_PER_S = 30.0
_NOTABLE_LINES_PER_S = 200.0
_BURST_S = 2.0
_REPORT_INTERVAL_S = 1.0
_ROUTINE_OUTCOMES = frozenset(('forwarded', 'merged', 'caller_left'))


class _TokenBucket:
    """Token bucket for lines; it is full after ``_BURST_S`` without lines."""

    def __init__(self, lines_per_s: float, now: float) -> None:
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s * _BURST_S
        self._refilled_at = now

    def take_token(self, now: float) -> bool:
        """Take the token for one line; return whether there was one."""
        earned = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._lines_per_s * _BURST_S, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LimitedDecisionLog:
    """Suppresses lines beyond a rate and reports how many.

    Lines of answered requests have a rate limit of their own, so that they
    cannot displace those of errors and refusals. The number of suppressed
    lines is written as ``log_left_out``, at most once per second, before the
    next line.

    Parameters:
        log: log to write to.
        clock: clock for the rates.

    Attributes:
        suppressed_lines: number of lines suppressed so far.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        """Initialize with full token buckets."""
        self._log = log
        self._clock = clock
        now = clock.monotonic()
        self._routine = _TokenBucket(_ROUTINE_LINES_PER_S, now)
        self._notable = _TokenBucket(_NOTABLE_LINES_PER_S, now)
        self._reported_at = now
        self._unreported_lines = 0
        self.suppressed_lines = 0

    def record(self, decision: str, **fields: object) -> None:
        """Write a record unless its rate limit is exceeded."""
        now = self._clock.monotonic()
        routine = fields.get('outcome') in _ROUTINE_OUTCOMES
        bucket = self._routine if routine else self._notable
        if not bucket.take_token(now):
            self.suppressed_lines += 1
            self._unreported_lines += 1
            return
        if (
            self._unreported_lines
            and now - self._reported_at >= _REPORT_INTERVAL_S
        ):
            self._log.record('log_left_out', lines=self._unreported_lines)
            self._unreported_lines = 0
            self._reported_at = now
        self._log.record(decision, **fields)
