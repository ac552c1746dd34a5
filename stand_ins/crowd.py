"""Crowd of callers that keep no limits."""

from __future__ import annotations

import itertools
import socket
import time
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager, suppress

from daisydyke._domain._model import Address

# For steps of one caller; a gateway that does not read must not hold the test.
_STEP_TIMEOUT_S = 1.0
_ROUND_S = 0.1
# Long answers are asked for one after the other, so that each is received
# whole before the next one.
_PACE_S = 0.03
_REQUEST = (
    b'GET /%b/x HTTP/1.1\r\nHost: %b\r\nDaisydyke-Request-Id: r%d\r\n\r\n'
)
_POST = (
    b'POST /short/x HTTP/1.1\r\nHost: %b\r\nDaisydyke-Request-Id: p\r\n'
    b'Content-Length: %d\r\n\r\n'
)
# Beginning of a TLS 1.2 handshake.
_TLS_HELLO = bytes.fromhex('16030100c8010000c40303') + bytes(range(189))
_ANNOUNCED_BYTES = 262_000
_SENT_BYTES = 200_000
_PIPELINED_COUNT = 8


class Crowd:
    """Open connections of callers.

    Parameters:
        stack: closes the connections.
        address: address of a gateway for callers.
        host: host of its routes, which are ``/long/`` and ``/short/``.
    """

    def __init__(self, stack: ExitStack, address: Address, host: str) -> None:
        """Initialize without callers."""
        self._stack = stack
        self._address = address
        self._host = host.encode()
        self._slow_readers: list[socket.socket] = []
        self._slow_writers: list[tuple[socket.socket, Iterator[int]]] = []

    def read_slowly(self, count: int) -> None:
        """Ask for long answers; half of the callers read a bit, half none."""
        for number in range(count):
            caller = self._open(self._request(b'long', number))
            time.sleep(_PACE_S)
            if number % 2:
                self._slow_readers.append(caller)

    def pipeline(self, count: int) -> None:
        """Ask for long answers in a row that nobody reads."""
        for _ in range(count):
            self._open(
                b''.join(
                    self._request(b'long', number)
                    for number in range(_PIPELINED_COUNT)
                )
            )
            time.sleep(_PACE_S)

    def close_half(self, count: int) -> None:
        """Ask for long answers, end the sending side and read nothing."""
        for number in range(count):
            caller = self._open(self._request(b'long', number))
            with suppress(OSError):
                caller.shutdown(socket.SHUT_WR)

    def use_many_connections(self, count: int) -> None:
        """Send an ordinary request on each of very many connections."""
        self._open_each(
            self._request(b'short', number) for number in range(count)
        )

    def send_bytewise(self, count: int) -> None:
        """Send heads and bodies a byte at a time."""
        for number in range(count):
            post = _POST % (self._host, _ANNOUNCED_BYTES)
            body = post + b'x' * _ANNOUNCED_BYTES
            head = self._request(b'short', number)[:-2]
            head = b'%bX-Long: %b' % (head, b'y' * _SENT_BYTES)
            pieces = iter(body if number % 2 else head)
            self._slow_writers.append((self._open(b''), pieces))

    def send_binary(self, count: int) -> None:
        """Send a TLS hello, or other bytes, where a request is due."""
        for number in range(count):
            binary = _TLS_HELLO if number % 2 else bytes(range(256)) * 200
            self._open(binary)

    def open_only(self, count: int) -> None:
        """Open connections and send nothing."""
        self._open_each(itertools.repeat(b'', count))

    def announce_only(self, count: int) -> None:
        """Announce bodies, and send a part of them only."""
        post = _POST % (self._host, _ANNOUNCED_BYTES)
        self._open_each(itertools.repeat(post + b'x' * _SENT_BYTES, count))

    def stay(self, seconds: float) -> None:
        """Read and write slowly for a time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for reader in self._slow_readers:
                with suppress(OSError):
                    reader.recv(1, socket.MSG_DONTWAIT)
            for writer, pieces in self._slow_writers:
                with suppress(OSError):
                    writer.send(bytes([next(pieces)]))
            time.sleep(_ROUND_S)

    def _request(self, route: bytes, number: int) -> bytes:
        return _REQUEST % (route, self._host, number)

    def _open_each(self, openings: Iterable[bytes]) -> None:
        for first_bytes in openings:
            self._open(first_bytes)

    def _open(self, first_bytes: bytes) -> socket.socket:
        caller = self._stack.enter_context(socket.socket())
        caller.settimeout(_STEP_TIMEOUT_S)
        with suppress(OSError):
            caller.connect((self._address.host, self._address.port))
            caller.sendall(first_bytes)
        return caller


@contextmanager
def gather(address: Address, host: str) -> Iterator[Crowd]:
    """Return a crowd whose connections are closed in the end.

    Parameters:
        address: see Crowd.
        host: see Crowd.
    """
    with ExitStack() as stack:
        yield Crowd(stack, address, host)
