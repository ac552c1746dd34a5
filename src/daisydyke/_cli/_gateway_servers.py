"""HTTP servers of the gateway, with their shares of the VM's limits."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .._adapters._server_state import Handler, HttpLimits, UnservedRequests
from .._adapters._http_server import HttpCapacity, HttpServer
from .._domain._byte_budget import PeerMemory
from .._requests._routes import RoutingTable
from ..platform._callers import CallerHandler
from ..platform._settings import NodeSettings

# Shares of the VM's memory. A body is held more than once at times, and the
# process itself takes up to a third of a small VM.
_PEER_MEMORY_SHARE = 0.3125
_REQUEST_MEMORY_SHARE = 0.125
_ANSWER_MEMORY_SHARE = 0.25
# Shares of the sockets for callers, and for the clients of each other port;
# the rest is for connections to servers.
_CALLER_SOCKETS_SHARE = 0.5
_OTHER_SOCKETS_SHARE = 0.0625
# Listeners, datagrams, and connections to the store and to other VMs.
_OWN_SOCKETS_COUNT = 32


def make_peer_memory(settings: NodeSettings) -> PeerMemory:
    """Return the account of what callers and servers make this VM hold."""
    return PeerMemory(
        int(settings.memory_bytes * _PEER_MEMORY_SHARE),
        int(settings.memory_bytes * _REQUEST_MEMORY_SHARE),
        int(settings.memory_bytes * _ANSWER_MEMORY_SHARE),
    )


def make_caller_server(
    settings: NodeSettings,
    memory: PeerMemory,
    handler: CallerHandler,
    current_table: Callable[[], RoutingTable | None],
) -> HttpServer:
    """Return the server for callers.

    Parameters:
        memory: bounds what callers and servers make this VM hold.
        handler: answers, refuses and reports the requests of callers.
        current_table: returns the newest routing table, whose limits apply
            to callers; None before the first one.
    """
    return HttpServer(
        handler.handle,
        cancel_on_disconnect=True,
        limits=lambda: _to_limits(current_table()),
        capacity=HttpCapacity(int(settings.sockets * _CALLER_SOCKETS_SHARE)),
        memory=memory,
        unserved=UnservedRequests(
            handler.report_cut, handler.refuse_for_memory
        ),
    )


def make_server(settings: NodeSettings, handler: Handler) -> HttpServer:
    """Return a server for health checks, scrapes, addresses or members."""
    connections = int(settings.sockets * _OTHER_SOCKETS_SHARE)
    return HttpServer(handler, capacity=HttpCapacity(connections))


def sockets_for_servers(
    settings: NodeSettings, servers: Iterable[HttpServer]
) -> int:
    """Return how many sockets connections to servers may take now.

    Parameters:
        servers: servers of this VM, whose clients have the others.
    """
    clients = sum(server.connection_count for server in servers)
    return settings.sockets - clients - _OWN_SOCKETS_COUNT


def _to_limits(table: RoutingTable | None) -> HttpLimits:
    if table is None:
        return HttpLimits()
    limits = table.limits
    return HttpLimits(
        limits.head_bytes,
        limits.body_bytes,
        limits.head_timeout,
        limits.idle_timeout,
    )
