"""Records of the answers to callers, in the log and in the metrics."""

from __future__ import annotations

from heapq import nlargest

from .._ports import Clock, DecisionLog, Metrics
from ._answers import (
    answered_at,
    customer_fields,
    hedge_after_ms,
    outcome_fields,
    summarize_part,
)
from ._customer_labels import CustomerLabels
from ._dispatch import Dispatch
from ._model import CallerAnswer, CallerRequest, Route
from ._parts import Schedule
from ._routes import RoutingTable

_LOGGED_PART_COUNT = 4
_LABELLED_CUSTOMER_COUNT = 64
_MS_PER_S = 1000


class AnswerRecorder:
    """Records each answer in the log and in the metrics."""

    def __init__(
        self, clock: Clock, log: DecisionLog, metrics: Metrics
    ) -> None:
        """Initialize without customers in the metrics."""
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._customer_labels = CustomerLabels(_LABELLED_CUSTOMER_COUNT)

    def record_cut(self, request_id: str, cause: str, error: str) -> None:
        """Record a request that got no whole answer.

        Parameters:
            cause: why, see CutCause.
            error: error of this process; empty if there was none.
        """
        self._metrics.incr(f'requests_cut.{cause}')
        self._log.record(
            'request_cut', request_id=request_id, outcome=cause, error=error
        )

    def record_undispatched(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        table: RoutingTable | None,
        route_name: str,
    ) -> None:
        """Record the answer to a request that was not sent to any server.

        Parameters:
            table: routing table that applied; None without one.
            route_name: name of its route; empty if none was found or the
                request was refused before its servers were considered.
        """
        elapsed = self._clock.monotonic() - request.received
        outcome = _name_outcome(answer)
        self._metrics.incr(f'requests.{outcome}')
        self._count_for_customer(request, outcome)
        self._log.record(
            'answer',
            request_id=request.request_id,
            route=route_name,
            host=request.host,
            path=request.path,
            configuration=table.version if table else 0,
            outcome=outcome,
            elapsed_ms=round(elapsed * _MS_PER_S, 1),
            **customer_fields(request),
            **outcome_fields(answer),
        )

    def record_dispatched(
        self,
        request: CallerRequest,
        answer: CallerAnswer,
        table: RoutingTable,
        route: Route,
        schedule: Schedule,
        dispatch: Dispatch,
    ) -> None:
        """Record the answer to a request that was sent to servers."""
        elapsed = self._clock.monotonic() - request.received
        outcome = _name_outcome(answer)
        self._count_for_customer(request, outcome)
        self._update_metrics(route, dispatch, outcome, elapsed)
        self._log.record(
            'answer',
            request_id=request.request_id,
            route=route.name,
            configuration=table.version,
            outcome=outcome,
            elapsed_ms=round(elapsed * _MS_PER_S, 1),
            hedges=dispatch.hedges,
            retries=dispatch.retries,
            **customer_fields(request),
            **outcome_fields(answer),
            hedge_after_ms=hedge_after_ms(schedule),
            slowest=[
                summarize_part(part, request.received)
                for part in nlargest(
                    _LOGGED_PART_COUNT, dispatch.parts, key=answered_at
                )
            ],
        )

    def _count_for_customer(self, request: CallerRequest, outcome: str) -> None:
        if request.customer:
            label = self._customer_labels.label(request.customer)
            self._metrics.incr(f'customer_{outcome}.{label}')

    def _update_metrics(
        self,
        route: Route,
        dispatch: Dispatch,
        outcome: str,
        elapsed: float,
    ) -> None:
        metrics = self._metrics
        metrics.incr(f'requests.{outcome}')
        metrics.timing(f'answer_ms.{route.name}', elapsed * _MS_PER_S)
        metrics.incr('sends.first', len(dispatch.parts))
        metrics.incr('sends.hedge', dispatch.hedges)
        metrics.incr('sends.retry', dispatch.retries)
        for part in dispatch.parts:
            if part.reply is None:
                metrics.incr(f'parts_missing.{part.failure_reason}')


def _name_outcome(answer: CallerAnswer) -> str:
    return type(answer).__name__.lower()
