"""HTTP servers of the gateway, with their shares of the VM's limits."""

from __future__ import annotations

from collections.abc import Callable

from .._adapters._server_state import CutReport, Handler, HttpLimits
from .._adapters._http_server import HttpCapacity, HttpServer
from .._requests._routes import RoutingTable
from ..platform._settings import NodeSettings

_REQUEST_MEMORY_SHARE = 0.125
# Shares of the sockets for callers, and for the clients of each other port;
# the rest is for connections to servers.
_CALLER_SOCKETS_SHARE = 0.5
_OTHER_SOCKETS_SHARE = 0.0625


def make_caller_server(
    settings: NodeSettings,
    handler: Handler,
    report_cut: CutReport,
    current_table: Callable[[], RoutingTable | None],
) -> HttpServer:
    """Return the server for callers.

    Parameters:
        handler: answers the requests of callers.
        report_cut: called with each request that gets no whole answer.
        current_table: returns the newest routing table, whose limits apply
            to callers; None before the first one.
    """
    return HttpServer(
        handler,
        cancel_on_disconnect=True,
        limits=lambda: _to_limits(current_table()),
        capacity=HttpCapacity(
            int(settings.sockets * _CALLER_SOCKETS_SHARE),
            int(settings.memory_bytes * _REQUEST_MEMORY_SHARE),
        ),
        report_cut=report_cut,
    )


def make_server(settings: NodeSettings, handler: Handler) -> HttpServer:
    """Return a server for health checks, scrapes, addresses or members."""
    connections = int(settings.sockets * _OTHER_SOCKETS_SHARE)
    return HttpServer(handler, capacity=HttpCapacity(connections))


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
