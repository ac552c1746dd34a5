"""Sends the parts of one request, with hedges and retries."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from .._backends._exchange import Exchange, ExchangeOutcome, Outcomes
from .._backends._extra_load import ExtraLoad
from .._backends._server import BackendServer
from .._domain._latency import LatencyEstimate
from .._ports import Clock, DecisionLog
from ._model import (
    CallerRequest,
    Encode,
    ExchangeFailure,
    FailureReason,
    Reply,
    Route,
)

_RETRY_PAUSE_S = 0.015
_MAXIMUM_REFUSALS = 6
_MINIMUM_SPARE_S = 0.002

# Returns the servers of a service that may be given work.
Candidates = Callable[[str], list[BackendServer]]
# Tells whether one more request may go to a server that is still cold.
Admit = Callable[[BackendServer], bool]


class Exchanges(Protocol):
    """Carries exchanges to backend servers."""

    def has_room(self, server: BackendServer) -> bool:
        """Tell whether an exchange could be sent at once."""

    async def submit(self, exchange: Exchange) -> bool:
        """Send an exchange; False if nothing was sent."""

    async def abandon(self, exchange: Exchange) -> None:
        """Give up an exchange whose outcome is no longer wanted."""


@dataclass(frozen=True, slots=True)
class DispatchPorts:
    """What a dispatch works with.

    Parameters:
        domain: failure domain of this VM.
    """

    pool: Exchanges
    candidates: Candidates
    admit: Admit
    extra_load: Callable[[str], ExtraLoad]
    encode: Encode
    clock: Clock
    log: DecisionLog
    domain: str
    numbers: count[int]


@dataclass(slots=True, eq=False)
class Part:
    """What has become of one service's part of a request.

    Parameters:
        may_have_run: servers on which it may have run.
        refusals: attempts that certainly did not run.
    """

    position: int
    service: str
    open: list[Exchange] = field(default_factory=list)
    tried: list[BackendServer] = field(default_factory=list)
    may_have_run: int = 0
    refusals: int = 0
    reply: Reply | None = None
    error: Reply | None = None
    reason: FailureReason = FailureReason.TIMEOUT
    answered_at: float = math.inf
    closed: bool = False


@dataclass(frozen=True, slots=True)
class Schedule:
    """When a dispatch has to end, as monotonic times.

    It ends early once ``enough`` parts can no longer be had.

    Parameters:
        deadline: when the final answer is due.
        settle_at: from then on an incomplete answer is good enough if it
            has ``enough`` parts.
        hedge_delay: seconds after which a silent part is sent once more;
            infinity for never.
    """

    deadline: float
    settle_at: float
    enough: int
    hedge_delay: float


class Dispatch:
    """The parts of one request."""

    def __init__(
        self,
        ports: DispatchPorts,
        request: CallerRequest,
        route: Route,
        services: Sequence[str],
        schedule: Schedule,
        latency: LatencyEstimate,
    ) -> None:
        """Prepare; nothing is sent yet."""
        self._ports = ports
        self._request = request
        self._route = route
        self._schedule = schedule
        self._latency = latency
        self._outcomes = Outcomes()
        self._encode = ports.encode(request)
        self._timers: list[tuple[float, int, Part, bool]] = []
        self._open = len(services)
        self._answered = 0
        self._lost = 0
        self.parts = [Part(*pair) for pair in enumerate(services)]
        self.hedges = 0
        self.retries = 0

    async def run(self) -> None:
        """Run until every part has ended or the schedule says enough."""
        try:
            for part in self.parts:
                self._ports.extra_load(part.service).record_request()
                await self._attempt(part)
            while self._open and not self._is_over():
                await self._step()
        finally:
            await self._abandon_open()

    def _is_over(self) -> bool:
        now = self._ports.clock.monotonic()
        if now >= self._schedule.deadline:
            return True
        if len(self.parts) - self._lost < self._schedule.enough:
            return True
        settled = self._answered >= self._schedule.enough
        return settled and now >= self._schedule.settle_at

    async def _step(self) -> None:
        now = self._ports.clock.monotonic()
        wake = self._schedule.deadline
        if self._answered >= self._schedule.enough:
            wake = min(wake, self._schedule.settle_at)
        if self._timers:
            wake = min(wake, self._timers[0][0])
        for exchange, outcome in await self._outcomes.wait(wake - now):
            await self._take(exchange, outcome)
        now = self._ports.clock.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, _, part, is_hedge = heapq.heappop(self._timers)
            if is_hedge:
                await self._hedge(part)
            elif not part.closed:
                await self._attempt(part)

    async def _take(
        self,
        exchange: Exchange,
        outcome: ExchangeOutcome,
    ) -> None:
        part = self.parts[exchange.part]
        if exchange not in part.open:
            return
        part.open.remove(exchange)
        if isinstance(outcome, ExchangeFailure):
            part.reason = outcome.reason
            await self._retry(part, may_have_run=outcome.may_have_run)
            return
        if outcome.success:
            self._latency.record(
                self._ports.clock.monotonic() - exchange.started,
            )
            await self._accept(part, outcome)
            return
        part.reason = _refusal_reason(outcome)
        if not outcome.not_run:
            part.error = outcome
        await self._retry(part, may_have_run=not outcome.not_run)

    async def _accept(self, part: Part, reply: Reply) -> None:
        part.reply = reply
        part.answered_at = self._ports.clock.monotonic()
        self._answered += 1
        self._close(part)
        for loser in part.open:
            await self._ports.pool.abandon(loser)
        part.open.clear()

    async def _retry(self, part: Part, *, may_have_run: bool) -> None:
        part.may_have_run += may_have_run
        part.refusals += not may_have_run
        if part.open or part.closed:
            return
        if not self._may_repeat(part):
            self._close(part)
            return
        if not self._ports.extra_load(part.service).take_retry():
            part.reason = FailureReason.NO_BUDGET
            self._close(part)
            return
        self.retries += 1
        untried = [
            one
            for one in self._ports.candidates(part.service)
            if one not in part.tried
        ]
        if untried:
            await self._attempt(part)
        else:
            pause = _RETRY_PAUSE_S * part.refusals
            self._add_timer(pause, part, is_hedge=False)

    def _may_repeat(self, part: Part) -> bool:
        if part.may_have_run and not self._route.idempotent:
            return False
        if part.refusals >= _MAXIMUM_REFUSALS:
            return False
        return part.may_have_run < self._route.maximum_attempts

    async def _hedge(self, part: Part) -> None:
        if part.closed or len(part.open) != 1:
            return
        if part.may_have_run + len(part.open) >= self._route.maximum_attempts:
            return
        if self._choose(part, untried_only=True) is None:
            return
        if not self._ports.extra_load(part.service).take_hedge():
            return
        self.hedges += 1
        await self._attempt(part, untried_only=True)

    async def _attempt(self, part: Part, *, untried_only: bool = False) -> None:
        server = self._choose(part, untried_only=untried_only)
        if server is None:
            if not part.open:
                part.reason = FailureReason.NO_SERVER
                self._close(part)
            return
        now = self._ports.clock.monotonic()
        left = self._schedule.deadline - now
        if left < _MINIMUM_SPARE_S:
            self._close(part)
            return
        exchange = Exchange(
            next(self._ports.numbers),
            part.position,
            self._request.request_id,
            server,
            self._encode(server.server_id, left),
            now,
            self._route.idempotent,
            self._request.method == b'HEAD',
            self._outcomes,
        )
        part.tried.append(server)
        part.open.append(exchange)
        if not await self._ports.pool.submit(exchange):
            part.open.remove(exchange)
            part.reason = FailureReason.NO_CONNECTION
            self._close(part)
            return
        if len(part.open) == 1 and self._schedule.hedge_delay < math.inf:
            self._add_timer(self._schedule.hedge_delay, part, is_hedge=True)

    def _choose(
        self,
        part: Part,
        *,
        untried_only: bool,
    ) -> BackendServer | None:
        now = self._ports.clock.monotonic()
        servers = self._ports.candidates(part.service)
        if part.tried:
            untried = [one for one in servers if one not in part.tried]
            if untried_only or untried:
                servers = untried
        ranked = [
            (
                server.cold_until > now,
                server.cost(self._latency.median, now, self._ports.domain),
                index,
                server,
            )
            for index, server in enumerate(servers)
            if self._ports.pool.has_room(server)
        ]
        ranked.sort()
        for candidate in ranked:
            if self._ports.admit(candidate[-1]):
                return candidate[-1]
        return None

    def _add_timer(self, delay: float, part: Part, *, is_hedge: bool) -> None:
        at = self._ports.clock.monotonic() + delay
        number = next(self._ports.numbers)
        heapq.heappush(self._timers, (at, number, part, is_hedge))

    def _close(self, part: Part) -> None:
        if part.closed:
            return
        part.closed = True
        self._open -= 1
        self._lost += part.reply is None

    async def _abandon_open(self) -> None:
        for part in self.parts:
            part.may_have_run += len(part.open)
            for exchange in part.open:
                await self._ports.pool.abandon(exchange)
            part.open.clear()


def _refusal_reason(reply: Reply) -> FailureReason:
    if reply.not_run and reply.instance:
        return FailureReason.MISDIRECTED
    if reply.not_run:
        return FailureReason.SHED
    return FailureReason.ERROR
