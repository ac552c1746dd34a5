"""Decision log whose volume is bounded under load."""

from __future__ import annotations

from .._ports import Clock, DecisionLog

_ROUTINE_PER_S = 30.0
_NOTABLE_PER_S = 200.0
_BURST_S = 2.0
_TELL_INTERVAL_S = 1.0
_ROUTINE_OUTCOMES = frozenset(('forwarded', 'merged'))


class _Rate:
    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._tokens = per_s * _BURST_S
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Take the right to write one line."""
        gained = (now - self._filled_at) * self._per_s
        self._tokens = min(self._per_s * _BURST_S, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LimitedDecisionLog:
    """Leaves lines out beyond a rate, and says how many.

    Lines of requests that were answered have a bound of their own, so that
    errors and refusals are written before them.
    """

    def __init__(self, log: DecisionLog, clock: Clock) -> None:
        """Start with full rates."""
        self._log = log
        self._clock = clock
        now = clock.monotonic()
        self._routine = _Rate(_ROUTINE_PER_S, now)
        self._notable = _Rate(_NOTABLE_PER_S, now)
        self._told_at = now
        self._untold = 0
        self.suppressed_lines = 0

    def record(self, decision: str, **fields: object) -> None:
        """Write a record unless its rate is used up."""
        now = self._clock.monotonic()
        routine = fields.get('outcome') in _ROUTINE_OUTCOMES
        rate = self._routine if routine else self._notable
        if not rate.take(now):
            self.suppressed_lines += 1
            self._untold += 1
            return
        if self._untold and now - self._told_at >= _TELL_INTERVAL_S:
            self._log.record('log_left_out', lines=self._untold)
            self._untold = 0
            self._told_at = now
        self._log.record(decision, **fields)
