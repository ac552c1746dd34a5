"""TCP connections without Nagle's algorithm."""

from __future__ import annotations

import fcntl
import os
import select
import struct
import termios
from contextlib import suppress

import curio

from ..exceptions import ConnectionLostError

_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBE_COUNT = 2
_USER_TIMEOUT_MS = 2500
# Position and size of the smoothed round-trip time in Linux's tcp_info.
_ROUND_TRIP_OFFSET_BYTES = 68
_ROUND_TRIP = struct.Struct('=I')
_COUNT = struct.Struct('=i')
# The kernel allows for twice as much with its own overhead.
SHORT_SEND_BUFFER_BYTES = 65536
LONG_SEND_BUFFER_BYTES = 262144
# Closing the socket resets the connection and frees what was not sent.
_NO_LINGER = struct.pack('ii', 1, 0)
_US_PER_S = 1_000_000


async def connect(
    host: str,
    port: int,
    *,
    detect_dead_peer: bool = False,
) -> curio.io.Socket:
    """Open a TCP connection without Nagle's algorithm.

    Parameters:
        detect_dead_peer: whether the kernel ends the connection within a few
            seconds if the peer's host stops acknowledging packets.

    Raises:
        ConnectionLostError: the peer cannot be reached.
    """
    try:
        stream = await _open(host, port)
    except (OSError, OverflowError) as error:
        # The latter for a port that is out of range.
        raise ConnectionLostError(str(error)) from error
    disable_delay(stream)
    if detect_dead_peer:
        _enable_dead_peer_detection(stream)
    return stream


async def _open(host: str, port: int) -> curio.io.Socket:
    if not _is_ipv4(host):
        return await curio.open_connection(host, port)
    # A look-up occupies a thread, which a busy process starts late.
    stream = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
    try:
        await stream.connect((host, port))
    except BaseException:
        await stream.close()
        raise
    return stream


def _is_ipv4(host: str) -> bool:
    try:
        curio.socket.inet_pton(curio.socket.AF_INET, host)
    except OSError:
        return False
    return True


def send_now(stream: curio.io.Socket, payload: bytes) -> int:
    """Send as much as the socket accepts without waiting.

    Returns:
        The number of bytes sent, which may be 0.

    Raises:
        OSError: the connection is lost.
    """
    try:
        return os.write(stream.fileno(), payload)
    except BlockingIOError:
        return 0


def has_unread(descriptor: int) -> bool:
    """Return whether bytes, or the end of the stream, can be read now.

    Parameters:
        descriptor: file descriptor of the socket.
    """
    return _is_ready(descriptor, select.POLLIN)


def may_write(descriptor: int) -> bool:
    """Return whether the socket accepts bytes now, or has failed.

    Parameters:
        descriptor: file descriptor of the socket.
    """
    return _is_ready(descriptor, select.POLLOUT)


def unacknowledged_bytes(descriptor: int) -> int:
    """Return how many sent bytes the peer has not acknowledged.

    Parameters:
        descriptor: file descriptor of the socket.

    Returns:
        The number of bytes; 0 if it is unknown.
    """
    try:
        raw = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError:
        return 0
    return int(_COUNT.unpack(raw)[0])


def bound_send_buffer(stream: curio.io.Socket, size: int) -> None:
    """Bound what the kernel holds for a peer that does not read.

    Parameters:
        size: bytes that it takes before the peer acknowledges any.
    """
    with suppress(OSError):
        stream.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_SNDBUF, size)


def drop_unsent(stream: curio.io.Socket) -> None:
    """Let the kernel drop what was not sent once the socket is closed.

    It would keep trying to send it for minutes.
    """
    with suppress(OSError):
        stream.setsockopt(
            curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, _NO_LINGER
        )


async def shut_down(stream: curio.io.Socket) -> None:
    """End a connection for the peer at once, before the socket is closed.

    The kernel rejects what the peer sends until then, however late the task
    that closes the socket has its next turn.
    """
    with suppress(OSError):
        # It raises if the peer has just reset the connection.
        await stream.shutdown(curio.socket.SHUT_RDWR)


def round_trip_time(stream: curio.io.Socket) -> float:
    """Return the round-trip time to the peer in seconds; 0 if unknown."""
    size = _ROUND_TRIP_OFFSET_BYTES + _ROUND_TRIP.size
    try:
        raw = stream.getsockopt(
            curio.socket.IPPROTO_TCP, curio.socket.TCP_INFO, size
        )
    except OSError:
        return 0
    if len(raw) < size:
        return 0
    round_trip_us = _ROUND_TRIP.unpack_from(raw, _ROUND_TRIP_OFFSET_BYTES)[0]
    return round_trip_us / _US_PER_S


def disable_delay(stream: curio.io.Socket) -> None:
    """Disable Nagle's algorithm, so that small messages are sent at once."""
    stream.setsockopt(
        curio.socket.IPPROTO_TCP,
        curio.socket.TCP_NODELAY,
        1,
    )


def _is_ready(descriptor: int, event: int) -> bool:
    poller = select.poll()
    poller.register(descriptor, event)
    return bool(poller.poll(0))


def _enable_dead_peer_detection(stream: curio.io.Socket) -> None:
    sockets = curio.socket
    stream.setsockopt(sockets.SOL_SOCKET, sockets.SO_KEEPALIVE, 1)
    for option, setting in (
        (sockets.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (sockets.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (sockets.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT),
        # Keepalive probes are not sent while data is unacknowledged.
        (sockets.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        stream.setsockopt(sockets.IPPROTO_TCP, option, setting)
