"""Configuration documents in force on this VM and their updates."""

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

WATCHED_KINDS = ('service', 'switch', 'lease')
_WATCH_TIMEOUT_S = 2.0
_RETRY_INTERVAL_S = 0.5
_RELIST_INTERVAL_S = 30.0


class Configuration:
    """Documents in force, by kind and name.

    A document is replaced only by one with a higher platform version, whether
    it comes from the platform or from a peer. An invalid document is logged
    and the last valid one stays in force.

    Attributes:
        generation: incremented whenever a document is put into force.
        version: highest platform version of the documents in force.
        services: service specifications by name.
        leases: leases by server identifier.
        out_domains: failure domains that are out of service.
        out_vms: VMs that are out of service.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Initialize without documents."""
        self._log = log
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._rejected_versions: dict[tuple[str, str], int] = {}
        self._digest = 0
        self.generation = 0
        self.version = 0
        self.services: dict[str, ServiceSpec] = {}
        self.leases: dict[str, Lease] = {}
        self.out_domains: set[str] = set()
        self.out_vms: set[str] = set()

    @property
    def digest(self) -> int:
        """Order-independent hash of the documents' names and versions."""
        return self._digest

    def newer_than(self, version: int) -> list[StoredObject]:
        """Return the documents with a version above a platform version."""
        return [
            stored
            for stored in self._objects.values()
            if stored.version > version
        ]

    def in_force(self) -> list[StoredObject]:
        """Return all documents in force, including tombstones."""
        return list(self._objects.values())

    def apply(self, objects: Iterable[StoredObject]) -> None:
        """Put valid documents with a higher version into force."""
        for stored in objects:
            self._apply_if_newer(stored)

    def _apply_if_newer(self, stored: StoredObject) -> None:
        key = (stored.kind, stored.name)
        current = self._objects.get(key)
        if current is not None and stored.version <= current.version:
            return
        if self._rejected_versions.get(key, 0) >= stored.version:
            return
        outcome = self._apply_document(stored)
        if not isinstance(outcome, Success):
            self._reject(key, stored, outcome.failure())
            return
        self._objects[key] = stored
        self._digest ^= _version_hash(stored)
        if current is not None:
            self._digest ^= _version_hash(current)
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
        self._rejected_versions[key] = stored.version
        self._log.record(
            'configuration_rejected',
            kind=stored.kind,
            name=stored.name,
            version=stored.version,
            path=error.path,
            rule=error.rule,
        )

    def _apply_document(
        self,
        stored: StoredObject,
    ) -> Result[None, InvalidDocumentError]:
        if stored.kind == 'service':
            return self._apply_service(stored)
        if stored.kind == 'lease':
            return self._apply_lease(stored)
        return self._apply_switch(stored)

    def _apply_service(
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

    def _apply_lease(
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

    def _apply_switch(
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
        out_names = self.out_domains if scope == 'domain' else self.out_vms
        if out:
            out_names.add(target)
        else:
            out_names.discard(target)


def _version_hash(stored: StoredObject) -> int:
    text = f'{stored.kind}/{stored.name}={stored.version}'
    return xxh3_64_intdigest(text.encode())


class ConfigurationWatch:
    """Keeps a Configuration up to date from the platform.

    Each watch request ends after a bounded wait and is followed by a new one,
    and a full list is read periodically. This bounds the effect of a dead
    watch and of a stale response.
    """

    def __init__(
        self,
        platform: Platform,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Initialize; the first request reads the full list."""
        self._platform = platform
        self._configuration = configuration
        self._clock = clock
        self._watched_version = 0
        self._listed_at: float | None = None

    async def run(self) -> None:
        """Apply changes from the platform until cancelled."""
        while True:
            outcome = await self._next()
            if isinstance(outcome, Success):
                listing = outcome.unwrap()
                self._configuration.apply(listing.objects)
                self._watched_version = max(
                    self._watched_version, listing.version
                )
            else:
                self._listed_at = None
                await curio.sleep(_RETRY_INTERVAL_S)

    async def _next(self) -> Result[Listing, PlatformError]:
        now = self._clock.monotonic()
        if (
            self._listed_at is None
            or now - self._listed_at > _RELIST_INTERVAL_S
        ):
            self._listed_at = now
            return await self._platform.list_objects(WATCHED_KINDS)
        return await self._platform.watch(
            WATCHED_KINDS, self._watched_version, _WATCH_TIMEOUT_S
        )
