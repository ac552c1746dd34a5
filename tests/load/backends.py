"""Backend servers in virtual time, and a gateway's requests to them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import curio

from daisydyke._backends._exchange import Exchange, ExchangeOutcome
from daisydyke._backends._extra_load import ExtraLoad, ExtraLoadBounds
from daisydyke._backends._server import BackendServer, ServerRecord
from daisydyke._domain._model import Address
from daisydyke._requests._dispatch import DispatchPorts
from daisydyke._requests._model import (
    CallerAnswer,
    CallerLimits,
    CallerRequest,
    ExchangeFailure,
    FailureReason,
    Reply,
    Route,
    ServicePolicy,
    WeightedService,
)
from daisydyke._requests._routes import RoutingTable
from daisydyke._requests._service import RequestPorts, RequestService
from tests.fakes import ListLog
from tests.virtual_time import VirtualClock

DOMAIN = 'north'
WORK_S = 0.01


def success(server: BackendServer, body: bytes = b'r' * 16) -> Reply:
    """Return a whole, signed reply of a server."""
    return Reply(200, (), body, server.server_id, '', False, '', 0, 60)


def refusal() -> Reply:
    """Return the reply of a server that has not run the request."""
    return Reply(503, (), b'', '', '', True, '', 0, 60)


def error(server: BackendServer) -> Reply:
    """Return the reply of a server that ran the request and failed."""
    return Reply(500, (), b'', server.server_id, '', False, '', 0, 60)


@dataclass
class Behaviour:
    """How a server treats what it is sent.

    Parameters:
        work: seconds of work for a request.
        silent: tells by the time whether the server is paused; what it is
            sent is then answered after ``pause`` more seconds.
        fails: returns the outcome to give instead of a success, if any.
    """

    work: float = WORK_S
    pause: float = 0
    silent: Callable[[float], bool] = lambda now: False
    fails: Callable[[BackendServer], ExchangeOutcome | None] = lambda server: (
        None
    )


@dataclass
class Backends:
    """Servers of several services, and what they were sent.

    Parameters:
        arrivals: server identifiers in the order in which they were sent to.
        cancelled: exchanges that were given up.
    """

    clock: VirtualClock
    servers: dict[str, list[BackendServer]] = field(default_factory=dict)
    behaviours: dict[str, Behaviour] = field(default_factory=dict)
    arrivals: list[str] = field(default_factory=list)
    cancelled: list[Exchange] = field(default_factory=list)

    def add(self, service: str, replicas: int = 2, slots: int = 2) -> None:
        """Add a service with servers in this failure domain."""
        self.servers[service] = [
            BackendServer(
                ServerRecord(
                    f'{service}.{number}',
                    service,
                    Address('127.0.0.1', 1),
                    DOMAIN,
                    slots,
                    False,
                    0,
                    0,
                ),
            )
            for number in range(replicas)
        ]
        for server in self.servers[service]:
            self.behaviours[server.server_id] = Behaviour()

    def has_room(self, server: BackendServer) -> bool:
        """Tell that there is always a connection."""
        return True

    async def submit(self, exchange: Exchange) -> bool:
        """Let a server work on an exchange in a task of its own."""
        server = exchange.server
        self.arrivals.append(server.server_id)
        server.outstanding[exchange.number] = exchange
        await curio.spawn(self._serve(exchange), daemon=True)
        return True

    async def abandon(self, exchange: Exchange) -> None:
        """Note an exchange that was given up."""
        exchange.outcomes = None
        self.cancelled.append(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        server = exchange.server
        behaviour = self.behaviours[server.server_id]
        exchange.sent = True
        outcome = behaviour.fails(server) or success(server)
        pause = behaviour.pause if behaviour.silent(self.clock.now) else 0
        refused = isinstance(outcome, Reply) and outcome.not_run
        await curio.sleep(pause + (0 if refused else behaviour.work))
        server.outstanding.pop(exchange.number, None)
        now = self.clock.now
        if isinstance(outcome, Reply) and outcome.success:
            server.evidence.record_answer(now - exchange.started, now)
        else:
            server.evidence.record_failure(now)
        if exchange.outcomes is not None:
            await exchange.outcomes.put(exchange, outcome)


def lost(server: BackendServer) -> ExchangeFailure:
    """Return the outcome where a server ran a request and broke off."""
    return ExchangeFailure(FailureReason.CLOSED, may_have_run=True)


def sharded_route(shards: int, **changes: object) -> Route:
    """Return a route over shards named ``s0`` and on."""
    members: dict[str, object] = {
        'name': 'search',
        'host': 'h',
        'prefix': '/',
        'idempotent': True,
        'timeout': 0.6,
        'target_latency': 0.07,
        'priority': 1,
        'maximum_attempts': 2,
        'services': (),
        'shards': tuple(f's{number}' for number in range(shards)),
        'top': 5,
        'minimum_share': 0.75,
    }
    return Route(**{**members, **changes})  # type: ignore[arg-type]


def plain_route(**changes: object) -> Route:
    """Return a route to the service ``desk``."""
    services = (WeightedService('desk', 1),)
    return sharded_route(
        0,
        **{'name': 'roster', 'services': services, 'timeout': 6.0, **changes},
    )


class Gateway:
    """The request service of one VM over fake backends."""

    def __init__(
        self,
        clock: VirtualClock,
        backends: Backends,
        routes: list[Route],
        bounds: ExtraLoadBounds = ExtraLoadBounds(0.2, 126, 10),
        vms: int = 18,
    ) -> None:
        """Put the routes into force as version 1."""
        self._clock = clock
        self._numbers = count(1)
        self.log = ListLog()
        self.loads: dict[str, ExtraLoad] = {}
        self._bounds = bounds
        self._vms = vms
        self.table = RoutingTable(
            1,
            routes,
            {name: ServicePolicy(name, 60, 0, 0) for name in backends.servers},
            CallerLimits(),
        )
        dispatch = DispatchPorts(
            backends,
            lambda service: backends.servers.get(service, []),
            lambda server: True,
            self._load,
            lambda request: lambda server_id, left: b'',
            clock,
            self.log,
            DOMAIN,
            count(1),
        )
        self.service = RequestService(
            RequestPorts(
                dispatch,
                lambda: self.table,
                clock,
                self.log,
                _Metrics(),
            ),
        )

    async def ask(
        self,
        timeout: float = 0.6,
        path: str = '/x',
        method: bytes = b'GET',
    ) -> tuple[CallerAnswer, float]:
        """Send one request; returns the answer and the seconds it took."""
        started = self._clock.now
        request = CallerRequest(
            str(next(self._numbers)),
            method,
            'h',
            path,
            path.encode(),
            (),
            b'',
            started,
            timeout,
        )
        answer = await self.service.handle(request)
        return answer, self._clock.now - started

    def _load(self, service: str) -> ExtraLoad:
        return self.loads.setdefault(
            service,
            ExtraLoad(self._bounds, self._clock, lambda: 1 / self._vms),
        )


class _Metrics:
    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a timer."""


def pauses(seed: int, every: float, lasts: float) -> Callable[[float], bool]:
    """Return whether a server is paused at a time, at its own phase."""
    phase = random.Random(seed).uniform(0, every)  # noqa: S311
    return lambda now: (now + phase) % every < lasts
