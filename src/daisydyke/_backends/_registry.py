"""The backend servers that are registered, by service."""

from __future__ import annotations

from collections.abc import Iterable

from .._ports import Clock, DecisionLog
from ._server import BackendServer, ServerRecord


class ServerRegistry:
    """Servers that may be given work, as the platform store names them."""

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        """Know no server."""
        self._clock = clock
        self._log = log
        self._by_id: dict[str, BackendServer] = {}
        self._by_service: dict[str, list[BackendServer]] = {}
        self._left: list[BackendServer] = []

    def all(self) -> list[BackendServer]:
        """Return all servers, those included that have left lately."""
        self._left = [one for one in self._left if one.connections]
        return [*self._by_id.values(), *self._left]

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the registered servers of a service."""
        return self._by_service.get(service, [])

    def register(self, record: ServerRecord) -> BackendServer | None:
        """Take a registration; returns a server that it replaces."""
        known = self._by_id.get(record.server_id)
        if known is None:
            self._add(record)
            return None
        if known.record.started_ms != record.started_ms or (
            known.record.address != record.address
        ):
            self._remove(known)
            self._add(record)
            return known
        if known.record.draining != record.draining:
            self._log.record(
                'server',
                server=record.server_id,
                service=record.service,
                state='draining' if record.draining else 'ready',
            )
        known.record = record
        self._warm_up(known)
        return None

    def remove(self, server_id: str) -> BackendServer | None:
        """Forget a server; returns it if it was known."""
        known = self._by_id.get(server_id)
        if known is not None:
            self._remove(known)
        return known

    def server_ids(self) -> set[str]:
        """Return the identifiers of all registered servers."""
        return set(self._by_id)

    def _add(self, record: ServerRecord) -> None:
        server = BackendServer(record)
        self._by_id[record.server_id] = server
        self._warm_up(server)
        self._index(record.service)
        self._log.record(
            'server',
            server=record.server_id,
            service=record.service,
            state='draining' if record.draining else 'ready',
            address=str(record.address),
        )

    def _remove(self, server: BackendServer) -> None:
        self._by_id.pop(server.server_id)
        self._left.append(server)
        self._index(server.record.service)
        self._log.record(
            'server',
            server=server.server_id,
            service=server.record.service,
            state='gone',
        )

    def _warm_up(self, server: BackendServer) -> None:
        if server.record.cold_for > 0:
            until = self._clock.monotonic() + server.record.cold_for
            server.cold_until = until

    def _index(self, service: str) -> None:
        self._by_service[service] = [
            server
            for server in self._by_id.values()
            if server.record.service == service
        ]


def usable(
    servers: Iterable[BackendServer],
    out_domains: frozenset[str],
) -> list[BackendServer]:
    """Return the servers that may be given new work."""
    return [
        server
        for server in servers
        if not server.record.draining
        and not server.gone
        and server.record.domain not in out_domains
    ]
