"""Contract tests of the HTTP server with raw requests over loopback."""

import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import count
from unittest import mock

import curio
from testtools import TestCase
from testtools.matchers import (
    Contains,
    EndsWith,
    Equals,
    LessThan,
    StartsWith,
)

from daisydyke._adapters._server_state import HttpLimits
from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpCapacity, HttpServer
from daisydyke._domain._model import Address

_PORTS = count(19800)
# How long a drain waits before it closes the listener.
LAST_ACCEPT_S = 0.02
HANDLER_DELAY_S = 0.2
REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
LAST_REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
SMUGGLING_REQUEST = (
    b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\n\r\n'
)


class SlowHandler:
    """Request handler that answers after a delay and records requests."""

    def __init__(self) -> None:
        """Initialize without recorded requests."""
        self.targets: list[str] = []
        self.cancelled_count = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the target of the request after the delay."""
        self.targets.append(request.target)
        try:
            await curio.sleep(HANDLER_DELAY_S)
        except curio.CancelledError:
            self.cancelled_count += 1
            raise
        return HttpResponse(200, request.target.encode())


Scenario = Callable[
    [HttpServer, SlowHandler, curio.io.Socket], Awaitable[object]
]


def run_scenario(
    scenario: Scenario, limits: HttpLimits | None = None
) -> object:
    """Run a scenario with a server and one client connection."""

    async def _connect_and_run() -> object:
        handler = SlowHandler()
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

    return curio.run(_connect_and_run)


async def read_all(client: curio.io.Socket) -> bytes:
    """Read until the server closes the connection."""
    received = b''
    async with curio.timeout_after(3):
        while chunk := await client.recv(65536):
            received += chunk
    return received


class TestHttpServer(TestCase):
    """HttpServer"""

    def test_client_disconnect(self) -> None:
        """A request whose client closes the connection is cancelled."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST)
            await curio.sleep(HANDLER_DELAY_S / 4)
            await client.close()
            await curio.sleep(HANDLER_DELAY_S / 4)
            return handler.cancelled_count, server.requests_in_progress

        self.assertThat(run_scenario(_scenario), Equals((1, 0)))

    def test_pipelined_requests(self) -> None:
        """Pipelined requests are answered in order on one connection."""

        async def _scenario(server, handler, client):
            await client.sendall(
                REQUEST + REQUEST.replace(b'x', b'y', 1) + LAST_REQUEST
            )
            return await read_all(client)

        received = run_scenario(_scenario)
        self.assertThat(received.count(b'HTTP/1.1 200'), Equals(3))
        self.assertThat(received.index(b'/y'), LessThan(received.rindex(b'/x')))

    def test_fragmented_request(self) -> None:
        """A request may arrive in several segments."""

        async def _scenario(server, handler, client):
            for start in range(0, len(LAST_REQUEST), 7):
                await client.sendall(LAST_REQUEST[start : start + 7])
                await curio.sleep(0.001)
            return await read_all(client)

        self.assertThat(run_scenario(_scenario), StartsWith(b'HTTP/1.1 200'))

    def test_request_smuggling(self) -> None:
        """A request with two body lengths cannot smuggle in another one."""

        async def _scenario(server, handler, client):
            await client.sendall(SMUGGLING_REQUEST)
            received = await read_all(client)
            return received, handler.targets

        received, targets = run_scenario(_scenario)
        self.assertThat('/y' in targets, Equals(False))
        self.assertThat(received.count(b'HTTP/1.1 '), Equals(1))

    def test_malformed_request(self) -> None:
        """A malformed request is rejected without a call of the handler."""

        async def _scenario(server, handler, client):
            await client.sendall(b'\x00\xff\r\n\r\n')
            return await read_all(client), handler.targets

        received, targets = run_scenario(_scenario)
        self.assertThat(received, StartsWith(b'HTTP/1.1 400'))
        self.assertThat(targets, Equals([]))

    def test_malformed_head_request(self) -> None:
        """The answer to HEAD has no body, malformed as it may be."""

        async def _scenario(server, handler, client):
            await client.sendall(b'HEAD /x HTTP/1.1\r\n\r\n')
            return await read_all(client)

        received = run_scenario(_scenario)
        self.assertThat(received, StartsWith(b'HTTP/1.1 400'))
        self.assertThat(received, EndsWith(b'\r\n\r\n'))

    def test_body_too_large(self) -> None:
        """A body beyond the limit is rejected before it is complete."""

        async def _scenario(server, handler, client):
            head = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n'
            await client.sendall(head + b'a' * 50)
            return await read_all(client)

        received = run_scenario(_scenario, HttpLimits(body_bytes=10))
        self.assertThat(received, StartsWith(b'HTTP/1.1 413'))

    def test_slow_head(self) -> None:
        """A client that does not complete its request head is disconnected."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST[:10])
            return await read_all(client)

        limits = HttpLimits(head_timeout=0.2)
        self.assertThat(run_scenario(_scenario, limits), Equals(b''))

    def test_drain(self) -> None:
        """A request in progress is answered, and its connection is closed."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST)
            await curio.sleep(HANDLER_DELAY_S / 4)
            await server.drain()
            return await read_all(client)

        received = run_scenario(_scenario)
        self.assertThat(received, StartsWith(b'HTTP/1.1 200'))
        self.assertThat(received.lower(), Contains(b'connection: close'))

    def test_request_that_waits_at_drain(self) -> None:
        """A request that was sent before the drain is answered.

        It may not have been read yet, nor its connection been accepted.
        """

        async def _scenario(server, handler, client):
            host, port = client.getpeername()
            late_client = await curio.open_connection(host, port)
            async with late_client:
                await client.sendall(REQUEST)
                await late_client.sendall(REQUEST)
                await server.drain()
                return await read_all(client), await read_all(late_client)

        for received in run_scenario(_scenario):
            self.assertThat(received, StartsWith(b'HTTP/1.1 200'))

    def test_connection_that_waits_to_be_accepted_at_drain(self) -> None:
        """A caller that connects while the process is late is answered (LOST).

        Its connection was reset, with a request that had waited for as long
        as the process was late.
        """

        async def _scenario(server, handler, client):
            late_client = await curio.spawn(_connect_late, client)
            await curio.spawn(_hold_up_loop)
            await server.drain()
            return await read_all(await late_client.join())

        self.assertThat(run_scenario(_scenario), StartsWith(b'HTTP/1.1 200'))

    def test_request_that_is_incomplete_at_drain(self) -> None:
        """A request whose first bytes came before the drain is answered."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST[:10])
            await curio.sleep(HANDLER_DELAY_S / 4)
            drain = await curio.spawn(server.drain)
            await curio.sleep(HANDLER_DELAY_S / 4)
            await client.sendall(REQUEST[10:])
            received = await read_all(client)
            await drain.join()
            return received

        received = run_scenario(_scenario)
        self.assertThat(received, StartsWith(b'HTTP/1.1 200'))
        self.assertThat(received.lower(), Contains(b'connection: close'))

    def test_drain_ends(self) -> None:
        """Idle clients and those that never end a request are cut off."""

        async def _scenario(server, handler, client):
            await client.sendall(REQUEST[:10])
            await curio.sleep(HANDLER_DELAY_S / 4)
            async with curio.timeout_after(3):
                await server.drain()
            return await read_all(client)

        limits = HttpLimits(head_timeout=0.2)
        self.assertThat(run_scenario(_scenario, limits), Equals(b''))

    def test_every_method_is_answered(self) -> None:
        """Each method gets a complete answer in bounded time."""

        async def _scenario(server, handler, client, request=REQUEST):
            await client.sendall(request)
            return await read_all(client)

        for method in (b'HEAD', b'OPTIONS', b'CONNECT', b'TRACE', b'DELETE'):
            request = LAST_REQUEST.replace(b'GET', method)
            received = run_scenario(partial(_scenario, request=request))
            self.assertThat(received, StartsWith(b'HTTP/1.1 '), method)
            head, _, body = received.partition(b'\r\n\r\n')
            self.assertThat(body == b'', Equals(method == b'HEAD'), method)

    def test_malformed_body_of_head(self) -> None:
        """A HEAD request with a malformed body is rejected without a body."""

        async def _scenario(server, handler, client, request=REQUEST):
            await client.sendall(request)
            return await read_all(client)

        chunked = b'HEAD /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked'
        for request in (
            chunked + b'\r\n\r\nz\r\n',
            chunked + b'\r\nContent-Length: 1\r\n\r\n',
        ):
            received = run_scenario(partial(_scenario, request=request))
            self.assertThat(received, StartsWith(b'HTTP/1.1 400'))
            self.assertThat(received, EndsWith(b'\r\n\r\n'))

    def test_accepting_survives_a_lack_of_descriptors(self) -> None:
        """After the process had no descriptor left, callers are served."""

        async def _scenario(server, handler, client):
            with mock.patch.object(
                curio.io.Socket, 'accept', side_effect=OSError(24, 'EMFILE')
            ):
                await curio.sleep(0)
                async with await _open_another(client):
                    await curio.sleep(HANDLER_DELAY_S)
            async with await _open_another(client) as later:
                await later.sendall(LAST_REQUEST)
                return await read_all(later)

        self.assertThat(run_scenario(_scenario), StartsWith(b'HTTP/1.1 200'))


async def _open_another(client: curio.io.Socket) -> curio.io.Socket:
    return await curio.open_connection(*client.getpeername())


async def _connect_late(client: curio.io.Socket) -> curio.io.Socket:
    """Connect and send just before the drain closes the listener."""
    await curio.sleep(LAST_ACCEPT_S * 0.9)
    late_client = socket.create_connection(client.getpeername())
    late_client.sendall(REQUEST)
    return curio.io.Socket(late_client)


async def _hold_up_loop() -> None:
    """Let the timers of the drain and of the late caller expire together."""
    await curio.sleep(LAST_ACCEPT_S / 2)
    time.sleep(LAST_ACCEPT_S)


CAPACITY = HttpCapacity(connections=40, request_bytes=200_000)
UPLOAD_HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n'
SLOW_CLIENTS = 120
SLOW_BODY = b'a' * 20_000


class TestFailedHandler(TestCase):
    """A handler fails with an error that nobody expected (LOST).

    Its caller got no answer, and its connection stayed open.
    """

    def answer_to(self, outcome: HttpResponse | Exception) -> bytes:
        """Return what a client gets.

        Parameters:
            outcome: response that the handler returns, or its failure.
        """

        async def _handle(request: HttpRequest) -> HttpResponse:
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        async def _scenario(server, handler, client):
            server._state.handler = _handle
            await client.sendall(REQUEST)
            return await read_all(client)

        return run_scenario(_scenario)

    def test_error(self) -> None:
        """The client gets 500, which promises nothing.

        An error of the operating system was taken for a client that has left.
        """
        for error in (RuntimeError('unexpected'), OSError(28, 'no space')):
            received = self.answer_to(error)
            self.assertThat(received, StartsWith(b'HTTP/1.1 500 '))

    def test_response_that_cannot_be_sent(self) -> None:
        """A field that HTTP does not permit is no reason for silence."""
        response = HttpResponse(200, b'', {'x': 'a\x00b'})
        self.assertThat(self.answer_to(response), StartsWith(b'HTTP/1.1 500 '))


class TestSlowClients(TestCase):
    """Many clients begin a request and never complete it."""

    def test_others_are_served(self) -> None:
        """Whatever they send, another client gets its answer."""
        for payload in (b'', b'G', UPLOAD_HEAD, UPLOAD_HEAD + SLOW_BODY):
            answers, most_connections, most_bytes = curio.run(
                _serve_beside_slow_clients, payload
            )
            for received in answers:
                self.assertThat(received, StartsWith(b'HTTP/1.1 200'))
            self.assertThat(
                most_connections, LessThan(CAPACITY.connections + 1)
            )
            self.assertThat(most_bytes, LessThan(CAPACITY.request_bytes + 1))

    def test_nobody_gives_way(self) -> None:
        """A request for which there is no room is refused as not run."""

        async def _send_too_much() -> bytes:
            server, address = await _start_server()
            client = await curio.open_connection(*address)
            async with client:
                head = UPLOAD_HEAD.replace(b'60000', b'250000')
                await client.sendall(head + b'a' * 250_000)
                return await read_all(client)

        received = curio.run(_send_too_much)
        self.assertThat(received, StartsWith(b'HTTP/1.1 503'))
        self.assertThat(received, Contains(b'not_run'))

    def test_bytes_of_answered_requests_are_free(self) -> None:
        """After its answer, a request holds nothing."""

        async def _send_one_by_one() -> int:
            server, address = await _start_server()
            client = await curio.open_connection(*address)
            async with client:
                for _ in range(5):
                    await client.sendall(UPLOAD_HEAD + b'a' * 60_000)
                    await client.recv(1000)
            return server.held_bytes

        self.assertThat(curio.run(_send_one_by_one), Equals(0))


async def _answer_at_once(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b'')


async def _start_server() -> tuple[HttpServer, tuple[str, int]]:
    server = HttpServer(
        _answer_at_once,
        limits=lambda: HttpLimits(body_bytes=1 << 18),
        capacity=CAPACITY,
    )
    address = ('127.0.0.1', next(_PORTS))
    await server.start(Address(*address))
    return server, address


async def _serve_beside_slow_clients(
    payload: bytes,
) -> tuple[list[bytes], int, int]:
    """Return answers to other clients, most connections and most bytes."""
    server, address = await _start_server()
    slow_clients: list[curio.io.Socket] = []
    answers: list[bytes] = []
    most_connections = 0
    most_bytes = 0
    for number in range(SLOW_CLIENTS):
        slow = await curio.open_connection(*address)
        slow_clients.append(slow)
        await slow.sendall(payload)
        await curio.sleep(0.002)
        most_connections = max(most_connections, server.connection_count)
        most_bytes = max(most_bytes, server.held_bytes)
        if number % 30 == 29:
            async with await curio.open_connection(*address) as client:
                await client.sendall(LAST_REQUEST)
                answers.append(await read_all(client))
    for slow in slow_clients:
        await slow.close()
    return answers, most_connections, most_bytes
