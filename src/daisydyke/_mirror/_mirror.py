"""Mirrors all objects of one kind from the platform store."""

from __future__ import annotations

from typing import Protocol

import curio
from returns.result import Result, Success

from .._ports import DecisionLog, Listing, Platform, StoredObject
from ..exceptions import HistoryGoneError, PlatformError
from ._store_health import StoreHealth

_WATCH_TIMEOUT_S = 29.0
# For a watch that only reads the changes up to now.
_REFRESH_WATCH_TIMEOUT_S = 0.001


class ObjectSink(Protocol):
    """Receives the objects of a mirror."""

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all objects of the kind; others no longer exist."""

    async def apply(self, stored: StoredObject) -> None:
        """Apply a changed object; its text is None if it was deleted."""


class KindMirror:
    """Lists the objects of a kind once, then watches them for changes.

    Parameters:
        kind: kind of the objects.
        platform: the platform store.
        sink: receives the objects, in the order of store versions.
        health: spaces out calls while the store fails.
        log: gets a record for each listing and each time that the store no
            longer has the history after ``version``.
        watch_interval: seconds between two watches. One call returns all
            changes made in the meantime.

    Attributes:
        version: store version up to which the mirror is current.
        last_change_version: highest version of any object seen.
        watch_count: watches begun so far.
        listed: set once the mirror holds a listing.
    """

    def __init__(
        self,
        kind: str,
        platform: Platform,
        sink: ObjectSink,
        health: StoreHealth,
        log: DecisionLog,
        watch_interval: float,
    ) -> None:
        """Initialize without objects; ``run`` reads them."""
        self._kind = kind
        self._platform = platform
        self._sink = sink
        self._health = health
        self._log = log
        self._watch_interval = watch_interval
        self._objects: dict[str, StoredObject] = {}
        self._history_gone = False
        # Serializes changes and whole listings.
        self._sink_lock = curio.Lock()
        self.version = 0
        self.last_change_version = 0
        self.watch_count = 0
        self._watch_task: curio.Task | None = None
        self._is_renewing = False
        self._refreshed: curio.Event | None = None
        self.listed = curio.Event()

    @property
    def kind(self) -> str:
        """Kind of the mirrored objects."""
        return self._kind

    @property
    def watching(self) -> bool:
        """Whether a watch waits for the store."""
        return self._watch_task is not None

    def listing(self) -> Listing:
        """Return all mirrored objects and the version of the mirror."""
        return Listing(self.version, tuple(self._objects.values()))

    async def run(self) -> None:
        """Mirror the objects until cancelled."""
        while True:
            if self.version and not self._history_gone:
                await self._watch()
            else:
                await self._list()

    async def renew_watch(self) -> None:
        """End the open watch, if there is one; the next one follows."""
        if self._watch_task is not None:
            self._is_renewing = True
            await self._watch_task.cancel()

    async def refresh(self) -> None:
        """Read and apply the changes up to now."""
        refreshed = curio.Event()
        self._refreshed = refreshed
        await self.renew_watch()
        await refreshed.wait()

    async def apply_listing(self, listing: Listing, source: str) -> bool:
        """Replace all objects if the listing is newer than the mirror.

        Parameters:
            listing: all objects of the kind.
            source: origin of the listing, for the log: a VM or ``store``.

        Returns:
            Whether the objects were replaced.
        """
        async with self._sink_lock:
            if listing.version <= self.version:
                return False
            self._objects = {stored.name: stored for stored in listing.objects}
            self.version = listing.version
            self._record_last_change(listing)
            await self._sink.replace(listing.objects)
        self._log.record(
            'listed',
            kind=self._kind,
            version=listing.version,
            objects=len(listing.objects),
            source=source,
        )
        await self.listed.set()
        return True

    async def apply_changes(self, listing: Listing, after: int) -> None:
        """Apply changes unless the mirror has moved on meanwhile.

        Parameters:
            listing: changes, deletions with None as text.
            after: version of the mirror when they were asked for. Another
                read, or a listing from a member, may have been applied since.
        """
        async with self._sink_lock:
            if after != self.version:
                return
            self._record_last_change(listing)
            for stored in listing.objects:
                await self._apply_change(stored)
            self.version = max(self.version, listing.version)

    async def _list(self) -> None:
        outcome = await self._platform.list_objects((self._kind,))
        if not isinstance(outcome, Success):
            await self._health.back_off(outcome.failure())
            return
        self._health.record_success()
        self._history_gone = False
        refreshed = self._refreshed
        await self.apply_listing(outcome.unwrap(), 'store')
        await self._end_refresh(refreshed)

    async def _watch(self) -> None:
        after = self.version
        refreshed = self._refreshed
        outcome = await self._run_watch(after)
        if outcome is None:
            return
        if isinstance(outcome, Success):
            self._health.record_success()
            await self.apply_changes(outcome.unwrap(), after)
            await self._end_refresh(refreshed)
            await curio.sleep(self._watch_interval)
            return
        error = outcome.failure()
        if isinstance(error, HistoryGoneError):
            self._log.record('history_gone', kind=self._kind)
            self._history_gone = True
            return
        await self._health.back_off(error)

    async def _run_watch(
        self, after: int
    ) -> Result[Listing, PlatformError] | None:
        """Return the outcome of a watch, None if it was renewed."""
        self.watch_count += 1
        timeout = _WATCH_TIMEOUT_S
        if self._refreshed is not None:
            timeout = _REFRESH_WATCH_TIMEOUT_S
        self._watch_task = await curio.spawn(
            self._platform.watch, (self._kind,), after, timeout
        )
        try:
            return await self._watch_task.join()
        except curio.TaskError as error:
            if self._is_renewing:
                return None
            raise error.__cause__ or error
        except curio.CancelledError:
            await self._watch_task.cancel()
            raise
        finally:
            self._watch_task = None
            self._is_renewing = False

    async def _end_refresh(self, refreshed: curio.Event | None) -> None:
        """End the refresh that was awaited when the call was made."""
        if refreshed is None:
            return
        if self._refreshed is refreshed:
            self._refreshed = None
        await refreshed.set()

    async def _apply_change(self, stored: StoredObject) -> None:
        if stored.text is None:
            self._objects.pop(stored.name, None)
        else:
            self._objects[stored.name] = stored
        await self._sink.apply(stored)

    def _record_last_change(self, listing: Listing) -> None:
        latest = max((stored.version for stored in listing.objects), default=0)
        self.last_change_version = max(self.last_change_version, latest)
