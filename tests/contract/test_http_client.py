"""Contract tests of the HTTP client with a peer that misbehaves."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any

import curio
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._adapters._http_client import HttpConnection, HttpRequest
from daisydyke._domain._model import Address
from daisydyke.exceptions import DaisydykeError
from tests.gateway.test_connection import ENDLESS_REPLIES

_PORTS = count(22000)
_HOST = '127.0.0.1'
_BLOCK_BYTES = 65536
# More than any response that the client accepts.
_ENDLESS_BYTES = 1 << 26
_TIMEOUT_S = 5

Serve = Callable[[curio.io.Socket], Awaitable[None]]


def encode_response(body: bytes) -> bytes:
    """Return a whole response."""
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(body),
        body,
    )


class RawServer:
    """Peer that answers each request with given bytes.

    Attributes:
        connections: number of connections accepted.
    """

    def __init__(self, *replies: bytes) -> None:
        """Initialize with the bytes after each request, in order."""
        self._replies = list(replies)
        self.connections = 0

    async def serve(self, client: curio.io.Socket, address: object) -> None:
        """Serve one connection."""
        self.connections += 1
        async with client:
            while self._replies and await client.recv(_BLOCK_BYTES):
                await client.sendall(self._replies.pop(0))
            await client.recv(_BLOCK_BYTES)


async def request_twice(server: RawServer) -> tuple[bytes, bytes]:
    """Return the bodies of two requests on one HttpConnection."""
    port = next(_PORTS)
    task = await curio.spawn(curio.tcp_server, _HOST, port, server.serve)
    await curio.sleep(0.05)
    connection = HttpConnection(Address(_HOST, port))
    bodies: list[bytes] = []
    async with curio.timeout_after(_TIMEOUT_S):
        for target in ('/1', '/2'):
            response = await connection.request(HttpRequest('GET', target))
            bodies.append(response.body)
            await curio.sleep(0.05)
    await connection.close()
    await task.cancel()
    return bodies[0], bodies[1]


class EndlessServer:
    """Peer that sends bytes until the client closes the connection.

    Without repeated bytes, it closes the connection itself.

    Attributes:
        sent_bytes: size of all that was sent.
    """

    def __init__(self, start: bytes, repeated: bytes) -> None:
        """Initialize with the first bytes and those sent again and again."""
        self._start = start
        self._block = repeated * (_BLOCK_BYTES // max(1, len(repeated)))
        self.sent_bytes = 0

    async def serve(self, client: curio.io.Socket, address: object) -> None:
        """Serve one connection."""
        async with client:
            await client.recv(_BLOCK_BYTES)
            await client.sendall(self._start)
            while self._block and self.sent_bytes < _ENDLESS_BYTES:
                try:
                    await client.sendall(self._block)
                except OSError:
                    return
                self.sent_bytes += len(self._block)


async def request_endless(server: EndlessServer) -> str:
    """Return the name of the error of a request that never gets an end."""
    port = next(_PORTS)
    task = await curio.spawn(curio.tcp_server, _HOST, port, server.serve)
    await curio.sleep(0.05)
    connection = HttpConnection(Address(_HOST, port))
    error_name = ''
    try:
        async with curio.timeout_after(_TIMEOUT_S):
            await connection.request(HttpRequest('GET', '/'))
    except (DaisydykeError, curio.TaskTimeout) as error:
        error_name = type(error).__name__
    await connection.close()
    await task.cancel()
    return error_name


class TestDuplicates(TestCase):
    """A peer sends a second copy of a response."""

    def test_next_request_gets_its_own_response(self) -> None:
        """A whole copy, or a part of one, is not taken for a response."""
        first = encode_response(b'first')
        for copied in (len(first), len(first) - 2, 20, 1):
            server = RawServer(
                first + first[:copied], encode_response(b'second')
            )
            bodies = curio.run(request_twice, server)
            self.assertThat(bodies, Equals((b'first', b'second')), copied)
            self.assertThat(server.connections, Equals(2), copied)

    def test_reuse(self) -> None:
        """Without a copy, the connection is used again."""
        server = RawServer(encode_response(b'first'), encode_response(b'2'))
        bodies = curio.run(request_twice, server)
        self.assertThat(bodies, Equals((b'first', b'2')))
        self.assertThat(server.connections, Equals(1))


class TestClosedBeforeTheEnd(TestCase):
    """A peer closes the connection instead of answering."""

    def test_is_no_violation(self) -> None:
        """A connection that is closed differs from bytes that are wrong.

        A store that closes a waiting watch was logged as one that sends
        invalid messages.
        """
        for start in (b'', encode_response(b'whole')[:-1]):
            peer = EndlessServer(start, b'')
            error_name = curio.run(request_endless, peer)
            self.assertThat(error_name, Equals('ConnectionLostError'), start)


class TestEndlessBytes(TestCase):
    """A peer sends bytes until this VM closes the connection."""

    def test_is_cut_off(self) -> None:
        """A limit ends each kind of response, before any time-out."""
        for name, (start, repeated) in _endless_responses().items():
            server = EndlessServer(start, repeated)
            error_name = curio.run(request_endless, server)
            self.assertThat(error_name, Equals('ProtocolViolationError'), name)
            self.assertThat(server.sent_bytes, LessThan(_ENDLESS_BYTES), name)


def _endless_responses() -> dict[str, Any]:
    # These begin with a whole response, which ends the exchange.
    return {
        name: reply
        for name, reply in ENDLESS_REPLIES.items()
        if name not in {'idle', 'foreign'}
    }
