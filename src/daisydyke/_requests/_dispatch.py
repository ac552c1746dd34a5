"""Dispatch of one request to backend servers, with hedges and retries."""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence

from .._backends._exchange import Exchange, ExchangeOutcome, OutcomeQueue
from .._backends._server import BackendServer
from .._domain._latency import LatencyEstimate
from ._dependencies import DispatchDependencies
from ._model import CallerRequest, ExchangeFailure, FailureReason, Reply, Route
from ._parts import Part, Schedule, failure_reason, maximum_body
from ._selection import ServerSelector

_RETRY_BACKOFF_STEP_S = 0.015
_MAXIMUM_REFUSALS = 6
_MINIMUM_ATTEMPT_TIME_S = 0.002


class Dispatch:
    """Sends the parts of one request and collects their replies.

    Attributes:
        parts: one for each service, in the order of the services.
        hedges: number of hedges charged to the extra-load budget.
        retries: number of retries charged to the extra-load budget.
    """

    def __init__(
        self,
        dependencies: DispatchDependencies,
        request: CallerRequest,
        route: Route,
        services: Sequence[str],
        schedule: Schedule,
        latency: LatencyEstimate,
    ) -> None:
        """Initialize the parts without sending anything.

        Parameters:
            services: the service of each part.
            latency: estimate for the route, which successful replies update.
        """
        self._dependencies = dependencies
        self._request = request
        self._route = route
        self._schedule = schedule
        self._latency = latency
        self._selector = ServerSelector(dependencies, latency)
        self._outcomes = OutcomeQueue()
        self._encoder = dependencies.make_encoder(request)
        self._maximum_body = maximum_body(route)
        self._timers: list[tuple[float, int, Part, bool]] = []
        self._unfinished_parts = len(services)
        self._answered_parts = 0
        self._failed_parts = 0
        self._stopped = False
        self.parts = [Part(*pair) for pair in enumerate(services)]
        self.hedges = 0
        self.retries = 0

    async def run(self) -> None:
        """Send all parts and wait until they finish or the schedule ends.

        Exchanges that are still open at the end are cancelled.
        """
        try:
            for part in self.parts:
                self._dependencies.extra_load(part.service).record_request()
                await self._send_attempt(part)
            while self._unfinished_parts and not self._is_finished():
                await self._process_events()
        finally:
            await self._abandon_open_exchanges()

    async def stop(self) -> None:
        """End the dispatch now, as at its deadline."""
        self._stopped = True
        await self._outcomes.wake()

    def _is_finished(self) -> bool:
        now = self._dependencies.clock.monotonic()
        if self._stopped or now >= self._schedule.deadline:
            return True
        if len(self.parts) - self._failed_parts < self._schedule.required_parts:
            return True
        sufficient = self._answered_parts >= self._schedule.required_parts
        return sufficient and now >= self._schedule.partial_answer_at

    async def _process_events(self) -> None:
        now = self._dependencies.clock.monotonic()
        wake_at = self._schedule.deadline
        if self._answered_parts >= self._schedule.required_parts:
            wake_at = min(wake_at, self._schedule.partial_answer_at)
        if self._timers:
            wake_at = min(wake_at, self._timers[0][0])
        ended = await self._outcomes.wait(wake_at - now)
        await self._dependencies.wait_until_current()
        for exchange, outcome in ended:
            await self._handle_outcome(exchange, outcome)
        now = self._dependencies.clock.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, _, part, is_hedge = heapq.heappop(self._timers)
            if is_hedge:
                await self._send_hedge(part)
            elif not part.finished:
                await self._send_attempt(part)

    async def _handle_outcome(
        self,
        exchange: Exchange,
        outcome: ExchangeOutcome,
    ) -> None:
        part = self.parts[exchange.part_index]
        if exchange not in part.open_exchanges:
            return
        part.open_exchanges.remove(exchange)
        if exchange.connection is not None:
            part.used_connections.append(exchange.connection)
        if isinstance(outcome, ExchangeFailure):
            part.failure_reason = outcome.reason
            self._observe_abandoned(part, exchange)
            await self._handle_failure(part, may_have_run=outcome.may_have_run)
            return
        if outcome.success:
            now = self._dependencies.clock.monotonic()
            self._latency.record(now - exchange.started_at)
            if exchange is part.first_exchange:
                self._dependencies.versions.record_answer(
                    self._route.name, exchange
                )
            await self._record_success(part, outcome, now)
            return
        part.failure_reason = failure_reason(outcome)
        if not outcome.not_run and not outcome.status_implies_success:
            part.error_reply = outcome
        if exchange is part.first_exchange and not outcome.not_run:
            self._dependencies.versions.record_failure(
                self._route.name, exchange
            )
        await self._handle_failure(part, may_have_run=not outcome.not_run)

    async def _record_success(
        self, part: Part, reply: Reply, now: float
    ) -> None:
        part.reply = reply
        part.answered_at = now
        self._answered_parts += 1
        self._finish(part)
        await self._abandon(part)

    async def _handle_failure(self, part: Part, *, may_have_run: bool) -> None:
        part.possible_runs += may_have_run
        part.refusals += not may_have_run
        if part.open_exchanges or part.finished:
            return
        if not self._may_retry(part):
            self._finish(part)
            return
        if not self._dependencies.extra_load(part.service).try_acquire_retry():
            part.failure_reason = FailureReason.NO_BUDGET
            self._finish(part)
            return
        self.retries += 1
        if self._selector.untried(part):
            await self._send_attempt(part)
        else:
            backoff = _RETRY_BACKOFF_STEP_S * part.refusals
            self._add_timer(backoff, part, is_hedge=False)

    def _may_retry(self, part: Part) -> bool:
        if part.possible_runs and not self._route.idempotent:
            return False
        if part.refusals >= _MAXIMUM_REFUSALS:
            return False
        return part.possible_runs < self._route.maximum_attempts

    async def _send_hedge(self, part: Part) -> None:
        if part.finished or len(part.open_exchanges) != 1:
            return
        if (
            part.possible_runs + len(part.open_exchanges)
            >= self._route.maximum_attempts
        ):
            return
        budget = self._dependencies.extra_load(part.service)
        # The choice uses up a cold server's allowance, so that the budget is
        # checked before.
        if not budget.may_hedge():
            return
        server = self._selector.choose(part, untried_only=True)
        if server is not None and budget.try_acquire_hedge():
            self.hedges += await self._send_to(server, part)

    async def _send_attempt(self, part: Part) -> None:
        server = self._selector.choose(part)
        if server is None:
            part.failure_reason = FailureReason.NO_SERVER
            self._finish(part)
        elif not await self._send_to(server, part):
            self._finish(part)

    async def _send_to(self, server: BackendServer, part: Part) -> bool:
        """Return whether the attempt was sent."""
        now = self._dependencies.clock.monotonic()
        remaining = self._schedule.deadline - now
        if remaining < _MINIMUM_ATTEMPT_TIME_S:
            return False
        exchange = self._make_exchange(part, server, now)
        part.tried_servers.append(server)
        part.open_exchanges.append(exchange)
        if not await self._dependencies.pool.submit(exchange):
            part.open_exchanges.remove(exchange)
            part.failure_reason = FailureReason.NO_CONNECTION
            return False
        self._dependencies.versions.record_attempt(server)
        if len(part.tried_servers) == 1:
            part.first_exchange = exchange
        if (
            len(part.open_exchanges) == 1
            and self._schedule.hedge_delay < math.inf
        ):
            self._add_timer(self._schedule.hedge_delay, part, is_hedge=True)
        return True

    def _make_exchange(
        self, part: Part, server: BackendServer, now: float
    ) -> Exchange:
        return Exchange(
            next(self._dependencies.sequence_numbers),
            part.position,
            self._request.request_id,
            server,
            self._encoder,
            now,
            self._schedule.deadline,
            self._route.idempotent,
            self._request.method == b'HEAD',
            self._maximum_body,
            self._outcomes,
            tuple(part.used_connections),
        )

    def _add_timer(self, delay: float, part: Part, *, is_hedge: bool) -> None:
        due_at = self._dependencies.clock.monotonic() + delay
        sequence_number = next(self._dependencies.sequence_numbers)
        heapq.heappush(self._timers, (due_at, sequence_number, part, is_hedge))

    def _finish(self, part: Part) -> None:
        if part.finished:
            return
        part.finished = True
        self._unfinished_parts -= 1
        self._failed_parts += part.reply is None

    async def _abandon_open_exchanges(self) -> None:
        for part in self.parts:
            part.possible_runs += len(part.open_exchanges)
            await self._abandon(part)

    async def _abandon(self, part: Part) -> None:
        for exchange in part.open_exchanges:
            self._observe_abandoned(part, exchange)
            await self._dependencies.pool.abandon(exchange)
        part.open_exchanges.clear()

    def _observe_abandoned(self, part: Part, exchange: Exchange) -> None:
        if exchange is part.first_exchange:
            self._dependencies.versions.record_abandoned(
                self._route.name, exchange, self._latency.median
            )
