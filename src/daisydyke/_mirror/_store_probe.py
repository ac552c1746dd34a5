"""Detects that the store has swallowed watches."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import curio
from returns.result import Result, Success

from ..exceptions import PlatformError
from ._mirror import KindMirror
from ._store_health import StoreHealth

_INTERVAL_S = 1.5
# Time in which a watch delivers a change that a read has shown.
_DELIVERY_S = 0.3


class VersionSource(Protocol):
    """Reads the version of the store."""

    async def newest_version(self) -> Result[int, PlatformError]:
        """Read the store's version, which may be seconds old."""


class StoreProbe:
    """Renews watches that the store no longer answers.

    A store that is overloaded or restarts may acknowledge a call and never
    answer it. A watch may wait for long, so its silence by itself shows
    nothing. This reads the store's version at intervals: a read that fails
    shows that calls are lost, and a version that rises while a watch stays
    silent shows that its answer may be.

    Parameters:
        source: supplies the version, at little cost to the store.
        mirrors: mirrors whose watches are renewed.
        health: learns that the store is lost and regained.
    """

    def __init__(
        self,
        source: VersionSource,
        mirrors: Sequence[KindMirror],
        health: StoreHealth,
    ) -> None:
        """Initialize; ``run`` probes the store."""
        self._source = source
        self._mirrors = mirrors
        self._health = health
        self._failing = False
        # Number of watches and version of the store when the watch was first
        # seen, by kind.
        self._first_seen: dict[str, tuple[int, int]] = {}

    async def run(self) -> None:
        """Probe the store until cancelled."""
        while True:
            await curio.sleep(_INTERVAL_S)
            outcome = await self._source.newest_version()
            if isinstance(outcome, Success):
                await self._handle_version(outcome.unwrap())
            else:
                self._failing = True
                self._health.record_failure(outcome.failure())

    async def _handle_version(self, version: int) -> None:
        if not self._failing:
            await self._check(version)
            return
        self._failing = False
        self._health.record_success()
        await self._renew(self._mirrors)

    async def _check(self, version: int) -> None:
        silent = [
            mirror
            for mirror in self._mirrors
            if self._is_behind(mirror, version)
        ]
        if not silent:
            return
        watch_counts = [mirror.watch_count for mirror in silent]
        await curio.sleep(_DELIVERY_S)
        await self._renew(
            [
                mirror
                for mirror, watch_count in zip(
                    silent, watch_counts, strict=True
                )
                if mirror.watch_count == watch_count
            ]
        )

    def _is_behind(self, mirror: KindMirror, version: int) -> bool:
        """Return whether the version rose since the watch was first seen."""
        watch_count, first_version = self._first_seen.get(mirror.kind, (0, 0))
        if watch_count != mirror.watch_count:
            self._first_seen[mirror.kind] = (mirror.watch_count, version)
            return False
        return version > first_version

    async def _renew(self, mirrors: Sequence[KindMirror]) -> None:
        for mirror in mirrors:
            await mirror.renew_watch()
