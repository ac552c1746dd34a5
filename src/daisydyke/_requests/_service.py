"""Answers callers' requests by the routes in force."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from heapq import nlargest

from .._domain._latency import LatencyEstimate
from .._ports import Clock, DecisionLog, Metrics
from ._dispatch import Dispatch, DispatchPorts, Part, Schedule
from ._model import (
    CallerAnswer,
    CallerRequest,
    FailureReason,
    Forwarded,
    Merged,
    NotRouted,
    Refused,
    Route,
    Unanswered,
)
from ._records import greatest_records
from ._routes import RoutingTable, choose_service

_DEADLINE_MARGIN_S = 0.008
_SETTLE_MARGIN_S = 0.013
_RETRY_AFTER_S = 0.25
# Seconds until servers that start are registered, or the window of the bound
# on extra load has moved on.
_RETRY_AFTER_LONG_S = 1.0
_LASTING_REASONS = frozenset(
    (FailureReason.NO_SERVER, FailureReason.NO_BUDGET),
)
_RETRY_AFTER_UNCONFIGURED_S = 0.5
_MINIMUM_TIME_S = 0.003
_ROUNDING = 1e-9
_SLOWEST = 4
_MS = 1000


@dataclass(frozen=True, slots=True)
class RequestPorts:
    """What the request service works with.

    Parameters:
        table: returns the routes in force, None before the first.
    """

    dispatch: DispatchPorts
    table: Callable[[], RoutingTable | None]
    clock: Clock
    log: DecisionLog
    metrics: Metrics


class RequestService:
    """Finds a request's route, dispatches it and composes the answer."""

    def __init__(self, ports: RequestPorts) -> None:
        """Start with no estimates."""
        self._ports = ports
        self._latency: dict[str, LatencyEstimate] = {}
        self._random = random.Random()  # noqa: S311

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request by the configuration in force at its start."""
        table = self._ports.table()
        if table is None:
            refusal = Refused('no_configuration', _RETRY_AFTER_UNCONFIGURED_S)
            return self._end_early(request, refusal, None)
        route = table.find(request.host, request.path)
        if route is None:
            return self._end_early(request, NotRouted(), table)
        schedule = self._schedule(request, route)
        if schedule.deadline - request.received < _MINIMUM_TIME_S:
            refusal = Refused('deadline_too_near', _RETRY_AFTER_S)
            return self._end_early(request, refusal, table)
        services = route.shards or (choose_service(route, self._random),)
        dispatch = Dispatch(
            self._ports.dispatch,
            request,
            route,
            services,
            schedule,
            self._estimate(route),
        )
        await dispatch.run()
        answer = _compose(route, dispatch.parts)
        self._log_answer(request, route, table, schedule, dispatch, answer)
        return answer

    def _end_early(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        table: RoutingTable | None,
    ) -> CallerAnswer:
        outcome = type(answer).__name__.lower()
        self._ports.metrics.incr(f'requests.{outcome}')
        self._ports.log.record(
            'answer',
            request_id=request.request_id,
            route='',
            host=request.host,
            path=request.path,
            configuration=table.version if table else 0,
            outcome=outcome,
            elapsed_ms=0,
            **_reasons(answer),
        )
        return answer

    def _estimate(self, route: Route) -> LatencyEstimate:
        return self._latency.setdefault(route.name, LatencyEstimate())

    def _schedule(self, request: CallerRequest, route: Route) -> Schedule:
        timeout = route.timeout
        if request.timeout is not None:
            timeout = min(timeout, request.timeout)
        deadline = request.received + timeout - _DEADLINE_MARGIN_S
        settle_at = request.received + route.target_latency - _SETTLE_MARGIN_S
        enough = 1
        if route.shards:
            enough = _least_parts(route)
        delay = math.inf
        if route.idempotent:
            delay = self._estimate(route).hedge_delay
        return Schedule(deadline, settle_at, enough, delay)

    def _log_answer(
        self,
        request: CallerRequest,
        route: Route,
        table: RoutingTable,
        schedule: Schedule,
        dispatch: Dispatch,
        answer: CallerAnswer,
    ) -> None:
        elapsed = self._ports.clock.monotonic() - request.received
        outcome = type(answer).__name__.lower()
        self._count(route, dispatch, outcome, elapsed)
        self._ports.log.record(
            'answer',
            request_id=request.request_id,
            route=route.name,
            configuration=table.version,
            outcome=outcome,
            elapsed_ms=round(elapsed * _MS, 1),
            hedges=dispatch.hedges,
            retries=dispatch.retries,
            **_reasons(answer),
            hedge_after_ms=_hedge_after_ms(schedule),
            slowest=[
                _describe(part, request.received)
                for part in nlargest(_SLOWEST, dispatch.parts, key=_ended_at)
            ],
        )

    def _count(
        self,
        route: Route,
        dispatch: Dispatch,
        outcome: str,
        elapsed: float,
    ) -> None:
        metrics = self._ports.metrics
        metrics.incr(f'requests.{outcome}')
        metrics.timing(f'answer_ms.{route.name}', elapsed * _MS)
        metrics.incr('sends.first', len(dispatch.parts))
        metrics.incr('sends.hedge', dispatch.hedges)
        metrics.incr('sends.retry', dispatch.retries)
        for part in dispatch.parts:
            if part.reply is None:
                metrics.incr(f'parts_missing.{part.reason}')


def _hedge_after_ms(schedule: Schedule) -> float | None:
    if math.isinf(schedule.hedge_delay):
        return None
    return round(schedule.hedge_delay * _MS, 1)


def _reasons(answer: CallerAnswer) -> dict[str, object]:
    if isinstance(answer, Merged):
        return {'missing': answer.missing}
    if isinstance(answer, Refused):
        return {'reason': answer.reason, 'retry_after_s': answer.retry_after}
    if isinstance(answer, Unanswered):
        return {'reason': answer.reason}
    return {}


def _ended_at(part: Part) -> float:
    return part.answered_at


def _describe(part: Part, start: float) -> dict[str, object]:
    described: dict[str, object] = {
        'service': part.service,
        'servers': [one.server_id for one in part.tried],
    }
    if part.reply is None:
        described['failure'] = part.reason
    else:
        elapsed = part.answered_at - start
        described['elapsed_ms'] = round(elapsed * _MS, 1)
    return described


def _least_parts(route: Route) -> int:
    shards = len(route.shards)
    return max(1, math.ceil(route.minimum_share * shards - _ROUNDING))


def _compose(route: Route, parts: list[Part]) -> CallerAnswer:
    if route.shards:
        return _merge(route, parts)
    part = parts[0]
    if part.reply is not None:
        return Forwarded(part.reply)
    if part.error is not None and not part.error.claims_not_run:
        return Forwarded(part.error)
    return _failure(parts)


def _merge(route: Route, parts: list[Part]) -> CallerAnswer:
    replies = [part.reply for part in parts if part.reply is not None]
    if len(replies) < _least_parts(route):
        return _failure(parts)
    return Merged(
        tuple(reply.stamp for reply in replies),
        len(parts) - len(replies),
        greatest_records((reply.body for reply in replies), route.top),
    )


def _failure(parts: list[Part]) -> CallerAnswer:
    failed = [part for part in parts if part.closed and part.reply is None]
    reasons = {part.reason for part in failed} or {FailureReason.TIMEOUT}
    reason = ','.join(sorted(reasons))
    if any(part.may_have_run or part.reply for part in parts):
        timed_out = FailureReason.TIMEOUT in reasons
        return Unanswered(reason, timed_out)
    lasting = reasons & _LASTING_REASONS
    return Refused(reason, _RETRY_AFTER_LONG_S if lasting else _RETRY_AFTER_S)
