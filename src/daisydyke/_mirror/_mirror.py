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
        self.version = 0
        self.listed = curio.Event()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            if self.version:
                await self._watch()
            else:
                await self._list()

    async def _list(self) -> None:
        outcome = await self._platform.list_objects((self._kind,))
        if not isinstance(outcome, Success):
            await self._health.failed(outcome.failure())
            return
        self._health.succeeded()
        listing = outcome.unwrap()
        await self._sink.replace(listing.objects)
        self.version = listing.version
        self._log.record(
            'listed',
            kind=self._kind,
            version=listing.version,
            objects=len(listing.objects),
        )
        await self.listed.set()

    async def _watch(self) -> None:
        outcome = await self._platform.watch(
            (self._kind,),
            self.version,
            _WATCH_WAIT_S,
        )
        if isinstance(outcome, Success):
            self._health.succeeded()
            await self._apply(outcome.unwrap())
            return
        error = outcome.failure()
        if isinstance(error, HistoryGoneError):
            self._log.record('history_gone', kind=self._kind)
            self.version = 0
            return
        await self._health.failed(error)

    async def _apply(self, listing: Listing) -> None:
        for stored in listing.objects:
            await self._sink.change(stored)
        self.version = max(self.version, listing.version)
        await curio.sleep(self._pace)
