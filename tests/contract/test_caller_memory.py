"""Tests of the memory that idle connections of callers hold."""

from __future__ import annotations

from itertools import count

import curio
from testtools import TestCase
from testtools.matchers import LessThan

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._domain._model import Address
from tests.gateway.test_memory import held_bytes, without_collector

_PORTS = count(23100)
CONNECTIONS = 20
BODY = b'x' * 60_000


async def _handle(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b'ok')


async def _send_from_each() -> int:
    """Send a body on each of some connections.

    Returns:
        The bytes that are held for them while they are idle.
    """
    server = HttpServer(_handle)
    address = Address('127.0.0.1', next(_PORTS))
    await server.start(address)
    clients = [
        await curio.open_connection(address.host, address.port)
        for _ in range(CONNECTIONS)
    ]
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' % len(
        BODY
    )
    before = held_bytes()
    for client in clients:
        await client.sendall(head + BODY)
        await client.recv(1000)
    return held_bytes() - before


class TestIdleCallers(TestCase):
    """ClientConnection"""

    def test_body_is_freed(self) -> None:
        """An idle connection does not hold the body of its last request."""
        with without_collector():
            held = curio.run(_send_from_each)
        self.assertThat(held, LessThan(CONNECTIONS * len(BODY) // 4))
