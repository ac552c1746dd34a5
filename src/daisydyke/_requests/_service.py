"""Request service: from a caller's request to its answer."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

import curio
from returns.result import Failure, Result, Success

from .._ports import Clock, DecisionLog, Metrics
from ._admission import Admission, NoAdmission
from ._answer_recorder import AnswerRecorder
from ._answers import compose_answer, may_have_run
from ._authentication import authenticate, request_priority
from ._dependencies import DispatchDependencies
from ._dispatch import Dispatch
from ._model import (
    CallerAnswer,
    CallerRequest,
    Customer,
    FailureReason,
    NotRouted,
    RateLimited,
    Refused,
    Route,
)
from ._open_requests import OpenRequests
from ._parts import Schedule
from ._rate_limiter import NoRateLimit, RateLimiter
from ._retry_after import FixedRetryTimes, RetryTimes
from ._routes import RoutingTable, choose_service
from ._scheduler import MINIMUM_REMAINING_S, RequestScheduler

_RETRY_AFTER_S = 0.25
_RETRY_AFTER_UNCONFIGURED_S = 0.5
# Other VMs can answer at once.
_RETRY_AFTER_LEAVING_S = 0.05
# A caller that reads slowly can be closed after two checks, 0.5 s apart.
_RETRY_AFTER_MEMORY_S = 1.0


@dataclass(frozen=True, slots=True)
class RequestDependencies:
    """Dependencies of the request service.

    Parameters:
        current_table: returns the routing table in force; None before the
            first configuration.
        is_current: returns whether that table is known to be the newest one.
        rate_limiter: limits the requests of customers.
        admission: decides whether servers can take a request.
        retry_times: decides when refused callers should return.
    """

    dispatch: DispatchDependencies
    current_table: Callable[[], RoutingTable | None]
    clock: Clock
    log: DecisionLog
    metrics: Metrics
    is_current: Callable[[], bool] = lambda: True
    rate_limiter: RateLimiter = field(default_factory=NoRateLimit)
    admission: Admission = field(default_factory=NoAdmission)
    retry_times: RetryTimes = field(default_factory=FixedRetryTimes)


@dataclass(frozen=True, slots=True)
class _Admitted:
    """A request with the configuration that it is handed on by.

    Parameters:
        request: the request as servers may see it.
        customer: customer on whose behalf it is; None on routes whose callers
            need no key.
    """

    request: CallerRequest
    table: RoutingTable
    route: Route
    customer: Customer | None
    schedule: Schedule

    @property
    def is_limited(self) -> bool:
        """Whether it counts toward the limit of a customer."""
        return self.customer is not None and self.customer.rate > 0

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        return request_priority(self.route, self.customer)


class RequestService:
    """Routes requests, dispatches them and composes the answers.

    Attributes:
        open_requests: requests in progress, for the end of this process.
    """

    def __init__(self, dependencies: RequestDependencies) -> None:
        """Initialize without requests."""
        self._dependencies = dependencies
        self._random = random.Random()  # noqa: S311
        self.open_requests = OpenRequests()
        self._scheduler = RequestScheduler(self.open_requests)
        self._recorder = AnswerRecorder(
            dependencies.clock, dependencies.log, dependencies.metrics
        )

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request.

        The configuration in force when the request is handed on to the
        servers applies to the whole request.
        """
        await self._dependencies.dispatch.wait_until_current()
        while True:
            table = self._dependencies.current_table()
            judged = self._judge(request, table)
            if not isinstance(judged, Success):
                return self._answer_without_dispatch(
                    request, judged.failure(), table
                )
            admitted = judged.unwrap()
            limited = await self._acquire(admitted)
            if limited is not None:
                return self._answer_without_dispatch(
                    admitted.request, limited, table
                )
            if self._dependencies.current_table() is table:
                return await self._dispatch(admitted)
            # It has waited, and its key or its route may be gone by now.
            self._give_back(admitted)

    def refuse_for_memory(self, request: CallerRequest) -> CallerAnswer:
        """Refuse a request, since memory for answers is short."""
        reason = FailureReason.NO_MEMORY
        self._dependencies.metrics.incr(f'not_admitted.{reason}')
        return self._answer_without_dispatch(
            request,
            Refused(reason, _RETRY_AFTER_MEMORY_S),
            self._dependencies.current_table(),
        )

    def record_cut(self, request_id: str, cause: str, error: str) -> None:
        """Record a request that got no whole answer.

        Parameters:
            cause: why, see CutCause.
            error: error of this process; empty if there was none.
        """
        self._recorder.record_cut(request_id, cause, error)

    def _judge(
        self, request: CallerRequest, table: RoutingTable | None
    ) -> Result[_Admitted, CallerAnswer]:
        """Return what a request needs to be handed on, or its answer."""
        if table is None:
            return Failure(
                Refused('no_configuration', _RETRY_AFTER_UNCONFIGURED_S)
            )
        route = table.find(request.host, request.path)
        if route is None:
            return Failure(NotRouted())
        return authenticate(
            table,
            route,
            request.key_digest,
            is_current=self._dependencies.is_current(),
        ).bind(
            lambda customer: self._plan(
                _identify(request, table, customer), table, route, customer
            )
        )

    def _plan(
        self,
        request: CallerRequest,
        table: RoutingTable,
        route: Route,
        customer: Customer | None,
    ) -> Result[_Admitted, CallerAnswer]:
        now = self._dependencies.clock.monotonic()
        if not self.open_requests.may_start(route, now):
            return Failure(Refused('leaving', _RETRY_AFTER_LEAVING_S))
        schedule = self._scheduler.schedule(request, route)
        if schedule.deadline - request.received < MINIMUM_REMAINING_S:
            return Failure(Refused('deadline_too_near', _RETRY_AFTER_S))
        return Success(_Admitted(request, table, route, customer, schedule))

    async def _acquire(self, admitted: _Admitted) -> RateLimited | None:
        if not admitted.is_limited:
            return None
        limiter = self._dependencies.rate_limiter
        limited = await limiter.acquire(admitted.customer)
        if limited is None:
            try:
                await self._dependencies.dispatch.wait_until_current()
            except curio.CancelledError:
                self._give_back(admitted)
                raise
        return limited

    def _give_back(self, admitted: _Admitted) -> None:
        if admitted.is_limited:
            self._dependencies.rate_limiter.give_back(admitted.customer)

    async def _dispatch(self, admitted: _Admitted) -> CallerAnswer:
        route = admitted.route
        services = route.shards or (choose_service(route, self._random),)
        required_parts = admitted.schedule.required_parts
        if not self._dependencies.admission.can_answer(
            services, required_parts
        ):
            return self._refuse_for_servers(admitted, services[0])
        latency = self._scheduler.latency_estimate(route)
        dispatch = Dispatch(
            self._dependencies.dispatch,
            admitted.request,
            route,
            services,
            admitted.schedule,
            latency,
        )
        try:
            await self.open_requests.run(dispatch)
        finally:
            if not may_have_run(dispatch.parts):
                self._give_back(admitted)
        answer = compose_answer(
            route,
            dispatch.parts,
            partial(
                self._dependencies.retry_times.after,
                median_latency=latency.median,
            ),
        )
        self._recorder.record_dispatched(
            admitted.request,
            answer,
            admitted.table,
            route,
            admitted.schedule,
            dispatch,
        )
        return answer

    def _refuse_for_servers(
        self, admitted: _Admitted, service: str
    ) -> CallerAnswer:
        self._give_back(admitted)
        reason = FailureReason.NO_SERVER
        self._dependencies.metrics.incr(f'not_admitted.{reason}')
        retry_after = self._dependencies.retry_times.after(
            service, (reason,), admitted.route.target_latency
        )
        return self._answer_without_dispatch(
            admitted.request,
            Refused(reason, retry_after),
            admitted.table,
            admitted.route.name,
        )

    def _answer_without_dispatch(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        table: RoutingTable | None,
        route_name: str = '',
    ) -> CallerAnswer:
        self._recorder.record_undispatched(request, answer, table, route_name)
        return answer


def _identify(
    request: CallerRequest, table: RoutingTable, customer: Customer | None
) -> CallerRequest:
    """Return the request with the identity that servers may see.

    That is the customer's name and nothing that the caller states about
    itself, or in a configuration without customers what the caller states.
    """
    if table.customers is None:
        if not request.identity_fields:
            return request
        return replace(request, fields=request.fields + request.identity_fields)
    return replace(request, customer=customer.name if customer else '')
