"""Puts mirrored objects into force."""

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

# How long a server that lives may take to register again after an outage
# of the store, in seconds.
_REGISTER_AGAIN_S = 2.2
_REMOVAL_POLL_S = 0.2

DecodeTable = Callable[
    [StoredObject], Result[RoutingTable, InvalidDocumentError]
]
DecodeServer = Callable[
    [StoredObject],
    Result[ServerRecord, InvalidDocumentError],
]


class TableSink:
    """Keeps the newest configuration that could be read."""

    def __init__(
        self,
        name: str,
        decode: DecodeTable,
        log: DecisionLog,
    ) -> None:
        """Start without a configuration.

        Parameters:
            name: object that holds the configuration.
        """
        self._name = name
        self._decode = decode
        self._log = log
        self.table: RoutingTable | None = None

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Take the configuration from all objects of its kind."""
        for stored in objects:
            await self.change(stored)

    async def change(self, stored: StoredObject) -> None:
        """Put a configuration into force unless it is older."""
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
    """Failure domains whose servers are to get nothing."""

    def __init__(self, log: DecisionLog) -> None:
        """Start with all failure domains in service."""
        self._log = log
        self.excluded: frozenset[str] = frozenset()

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all failure domains that are out."""
        self._set(frozenset(one.name for one in objects))

    async def change(self, stored: StoredObject) -> None:
        """Take one failure domain out or back in."""
        named = frozenset((stored.name,))
        if stored.text is None:
            self._set(self.excluded - named)
        else:
            self._set(self.excluded | named)

    def _set(self, out: frozenset[str]) -> None:
        if out != self.excluded:
            self.excluded = out
            self._log.record('out_domains', domains=sorted(out))


class ServerSink:
    """Keeps the registry of servers as the store names them."""

    def __init__(
        self,
        registry: ServerRegistry,
        pool: ConnectionPool,
        decode: DecodeServer,
        health: StoreHealth,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Start with nothing to remove."""
        self._registry = registry
        self._pool = pool
        self._decode = decode
        self._health = health
        self._clock = clock
        self._log = log
        self._removals: dict[str, float] = {}

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all registrations; servers not among them are gone."""
        named = {stored.name for stored in objects}
        for stored in objects:
            await self.change(stored)
        for server_id in self._registry.identifiers() - named:
            await self._remove(server_id)

    async def change(self, stored: StoredObject) -> None:
        """Take one registration or the end of one."""
        if stored.text is None:
            await self._remove(stored.name)
            return
        decoded = self._decode(stored)
        if not isinstance(decoded, Success):
            self._log.record('server_invalid', error=str(decoded.failure()))
            await self._remove(stored.name)
            return
        self._removals.pop(stored.name, None)
        replaced = self._registry.put(decoded.unwrap())
        if replaced is not None:
            await self._pool.close_server(replaced)

    async def run_removals(self) -> None:
        """Remove servers that did not register again after an outage."""
        while True:
            await curio.sleep(_REMOVAL_POLL_S)
            now = self._clock.monotonic()
            for server_id, due in tuple(self._removals.items()):
                if due <= now:
                    await self._remove_now(server_id)

    async def _remove(self, server_id: str) -> None:
        regained = self._health.regained_at
        now = self._clock.monotonic()
        if self._health.lost:
            # Learned from a member, which may itself have just regained the
            # store.
            self._removals.setdefault(server_id, now + _REGISTER_AGAIN_S)
        elif regained is not None and now < regained + _REGISTER_AGAIN_S:
            self._removals[server_id] = regained + _REGISTER_AGAIN_S
        else:
            await self._remove_now(server_id)

    async def _remove_now(self, server_id: str) -> None:
        self._removals.pop(server_id, None)
        server = self._registry.remove(server_id)
        if server is not None:
            await self._pool.close_server(server)
