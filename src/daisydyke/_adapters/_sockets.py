"""Connected sockets without Nagle's algorithm."""

from __future__ import annotations

import curio

from ..exceptions import ConnectionLostError

_PROBE_AFTER_S = 1
_PROBE_INTERVAL_S = 1
_LOST_PROBES = 2
_UNACKNOWLEDGED_MS = 2500


async def connect(
    host: str,
    port: int,
    *,
    detect_dead_peer: bool = False,
) -> curio.io.Socket:
    """Open a TCP connection that sends small messages at once.

    Parameters:
        detect_dead_peer: let the kernel end the connection within a few
            seconds once the peer's host no longer acknowledges anything.

    Raises:
        ConnectionLostError: the peer cannot be reached.
    """
    try:
        stream = await curio.open_connection(host, port)
    except OSError as error:
        raise ConnectionLostError(str(error)) from error
    disable_delay(stream)
    if detect_dead_peer:
        _probe_peer(stream)
    return stream


def disable_delay(stream: curio.io.Socket) -> None:
    """Send small messages at once on an accepted connection."""
    stream.setsockopt(
        curio.socket.IPPROTO_TCP,
        curio.socket.TCP_NODELAY,
        1,
    )


def _probe_peer(stream: curio.io.Socket) -> None:
    sockets = curio.socket
    stream.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
    for option, setting in (
        (sockets.TCP_KEEPIDLE, _PROBE_AFTER_S),
        (sockets.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (sockets.TCP_KEEPCNT, _LOST_PROBES),
        # Probes are not sent while data waits to be acknowledged.
        (sockets.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    ):
        stream.setsockopt(sockets.IPPROTO_TCP, option, setting)
