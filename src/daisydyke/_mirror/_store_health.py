"""Whether the platform store answers, as seen by this VM."""

from __future__ import annotations

import random

import curio

from .._ports import Clock, DecisionLog
from ..exceptions import PlatformError

_FIRST_PAUSE_S = 0.3
_LONGEST_PAUSE_S = 1.0
_GROWTH = 2
_JITTER = (0.7, 1.3)


class StoreHealth:
    """Spaces out calls while the store fails.

    While it does, only one caller at a time tries; the others wait until
    that one gets through.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        """Take the store to be up."""
        self._clock = clock
        self._log = log
        self._pause = _FIRST_PAUSE_S
        self._probe = curio.Lock()
        self.lost_at: float | None = None
        self.regained_at: float | None = None

    @property
    def lost(self) -> bool:
        """Whether the latest call failed."""
        return self.lost_at is not None

    def record_success(self) -> None:
        """Note a call that was answered."""
        self._pause = _FIRST_PAUSE_S
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

    async def back_off(self, error: PlatformError) -> None:
        """Note a failed call and wait until the next may be made."""
        if self.lost_at is None:
            self.lost_at = self._clock.monotonic()
            self._log.record('store', state='lost', error=str(error))
        async with self._probe:
            if self.lost_at is None:
                return
            jitter = random.uniform(*_JITTER)  # noqa: S311
            await curio.sleep(self._pause * jitter)
            self._pause = min(_LONGEST_PAUSE_S, self._pause * _GROWTH)

    async def wait_until_regained(self) -> None:
        """Wait for the caller that probes, if another one does."""
        async with self._probe:
            return
