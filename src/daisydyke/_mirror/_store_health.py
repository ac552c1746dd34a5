"""Availability of the platform store as seen by this VM."""

from __future__ import annotations

import random

import curio

from .._ports import Clock, DecisionLog
from ..exceptions import PlatformError

_MIN_BACKOFF_S = 0.3
_MAX_BACKOFF_S = 1.0
_BACKOFF_FACTOR = 2
_JITTER_FACTOR_RANGE = (0.7, 1.3)


class StoreHealth:
    """Spaces out calls while the store fails.

    All callers share one exponential backoff with jitter. After failures they
    wait and retry one at a time; those still queued continue without waiting
    once the store answers.

    Attributes:
        lost_at: clock time in seconds of the first failure of the present
            outage; None while the store answers.
        regained_at: clock time in seconds of the end of the latest outage.
        answered_at: clock time in seconds of the latest answer; None before
            the first.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        """Initialize with the store available."""
        self._clock = clock
        self._log = log
        self._backoff_s = _MIN_BACKOFF_S
        self._retry_lock = curio.Lock()
        self.lost_at: float | None = None
        self.regained_at: float | None = None
        self.answered_at: float | None = None

    @property
    def lost(self) -> bool:
        """Whether the latest completed call failed."""
        return self.lost_at is not None

    def has_answered_within(self, duration_s: float) -> bool:
        """Return whether the store answers, and did so lately."""
        if self.lost or self.answered_at is None:
            return False
        return self._clock.monotonic() - self.answered_at <= duration_s

    def record_answer(self) -> None:
        """Record that the store has answered, which ends no outage."""
        self.answered_at = self._clock.monotonic()

    def record_success(self) -> None:
        """Record a successful call and reset the backoff."""
        self.record_answer()
        self._backoff_s = _MIN_BACKOFF_S
        if self.lost_at is None:
            return
        now = self._clock.monotonic()
        self._log.record(
            'store',
            state='regained',
            lost_for_s=round(now - self.lost_at, 2),
        )
        self.lost_at = None
        self.regained_at = now

    def record_failure(self, error: PlatformError) -> None:
        """Record a failed call without waiting.

        Parameters:
            error: reason of the failure, for the log.
        """
        if self.lost_at is None:
            self.lost_at = self._clock.monotonic()
            self._log.record('store', state='lost', error=str(error))

    async def back_off(self, error: PlatformError) -> None:
        """Record a failed call and wait until the next may be made.

        Parameters:
            error: reason of the failure, for the log.
        """
        self.record_failure(error)
        async with self._retry_lock:
            if self.lost_at is None:
                return
            jitter = random.uniform(*_JITTER_FACTOR_RANGE)  # noqa: S311
            await curio.sleep(self._backoff_s * jitter)
            self._backoff_s = min(
                _MAX_BACKOFF_S, self._backoff_s * _BACKOFF_FACTOR
            )

    async def wait_until_regained(self) -> None:
        """Wait for the callers that are backing off at present."""
        async with self._retry_lock:
            return
