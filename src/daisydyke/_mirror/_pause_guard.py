"""Brings the mirrors up to date after this process did not run for a while."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import curio

from .._ports import Clock, DecisionLog
from ._mirror import KindMirror

_TICK_S = 0.1
# Changes must be in force within seconds; a shorter pause delays them little.
_PAUSE_S = 1.5
# A store that does not answer is treated as in any other outage.
_REFRESH_TIMEOUT_S = 0.5


class PauseGuard:
    """Holds requests back until the changes made during a pause are known.

    A process that was stopped or starved for seconds would otherwise send
    requests by what it knew before: to servers that have left, or to failure
    domains that are out of service by now.

    Parameters:
        mirrors: mirrors to bring up to date.
        clock: measures the pauses.
        log: gets a record for each pause.
    """

    def __init__(
        self,
        mirrors: Sequence[KindMirror],
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Initialize; pauses are detected while ``run`` runs."""
        self._mirrors = mirrors
        self._clock = clock
        self._log = log
        self._ran_at: float | None = None
        self._refreshed: curio.Event | None = None
        self._stopped = False
        self._ticks: deque[float] = deque(maxlen=2)

    @property
    def ran_before_at(self) -> float | None:
        """Monotonic time at which this process ran before what it does now.

        That is up to two ticks ago, or before a pause that has just ended: the
        latest tick may have come after it. None before ``run``.
        """
        return self._ticks[0] if self._ticks else None

    async def run(self) -> None:
        """Detect pauses until cancelled."""
        self._ran_at = self._clock.monotonic()
        while True:
            if self._is_paused():
                await self._start_refresh()
            self._ran_at = self._clock.monotonic()
            self._ticks.append(self._ran_at)
            await curio.sleep(_TICK_S)

    async def wait_until_current(self) -> None:
        """Return once the mirrors are current, or the store does not answer.

        Returns at once unless this process has just been paused.
        """
        if self._stopped:
            return
        if self._is_paused():
            await self._start_refresh()
        if self._refreshed is not None:
            await curio.ignore_after(_REFRESH_TIMEOUT_S, self._refreshed.wait())

    async def stop(self) -> None:
        """Hold nothing back any more, since this process ends."""
        self._stopped = True
        if self._refreshed is not None:
            await self._refreshed.set()

    def _is_paused(self) -> bool:
        if self._ran_at is None:
            return False
        return self._clock.monotonic() - self._ran_at > _PAUSE_S

    async def _start_refresh(self) -> None:
        now = self._clock.monotonic()
        paused_for = now - (self._ran_at or now)
        self._ran_at = now
        self._log.record('paused', paused_for_s=round(paused_for, 2))
        if self._refreshed is None:
            self._refreshed = curio.Event()
            await curio.spawn(self._refresh, self._refreshed, daemon=True)

    async def _refresh(self, refreshed: curio.Event) -> None:
        async with curio.ignore_after(_REFRESH_TIMEOUT_S):
            async with curio.TaskGroup() as group:
                for mirror in self._mirrors:
                    await group.spawn(mirror.refresh)
        self._refreshed = None
        await refreshed.set()
