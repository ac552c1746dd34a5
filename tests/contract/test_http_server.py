"""Contract tests of the HTTP server, with raw bytes over loopback."""

from collections.abc import Awaitable, Callable
from itertools import count

import curio
from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan, StartsWith

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpLimits, HttpServer
from daisydyke._domain._model import Address

_PORTS = count(19800)
WORK_S = 0.2
REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
LAST = b'GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
SMUGGLED = (
    b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\n\r\n'
)


class Handler:
    """Works for a while and notes what became of each request."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.seen: list[str] = []
        self.cancelled = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer with the target after some work."""
        self.seen.append(request.target)
        try:
            await curio.sleep(WORK_S)
        except curio.CancelledError:
            self.cancelled += 1
            raise
        return HttpResponse(200, request.target.encode())


Scenario = Callable[[HttpServer, Handler, curio.io.Socket], Awaitable[object]]


def play(scenario: Scenario, limits: HttpLimits | None = None) -> object:
    """Run a scenario with a server and one client connection."""

    async def _run() -> object:
        handler = Handler()
        server = HttpServer(
            handler.handle,
            cancel_on_disconnect=True,
            limits=lambda: limits or HttpLimits(),
        )
        port = next(_PORTS)
        await server.start(Address('127.0.0.1', port))
        client = await curio.open_connection('127.0.0.1', port)
        async with client:
            return await scenario(server, handler, client)

    return curio.run(_run)


async def read_all(client: curio.io.Socket) -> bytes:
    """Read until the server closes."""
    received = b''
    async with curio.timeout_after(3):
        while chunk := await client.recv(65536):
            received += chunk
    return received


class TestHttpServer(TestCase):
    """HttpServer"""

    def test_caller_that_leaves(self) -> None:
        """A request whose caller closes the connection is cancelled."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST)
            await curio.sleep(WORK_S / 4)
            await client.close()
            await curio.sleep(WORK_S / 4)
            return handler.cancelled, server.requests_in_progress

        self.assertThat(play(_scenario), Equals((1, 0)))

    def test_requests_in_a_row(self) -> None:
        """What is sent ahead is answered in order, on one connection."""

        async def _scenario(server, handler, client):
            await client.sendall(
                REQUEST + REQUEST.replace(b'x', b'y', 1) + LAST
            )
            return await read_all(client)

        received = play(_scenario)
        self.assertThat(received.count(b'HTTP/1.1 200'), Equals(3))
        self.assertThat(received.index(b'/y'), LessThan(received.rindex(b'/x')))

    def test_request_cut_anywhere(self) -> None:
        """A request may come in pieces."""

        async def _scenario(server, handler, client):
            for start in range(0, len(LAST), 7):
                await client.sendall(LAST[start : start + 7])
                await curio.sleep(0.001)
            return await read_all(client)

        self.assertThat(play(_scenario), StartsWith(b'HTTP/1.1 200'))

    def test_smuggled(self) -> None:
        """A request with two lengths does not bring in another one."""

        async def _scenario(server, handler, client):
            await client.sendall(SMUGGLED)
            received = await read_all(client)
            return received, handler.seen

        received, seen = play(_scenario)
        self.assertThat('/y' in seen, Equals(False))
        self.assertThat(received.count(b'HTTP/1.1 '), Equals(1))

    def test_noise(self) -> None:
        """Bytes that are no request are refused, and nothing runs."""

        async def _scenario(server, handler, client):
            await client.sendall(b'\x00\xff\r\n\r\n')
            return await read_all(client), handler.seen

        received, seen = play(_scenario)
        self.assertThat(received, StartsWith(b'HTTP/1.1 400'))
        self.assertThat(seen, Equals([]))

    def test_body_too_large(self) -> None:
        """A body beyond the limit is refused before it is whole."""

        async def _scenario(server, handler, client):
            head = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n'
            await client.sendall(head + b'a' * 50)
            return await read_all(client)

        received = play(_scenario, HttpLimits(body_bytes=10))
        self.assertThat(received, StartsWith(b'HTTP/1.1 413'))

    def test_slow_head(self) -> None:
        """A caller that never ends its head is cut off."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST[:10])
            return await read_all(client)

        limits = HttpLimits(head_timeout=0.2)
        self.assertThat(play(_scenario, limits), Equals(b''))

    def test_drain(self) -> None:
        """What is under way is answered, and told to be the last."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST)
            await curio.sleep(WORK_S / 4)
            await server.drain()
            return await read_all(client)

        received = play(_scenario)
        self.assertThat(received, StartsWith(b'HTTP/1.1 200'))
        self.assertThat(received.lower(), Contains(b'connection: close'))
