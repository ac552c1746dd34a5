"""Query service: plans a query, runs it and checks its coverage."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

from returns.result import Failure as Failed
from returns.result import Result, Success

from .._domain._model import (
    Plan,
    RequestContext,
    ServerPhase,
    ServiceSpec,
)
from .._domain._planning import make_plan
from .._operations._configuration import Configuration
from ..exceptions import (
    CallerError,
    CoverageTooLowError,
    NoSnapshotError,
    OverloadedError,
    UnknownResourceError,
)
from ._catalogue import Catalogue
from ._dependencies import QueryDependencies
from ._fan_out import FanOut
from ._progress import Answer
from ._service_state import ServiceState

MAXIMUM_TIMEOUT_S = 2.0
# Time kept free for returning the answer before the caller's deadline.
_ANSWER_MARGIN_S = 0.005
_MAXIMUM_RESTART_COUNT = 2


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's query.

    Parameters:
        timeout_s: seconds until the caller needs the answer.
        parameters: JSON text passed to the backend servers.
    """

    request_id: str
    service: str
    timeout_s: float
    parameters: bytes


class QueryService:
    """Answers queries from all ranges of a service's newest snapshot."""

    def __init__(self, dependencies: QueryDependencies) -> None:
        """Initialize without latency estimates."""
        self._dependencies = dependencies
        self._services: dict[str, ServiceState] = {}
        self._sub_ids = count(1)

    async def run(self, query: Query) -> Result[Answer, CallerError]:
        """Answer a query.

        Returns:
            The answer, or an ``UnknownResourceError``, ``OverloadedError``,
            ``NoSnapshotError`` or ``CoverageTooLowError``.
        """
        service = self._dependencies.configuration.services.get(query.service)
        if service is None:
            return Failed(
                UnknownResourceError(f'no service {query.service!r}'),
            )
        if query.timeout_s <= _ANSWER_MARGIN_S:
            return Failed(OverloadedError('deadline too near'))
        state = self._services.setdefault(
            service.name,
            ServiceState(service.extra_share),
        )
        timeout_s = min(query.timeout_s, MAXIMUM_TIMEOUT_S)
        deadline = (
            self._dependencies.clock.monotonic() + timeout_s - _ANSWER_MARGIN_S
        )
        return await self._run_with_restarts(service, state, query, deadline)

    async def _run_with_restarts(
        self,
        service: ServiceSpec,
        state: ServiceState,
        query: Query,
        deadline: float,
    ) -> Result[Answer, CallerError]:
        excluded_snapshots: set[int] = set()
        while True:
            plan = self._get_plan(service, state, excluded_snapshots)
            if plan is None:
                return Failed(NoSnapshotError('no index version is served'))
            context = RequestContext(
                query.request_id,
                service.name,
                plan.snapshot,
                deadline,
                query.parameters,
            )
            fan_out = FanOut(
                self._dependencies,
                state,
                plan,
                context,
                self._sub_ids,
            )
            may_restart = len(excluded_snapshots) < _MAXIMUM_RESTART_COUNT
            finished = await fan_out.run(may_restart=may_restart)
            if finished:
                return self._to_result(service, fan_out)
            excluded_snapshots.add(plan.snapshot)
            if self._get_plan(service, state, excluded_snapshots) is None:
                return self._to_result(service, fan_out)
            self._dependencies.log.record(
                'restart',
                request_id=query.request_id,
                gone=plan.snapshot,
            )

    def _get_plan(
        self,
        service: ServiceSpec,
        state: ServiceState,
        excluded_snapshots: set[int],
    ) -> Plan | None:
        generations = (
            self._dependencies.catalogue.generation,
            self._dependencies.configuration.generation,
        )
        if state.plan_key == generations and not excluded_snapshots:
            return state.plan
        states = self._dependencies.catalogue.states(service)
        usable = usable_servers(
            self._dependencies.configuration,
            self._dependencies.catalogue,
            service,
        )
        try:
            plan = make_plan(states, usable, service.keys, excluded_snapshots)
        except LookupError:
            plan = None
        if not excluded_snapshots:
            state.plan = plan
            state.plan_key = generations
        return plan

    def _to_result(
        self,
        service: ServiceSpec,
        fan_out: FanOut,
    ) -> Result[Answer, CallerError]:
        answer = fan_out.answer(service.keys)
        self._dependencies.metrics.timing(
            'coverage_permille',
            answer.coverage * 1000,
        )
        if answer.coverage < service.minimum_coverage:
            return Failed(
                CoverageTooLowError(
                    f'coverage {answer.coverage:.4f} is below the '
                    f'accepted {service.minimum_coverage:.4f}',
                ),
            )
        return Success(answer)


def usable_servers(
    configuration: Configuration,
    catalogue: Catalogue,
    service: ServiceSpec,
) -> set[str]:
    """Return the servers of a service that can receive requests now.

    Returns:
        Identifiers of warm and cold servers whose failure domain is in
        service.
    """
    usable: set[str] = set()
    for spec in service.servers:
        state = catalogue.state(spec.server_id)
        if state is None or spec.domain in configuration.out_domains:
            continue
        if state.phase in {ServerPhase.WARM, ServerPhase.COLD}:
            usable.add(spec.server_id)
    return usable
