"""Sinks that put mirrored objects into force."""

from __future__ import annotations

from collections.abc import Callable

import curio
from returns.result import Result, Success

from .._backends._pool import ConnectionPool
from .._backends._registry import ServerRegistry
from .._backends._server import ServerRecord
from .._ports import Clock, DecisionLog, StoredObject
from .._requests._routes import RoutingTable
from ..exceptions import InvalidDocumentError
from ._store_health import StoreHealth

# Time within which a running server registers again after a store outage.
_REREGISTRATION_S = 2.2
_REMOVAL_POLL_INTERVAL_S = 0.1

DecodeTable = Callable[
    [StoredObject], Result[RoutingTable, InvalidDocumentError]
]
DecodeServer = Callable[
    [StoredObject],
    Result[ServerRecord, InvalidDocumentError],
]


class TableSink:
    """Holds the newest valid configuration.

    Parameters:
        name: name of the object that holds the configuration.
        decode: decodes that object.
        log: gets a record for each new and each invalid configuration.

    Attributes:
        table: routing table of that configuration; None without one.
    """

    def __init__(
        self,
        name: str,
        decode: DecodeTable,
        log: DecisionLog,
    ) -> None:
        """Initialize without a configuration."""
        self._name = name
        self._decode = decode
        self._log = log
        self.table: RoutingTable | None = None

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Apply the configuration found among all objects of its kind."""
        for stored in objects:
            await self.apply(stored)

    async def apply(self, stored: StoredObject) -> None:
        """Put a configuration into force if it is valid and newer."""
        if stored.name != self._name or stored.text is None:
            return
        decoded = self._decode(stored)
        if not isinstance(decoded, Success):
            self._log.record(
                'configuration_invalid', error=str(decoded.failure())
            )
            return
        table = decoded.unwrap()
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self._log.record(
            'configuration',
            version=table.version,
            store_version=stored.version,
        )


class DomainSink:
    """Holds the failure domains that are taken out of service.

    Attributes:
        excluded: failure domains whose servers get no requests.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Initialize with all failure domains in service."""
        self._log = log
        self.excluded: frozenset[str] = frozenset()

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace the set of excluded failure domains."""
        self._set(frozenset(stored.name for stored in objects))

    async def apply(self, stored: StoredObject) -> None:
        """Exclude one failure domain, or include it if deleted."""
        domain = frozenset((stored.name,))
        if stored.text is None:
            self._set(self.excluded - domain)
        else:
            self._set(self.excluded | domain)

    def _set(self, excluded: frozenset[str]) -> None:
        if excluded != self.excluded:
            self.excluded = excluded
            self._log.record('out_domains', domains=sorted(excluded))


class ServerSink:
    """Keeps the registry of servers in step with the store.

    Parameters:
        registry: registry to update.
        pool: closes the connections of servers that are removed or replaced.
        decode: decodes a registration.
        health: tells whether the store is lost or was regained recently.
        clock: times the removals.
        log: gets a record for each invalid registration.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        pool: ConnectionPool,
        decode: DecodeServer,
        health: StoreHealth,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Initialize without pending removals."""
        self._registry = registry
        self._pool = pool
        self._decode = decode
        self._health = health
        self._clock = clock
        self._log = log
        self._removal_due_at: dict[str, float] = {}

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Apply all registrations and remove servers not among them."""
        registered = {stored.name for stored in objects}
        for stored in objects:
            await self.apply(stored)
        for server_id in self._registry.server_ids() - registered:
            await self._remove(server_id)

    async def apply(self, stored: StoredObject) -> None:
        """Apply a registration; remove its server if deleted or invalid."""
        if stored.text is None:
            await self._remove(stored.name)
            return
        decoded = self._decode(stored)
        if not isinstance(decoded, Success):
            self._log.record('server_invalid', error=str(decoded.failure()))
            await self._remove(stored.name)
            return
        self._removal_due_at.pop(stored.name, None)
        replaced = self._registry.register(decoded.unwrap())
        if replaced is not None:
            await self._pool.close_server(replaced)

    async def run_removals(self) -> None:
        """Remove servers whose removal is due, until cancelled.

        Removals are deferred around an outage of the store, so that running
        servers can register again.
        """
        while True:
            await curio.sleep(_REMOVAL_POLL_INTERVAL_S)
            now = self._clock.monotonic()
            for server_id, due in tuple(self._removal_due_at.items()):
                if due <= now:
                    await self._remove_now(server_id)

    async def _remove(self, server_id: str) -> None:
        regained_at = self._health.regained_at
        now = self._clock.monotonic()
        if self._health.lost:
            # The objects come from a member, which may have regained the store
            # so recently that not all servers are registered again.
            self._removal_due_at.setdefault(server_id, now + _REREGISTRATION_S)
        elif regained_at is not None and now < regained_at + _REREGISTRATION_S:
            self._removal_due_at[server_id] = regained_at + _REREGISTRATION_S
        else:
            await self._remove_now(server_id)

    async def _remove_now(self, server_id: str) -> None:
        self._removal_due_at.pop(server_id, None)
        server = self._registry.remove(server_id)
        if server is not None:
            await self._pool.close_server(server)
