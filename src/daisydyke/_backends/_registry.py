"""Registry of the backend servers, by identifier and by service."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .._ports import Clock, DecisionLog
from ._server import BackendServer, ServerRecord


class ServerRegistry:
    """Backend servers that are registered in the platform store.

    Removed servers are retained until their last connection has closed.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        """Initialize an empty registry."""
        self._clock = clock
        self._log = log
        self._by_id: dict[str, BackendServer] = {}
        self._by_service: dict[str, list[BackendServer]] = {}
        self._removed: list[BackendServer] = []

    def all(self) -> list[BackendServer]:
        """Return all servers, including removed ones with connections."""
        self._removed = [
            server for server in self._removed if server.connections
        ]
        return [*self._by_id.values(), *self._removed]

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the registered servers of a service."""
        return self._by_service.get(service, [])

    def register(self, record: ServerRecord) -> BackendServer | None:
        """Add a server or update its registration.

        A changed start time or address means that the server has restarted;
        the new instance replaces the registered one.

        Returns:
            The server that was replaced, if any.
        """
        server = self._by_id.get(record.server_id)
        if server is None:
            self._add(record)
            return None
        if server.record.started_ms != record.started_ms or (
            server.record.address != record.address
        ):
            self._remove(server)
            self._add(record)
            return server
        if server.record.draining != record.draining:
            self._log.record(
                'server',
                server=record.server_id,
                service=record.service,
                state='draining' if record.draining else 'ready',
            )
        server.record = record
        self._update_cold_until(server)
        return None

    def remove(self, server_id: str) -> BackendServer | None:
        """Remove a server and return it, or None if it is not registered."""
        server = self._by_id.get(server_id)
        if server is not None:
            self._remove(server)
        return server

    def server_ids(self) -> set[str]:
        """Return the identifiers of all registered servers."""
        return set(self._by_id)

    def _add(self, record: ServerRecord) -> None:
        server = BackendServer(record)
        self._by_id[record.server_id] = server
        self._update_cold_until(server)
        self._index_service(record.service)
        self._log.record(
            'server',
            server=record.server_id,
            service=record.service,
            state='draining' if record.draining else 'ready',
            address=str(record.address),
        )

    def _remove(self, server: BackendServer) -> None:
        self._by_id.pop(server.server_id)
        self._removed.append(server)
        self._index_service(server.record.service)
        self._log.record(
            'server',
            server=server.server_id,
            service=server.record.service,
            state='gone',
        )

    def _update_cold_until(self, server: BackendServer) -> None:
        if server.record.cold_for > 0:
            until = self._clock.monotonic() + server.record.cold_for
            server.cold_until = until

    def _index_service(self, service: str) -> None:
        self._by_service[service] = [
            server
            for server in self._by_id.values()
            if server.record.service == service
        ]


class UsableServers:
    """The registered servers that may be sent new requests.

    Parameters:
        registry: all registered servers.
        excluded_domains: returns the failure domains that are out of service.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        excluded_domains: Callable[[], frozenset[str]],
    ) -> None:
        """Initialize with the sources of servers and domains."""
        self._registry = registry
        self._excluded_domains = excluded_domains

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the usable servers of a service."""
        return usable(
            self._registry.of_service(service), self._excluded_domains()
        )

    def includes(self, server: BackendServer) -> bool:
        """Return whether a server is usable."""
        return _is_usable(server, self._excluded_domains())


def usable(
    servers: Iterable[BackendServer],
    excluded_domains: frozenset[str],
) -> list[BackendServer]:
    """Return the servers that may be sent new requests.

    Parameters:
        excluded_domains: failure domains that are out of service.
    """
    return [
        server for server in servers if _is_usable(server, excluded_domains)
    ]


def _is_usable(server: BackendServer, excluded_domains: frozenset[str]) -> bool:
    record = server.record
    return not (
        record.draining or server.removed or record.domain in excluded_domains
    )
