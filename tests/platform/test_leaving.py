"""Tests of a planned stop with requests that servers are slow to answer.

Requests that were taken late in the grace period were cut without an answer
at its end, among them requests that may not be repeated (LOST).
"""

from __future__ import annotations

import sys
import tempfile
import time
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from itertools import count
from unittest import mock

import curio
from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan

from daisydyke._adapters._http_client import HttpRequest, HttpResponse
from daisydyke._adapters._http_server import HttpServer
from daisydyke._cli._gateway import leave, start
from daisydyke._cli._gateway_wiring import Gateway
from daisydyke._domain._model import Address
from stand_ins.object_store import ObjectStoreStandIn
from tests.platform.test_gateway import HOST, make_settings

# Each world uses the ports from one of these on.
_FIRST_PORTS = count(19740, 20)
GOSSIP_HOST = '127.0.0.7'
GRACE_S = 2.0
SERVICE_TIME_S = 10.0
READY_TIMEOUT_S = 5.0
# Callers still reach this VM, and requests are taken as before.
EARLY_S = 0.5
# Too near to the end for a request to be served.
LATE_S = 1.5
# From here on, the process gets no processor for a while.
HELD_AT_S = 0.9
HELD_S = 0.8
HEAD = (
    f'POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n'
    'Daisydyke-Request-Id: {id}\r\n\r\n'
)
BODY = b'body'


@dataclass
class World:
    """A gateway that stops, with one slow server.

    Parameters:
        taken: identifiers of the requests that the server got.
        answers: what each request's connection brought, by identifier.
    """

    gateway: Gateway
    first_port: int
    taken: list[str] = field(default_factory=list)
    answers: dict[str, bytes] = field(default_factory=dict)

    async def serve(self, request: HttpRequest) -> HttpResponse:
        """Run a request for long."""
        self.taken.append(request.headers['daisydyke-request-id'])
        await curio.sleep(SERVICE_TIME_S)
        return HttpResponse(HTTPStatus.OK, b'')

    async def send(self, request_id: str, delay_s: float = 0) -> None:
        """Send a request, the end of its body after a delay."""
        stream = await curio.open_connection(HOST, self.first_port + 1)
        async with stream:
            head = HEAD.replace('{id}', request_id).encode()
            await stream.sendall(head + BODY[:-1])
            await curio.sleep(delay_s)
            await stream.sendall(BODY[-1:])
            answer = await stream.recv(4096)
            self.answers[request_id] = answer


async def _start_world() -> World:
    first_port = next(_FIRST_PORTS)
    store = ObjectStoreStandIn()
    await store.start(Address(HOST, first_port))
    settings = replace(
        make_settings(first_port),
        grace_s=GRACE_S,
        # The metrics are served on this address, at the same port by all.
        gossip=Address(GOSSIP_HOST, first_port + 4),
    )
    world = World(Gateway(settings), first_port)
    server = Address(HOST, first_port + 10)
    await HttpServer(world.serve, cancel_on_disconnect=True).start(server)
    route = {
        'name': 'once',
        'host': HOST,
        'path_prefix': '/once/',
        'service': 'slow',
        'route_type': 'non_idempotent',
        'timeout_ms': 9000,
        'target_latency_ms': 200,
    }
    services = [{'name': 'slow', 'max_connections': 50}]
    document = {'version': 1, 'routes': [route], 'services': services}
    store.put('config', 'main', document)
    entry = {
        'service': 'slow',
        'address': str(server),
        'zone': 'north',
        'capacity': 9,
        'state': 'ready',
    }
    store.put('servers', 'i-1', entry)
    await start(world.gateway)
    async with curio.timeout_after(READY_TIMEOUT_S):
        while not world.gateway.is_ready():
            await curio.sleep(0.05)
    return world


@dataclass(frozen=True)
class Stop:
    """What a stop left behind when it ended.

    Parameters:
        taken: identifiers of the requests that the server got, in order.
        answers: see ``World``.
        took_s: for how many seconds the stop took.
    """

    taken: list[str]
    answers: dict[str, bytes]
    took_s: float


async def _stop_with(
    world: World, requests: dict[str, tuple[float, float]]
) -> Stop:
    """Stop while requests arrive.

    Parameters:
        requests: by identifier, when a request is sent after the start of the
            stop, and how long its last byte takes.
    """
    for request_id, (after_s, delay_s) in requests.items():
        await curio.spawn(
            _send_later, world, request_id, after_s, delay_s, daemon=True
        )
    await curio.sleep(0.05)
    started = world.gateway.clock.monotonic()
    await leave(world.gateway)
    took_s = world.gateway.clock.monotonic() - started
    # For what has been sent to arrive.
    await curio.sleep(0.05)
    stop = Stop(sorted(world.taken), dict(world.answers), took_s)
    await world.gateway.close()
    return stop


async def _hold_processor(after_s: float) -> None:
    await curio.sleep(after_s)
    time.sleep(HELD_S)


async def _send_later(
    world: World, request_id: str, after_s: float, delay_s: float
) -> None:
    await curio.sleep(after_s)
    await world.send(request_id, delay_s)


def _run(
    requests: dict[str, tuple[float, float]], held_at_s: float | None = None
) -> Stop:
    async def _main() -> Stop:
        world = await _start_world()
        if held_at_s is not None:
            await curio.spawn(_hold_processor, held_at_s, daemon=True)
        return await _stop_with(world, requests)

    with tempfile.TemporaryFile('w') as log:
        with mock.patch.object(sys, 'stdout', log):
            return curio.run(_main)


class TestLeaving(TestCase):
    """leave()"""

    def test_every_request_is_answered(self) -> None:
        """What is unfinished at the end is answered, and then it stops."""
        stop = _run({'before': (0, 0), 'early': (EARLY_S, 0)})
        self.assertThat(stop.taken, Equals(['before', 'early']))
        for request_id in ('before', 'early'):
            answer = stop.answers.get(request_id, b'')
            self.assertThat(answer, Contains(b' 504 '), request_id)
        self.assertThat(stop.took_s, LessThan(GRACE_S))

    def test_late_request(self) -> None:
        """A request that comes too late is refused, and reaches no server."""
        stop = _run({'late': (EARLY_S, LATE_S - EARLY_S)})
        self.assertThat(stop.taken, Equals([]))
        answer = stop.answers.get('late', b'')
        self.assertThat(answer, Contains(b' 503 '))
        self.assertThat(answer.lower(), Contains(b'retry-after: 0.'))

    def test_time_without_processor(self) -> None:
        """A process that gets no processor for a while ends in time (LOST).

        It was killed at the end of the grace period with its requests.
        """
        stop = _run({'before': (0, 0)}, held_at_s=HELD_AT_S)
        self.assertThat(stop.answers.get('before', b''), Contains(b' 504 '))
        self.assertThat(stop.took_s, LessThan(GRACE_S))
