"""Documents in force on this VM: watched, synchronized, never reverted."""

from __future__ import annotations

from collections.abc import Iterable

import curio
from returns.result import Result, Success
from xxhash import xxh3_64_intdigest

from .._domain._model import Lease, ServiceSpec
from .._ports import Clock, DecisionLog, Listing, Platform, StoredObject
from .._settings._documents import (
    SwitchDocument,
    decode,
    parse_lease,
    parse_service,
)
from ..exceptions import InvalidDocumentError, PlatformError

KINDS = ('service', 'switch', 'lease')
_WATCH_WAIT_S = 2.0
_RETRY_S = 0.5
_RELIST_EVERY_S = 30.0


class Configuration:
    """Documents in force, by kind and name.

    A document is replaced only by one with a higher platform version,
    whether it comes from the platform or from a peer. An invalid document is
    logged and the last good one stays in force.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Start with no documents."""
        self._log = log
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._rejected: dict[tuple[str, str], int] = {}
        self._digest = 0
        self.generation = 0
        self.version = 0
        self.services: dict[str, ServiceSpec] = {}
        self.leases: dict[str, Lease] = {}
        self.out_domains: set[str] = set()
        self.out_vms: set[str] = set()

    @property
    def digest(self) -> int:
        """Hash of the names and versions in force, whatever their order."""
        return self._digest

    def newer_than(self, version: int) -> list[StoredObject]:
        """Return documents changed after a platform version."""
        return [
            stored
            for stored in self._objects.values()
            if stored.version > version
        ]

    def in_force(self) -> list[StoredObject]:
        """Return all documents, deleted ones included."""
        return list(self._objects.values())

    def apply(self, objects: Iterable[StoredObject]) -> None:
        """Put newer, valid documents into force."""
        for stored in objects:
            self._apply_one(stored)

    def _apply_one(self, stored: StoredObject) -> None:
        key = (stored.kind, stored.name)
        current = self._objects.get(key)
        if current is not None and stored.version <= current.version:
            return
        if self._rejected.get(key, 0) >= stored.version:
            return
        outcome = self._interpret(stored)
        if not isinstance(outcome, Success):
            self._reject(key, stored, outcome.failure())
            return
        self._objects[key] = stored
        self._digest ^= _hash(stored)
        if current is not None:
            self._digest ^= _hash(current)
        self.version = max(self.version, stored.version)
        self.generation += 1
        if stored.kind != 'lease':
            self._log.record(
                'configuration',
                kind=stored.kind,
                name=stored.name,
                version=stored.version,
            )

    def _reject(
        self,
        key: tuple[str, str],
        stored: StoredObject,
        error: InvalidDocumentError,
    ) -> None:
        self._rejected[key] = stored.version
        self._log.record(
            'configuration_rejected',
            kind=stored.kind,
            name=stored.name,
            version=stored.version,
            path=error.path,
            rule=error.rule,
        )

    def _interpret(
        self,
        stored: StoredObject,
    ) -> Result[None, InvalidDocumentError]:
        if stored.kind == 'service':
            return self._interpret_service(stored)
        if stored.kind == 'lease':
            return self._interpret_lease(stored)
        return self._interpret_switch(stored)

    def _interpret_service(
        self,
        stored: StoredObject,
    ) -> Result[None, InvalidDocumentError]:
        if stored.text is None:
            self.services.pop(stored.name, None)
            return Success(None)
        parsed = parse_service(stored.text, f'service/{stored.name}')
        return parsed.map(
            lambda spec: self.services.update({stored.name: spec}),
        )

    def _interpret_lease(
        self,
        stored: StoredObject,
    ) -> Result[None, InvalidDocumentError]:
        if stored.text is None:
            self.leases.pop(stored.name, None)
            return Success(None)
        parsed = parse_lease(stored.text, stored.name, stored.version)
        return parsed.map(
            lambda lease: self.leases.update({stored.name: lease}),
        )

    def _interpret_switch(
        self,
        stored: StoredObject,
    ) -> Result[None, InvalidDocumentError]:
        if stored.text is None:
            self._set_switch(stored.name, out=False)
            return Success(None)
        return decode(
            stored.text,
            SwitchDocument,
            f'switch/{stored.name}',
        ).map(
            lambda switch: self._set_switch(
                stored.name,
                out=switch.state == 'out',
            ),
        )

    def _set_switch(self, name: str, *, out: bool) -> None:
        scope, _, target = name.partition('-')
        members = self.out_domains if scope == 'domain' else self.out_vms
        if out:
            members.add(target)
        else:
            members.discard(target)


def _hash(stored: StoredObject) -> int:
    text = f'{stored.kind}/{stored.name}={stored.version}'
    return xxh3_64_intdigest(text.encode())


class ConfigurationWatch:
    """Keeps a Configuration up to date from the platform.

    A watch that answers nothing within its wait is replaced, and a full list
    is read now and then, so that neither a dead watch nor a stale answer
    lasts.
    """

    def __init__(
        self,
        platform: Platform,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Wire the watch; nothing is read yet."""
        self._platform = platform
        self._configuration = configuration
        self._clock = clock
        self._after = 0
        self._listed_at: float | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            outcome = await self._next()
            if isinstance(outcome, Success):
                listing = outcome.unwrap()
                self._configuration.apply(listing.objects)
                self._after = max(self._after, listing.version)
            else:
                self._listed_at = None
                await curio.sleep(_RETRY_S)

    async def _next(self) -> Result[Listing, PlatformError]:
        now = self._clock.monotonic()
        if self._listed_at is None or now - self._listed_at > _RELIST_EVERY_S:
            self._listed_at = now
            return await self._platform.list_objects(KINDS)
        return await self._platform.watch(KINDS, self._after, _WATCH_WAIT_S)
