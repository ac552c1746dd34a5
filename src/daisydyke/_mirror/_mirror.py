"""Follows all objects of one kind in the platform store."""

from __future__ import annotations

from typing import Protocol

import curio
from returns.result import Success

from .._ports import DecisionLog, Listing, Platform, StoredObject
from ..exceptions import HistoryGoneError
from ._store_health import StoreHealth

_WATCH_WAIT_S = 29.0


class ObjectSink(Protocol):
    """Takes what a mirror learns."""

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all objects of the kind; those not among them are gone."""

    async def change(self, stored: StoredObject) -> None:
        """Take one changed object; its text is None once deleted."""


class KindMirror:
    """Lists a kind once, then watches it.

    Parameters:
        kind: the kind to follow.
        sink: takes what is learned, in the order of the store's versions.
        pace: seconds between two watches; changes that come within them are
            read with one call.

    Attributes:
        version: version of the store up to which this VM knows the kind.
        changed_at: version of the latest change seen.
    """

    def __init__(
        self,
        kind: str,
        platform: Platform,
        sink: ObjectSink,
        health: StoreHealth,
        log: DecisionLog,
        pace: float,
    ) -> None:
        """Start with nothing known."""
        self._kind = kind
        self._platform = platform
        self._sink = sink
        self._health = health
        self._log = log
        self._pace = pace
        self._objects: dict[str, StoredObject] = {}
        self._history_gone = False
        # Changes and whole listings reach the sink one after the other.
        self._sink_lock = curio.Lock()
        self.version = 0
        self.changed_at = 0
        self.listed = curio.Event()

    @property
    def kind(self) -> str:
        """The kind that is followed."""
        return self._kind

    def listing(self) -> Listing:
        """Return all objects of the kind as this VM knows them."""
        return Listing(self.version, tuple(self._objects.values()))

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            if self.version and not self._history_gone:
                await self._watch()
            else:
                await self._list()

    async def take(self, listing: Listing, source: str) -> bool:
        """Replace all objects unless the listing is older than they are.

        Parameters:
            source: whom the listing comes from, for the log.
        """
        async with self._sink_lock:
            if listing.version <= self.version:
                return False
            self._objects = {one.name: one for one in listing.objects}
            self.version = listing.version
            self._note_changes(listing)
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

    async def _list(self) -> None:
        outcome = await self._platform.list_objects((self._kind,))
        if not isinstance(outcome, Success):
            await self._health.back_off(outcome.failure())
            return
        self._health.record_success()
        self._history_gone = False
        await self.take(outcome.unwrap(), 'store')

    async def _watch(self) -> None:
        after = self.version
        outcome = await self._platform.watch(
            (self._kind,),
            after,
            _WATCH_WAIT_S,
        )
        if isinstance(outcome, Success):
            self._health.record_success()
            await self._apply(outcome.unwrap(), after)
            await curio.sleep(self._pace)
            return
        error = outcome.failure()
        if isinstance(error, HistoryGoneError):
            self._log.record('history_gone', kind=self._kind)
            self._history_gone = True
            return
        await self._health.back_off(error)

    async def _apply(self, listing: Listing, after: int) -> None:
        async with self._sink_lock:
            # A member's listing may have gone ahead of the watch.
            if after != self.version:
                return
            self._note_changes(listing)
            for stored in listing.objects:
                await self._change(stored)
            self.version = max(self.version, listing.version)

    async def _change(self, stored: StoredObject) -> None:
        if stored.text is None:
            self._objects.pop(stored.name, None)
        else:
            self._objects[stored.name] = stored
        await self._sink.change(stored)

    def _note_changes(self, listing: Listing) -> None:
        latest = max((one.version for one in listing.objects), default=0)
        self.changed_at = max(self.changed_at, latest)
