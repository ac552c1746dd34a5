"""Detects that the store has swallowed watches or their answers."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

import curio
from returns.result import Result, Success

from .._ports import Listing
from ..exceptions import HistoryGoneError, PlatformError
from ._mirror import KindMirror
from ._store_health import StoreHealth

_INTERVAL_S = 1.5
# While the store is lost. Short beside the time that servers get to register
# again, which begins once the store has answered.
_LOST_INTERVAL_S = 0.5
_JITTER_FACTOR_RANGE = (0.7, 1.3)
# Time in which a watch delivers a change that a read has shown.
_DELIVERY_S = 0.3


class ChangeSource(Protocol):
    """Reads from the store at little cost to it.

    What it returns may be seconds old.
    """

    async def newest_version(self) -> Result[int, PlatformError]:
        """Read the store's version."""

    async def read_changes(
        self, kind: str, after: int
    ) -> Result[Listing, PlatformError]:
        """Read the changes of a kind after a version, without waiting."""


class StoreProbe:
    """Finds changes that the store has not delivered to a watch.

    A store that is overloaded or restarts may acknowledge a call and never
    answer it. A watch may wait for long, so its silence by itself shows
    nothing. This reads the store's version at intervals: a read that fails
    shows that calls are lost. If the version rises above that of a mirror
    whose watch stays silent, the change is of another kind, or its delivery
    was lost; reading the changes of the kind tells which.

    Parameters:
        source: supplies versions and changes.
        mirrors: mirrors whose watches are checked.
        health: learns that the store is lost and regained.
    """

    def __init__(
        self,
        source: ChangeSource,
        mirrors: Sequence[KindMirror],
        health: StoreHealth,
    ) -> None:
        """Initialize; ``run`` probes the store."""
        self._source = source
        self._mirrors = mirrors
        self._health = health
        self._failing = False
        # Version up to which a kind is known to have no change that its
        # mirror lacks, by kind.
        self._checked_versions: dict[str, int] = {}

    async def run(self) -> None:
        """Probe the store until cancelled."""
        while True:
            await curio.sleep(_INTERVAL_S)
            await self._handle_version(await self._read_version())

    async def _read_version(self) -> int:
        """Return the store's version once it answers.

        The watches of a lost store may stay silent after its return, so that
        only these calls show it. They do not wait for those of the mirrors.
        """
        outcome = await self._source.newest_version()
        while not isinstance(outcome, Success):
            self._record_failure(outcome.failure())
            jitter = random.uniform(*_JITTER_FACTOR_RANGE)  # noqa: S311
            await curio.sleep(_LOST_INTERVAL_S * jitter)
            outcome = await self._source.newest_version()
        return outcome.unwrap()

    def _record_failure(self, error: PlatformError) -> None:
        self._failing = True
        self._health.record_failure(error)

    async def _handle_version(self, version: int) -> None:
        self._health.record_answer()
        if not self._failing:
            await self._check(version)
            return
        self._failing = False
        self._health.record_success()
        for mirror in self._mirrors:
            await mirror.renew_watch()

    async def _check(self, version: int) -> None:
        silent = [
            (mirror, mirror.watch_count)
            for mirror in self._mirrors
            if mirror.watching and self._is_behind(mirror, version)
        ]
        if not silent:
            return
        await curio.sleep(_DELIVERY_S)
        for mirror, watch_count in silent:
            if mirror.watching and mirror.watch_count == watch_count:
                await self._read_changes(mirror)

    def _is_behind(self, mirror: KindMirror, version: int) -> bool:
        checked = self._checked_versions.get(mirror.kind, 0)
        return version > max(checked, mirror.version)

    async def _read_changes(self, mirror: KindMirror) -> None:
        after = mirror.version
        outcome = await self._source.read_changes(mirror.kind, after)
        if isinstance(outcome, Success):
            await self._handle_changes(mirror, outcome.unwrap(), after)
            return
        error = outcome.failure()
        if isinstance(error, HistoryGoneError):
            # The next watch learns of it too, and a listing follows.
            await mirror.renew_watch()
        else:
            self._record_failure(error)

    async def _handle_changes(
        self, mirror: KindMirror, changes: Listing, after: int
    ) -> None:
        if changes.objects:
            await mirror.apply_changes(changes, after)
            await mirror.renew_watch()
        else:
            self._checked_versions[mirror.kind] = changes.version
