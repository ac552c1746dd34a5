"""Queries: one snapshot, many segments, one answer with its coverage."""

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
from ._fan_out import FanOut, QueryDependencies, ServiceState
from ._progress import Answer

MAXIMUM_TIMEOUT_S = 2.0
_ANSWER_MARGIN_S = 0.005
_MAXIMUM_RESTARTS = 2


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's query.

    Parameters:
        timeout: seconds until the caller needs the answer.
        parameters: JSON text handed to the backend servers.
    """

    request_id: str
    service: str
    timeout: float
    parameters: bytes


class QueryService:
    """Answers queries from all ranges of a service's newest snapshot."""

    def __init__(self, ports: QueryDependencies) -> None:
        """Start with no estimates."""
        self._ports = ports
        self._services: dict[str, ServiceState] = {}
        self._ids = count(1)

    async def run(self, query: Query) -> Result[Answer, CallerError]:
        """Answer a query, or refuse it with a typed error."""
        service = self._ports.configuration.services.get(query.service)
        if service is None:
            return Failed(
                UnknownResourceError(f'no service {query.service!r}'),
            )
        if query.timeout <= _ANSWER_MARGIN_S:
            return Failed(OverloadedError('deadline too near'))
        state = self._services.setdefault(
            service.name,
            ServiceState(service.extra_share),
        )
        timeout = min(query.timeout, MAXIMUM_TIMEOUT_S)
        deadline = self._ports.clock.monotonic() + timeout - _ANSWER_MARGIN_S
        return await self._run_restarting(service, state, query, deadline)

    async def _run_restarting(
        self,
        service: ServiceSpec,
        state: ServiceState,
        query: Query,
        deadline: float,
    ) -> Result[Answer, CallerError]:
        excluded: set[int] = set()
        while True:
            plan = self._plan(service, state, excluded)
            if plan is None:
                return Failed(NoSnapshotError('no index version is served'))
            context = RequestContext(
                query.request_id,
                service.name,
                plan.snapshot,
                deadline,
                query.parameters,
            )
            fan_out = FanOut(self._ports, state, plan, context, self._ids)
            restart = len(excluded) < _MAXIMUM_RESTARTS
            complete = await fan_out.run(may_restart=restart)
            if complete:
                return self._conclude(service, fan_out)
            excluded.add(plan.snapshot)
            if self._plan(service, state, excluded) is None:
                return self._conclude(service, fan_out)
            self._ports.log.record(
                'restart',
                request_id=query.request_id,
                gone=plan.snapshot,
            )

    def _plan(
        self,
        service: ServiceSpec,
        state: ServiceState,
        excluded: set[int],
    ) -> Plan | None:
        generations = (
            self._ports.catalogue.generation,
            self._ports.configuration.generation,
        )
        if state.plan_key == generations and not excluded:
            return state.plan
        states = self._ports.catalogue.states(service)
        usable = usable_servers(
            self._ports.configuration,
            self._ports.catalogue,
            service,
        )
        try:
            plan = make_plan(states, usable, service.keys, excluded)
        except LookupError:
            plan = None
        if not excluded:
            state.plan = plan
            state.plan_key = generations
        return plan

    def _conclude(
        self,
        service: ServiceSpec,
        fan_out: FanOut,
    ) -> Result[Answer, CallerError]:
        answer = fan_out.answer(service.keys)
        self._ports.metrics.timing(
            'coverage_permille',
            answer.share * 1000,
        )
        if answer.share < service.minimum_coverage:
            return Failed(
                CoverageTooLowError(
                    f'coverage {answer.share:.4f} is below the '
                    f'accepted {service.minimum_coverage:.4f}',
                ),
            )
        return Success(answer)


def usable_servers(
    configuration: Configuration,
    catalogue: Catalogue,
    service: ServiceSpec,
) -> set[str]:
    """Return the servers of a service that may be given work now."""
    usable: set[str] = set()
    for spec in service.servers:
        state = catalogue.state(spec.server_id)
        if state is None or spec.domain in configuration.out_domains:
            continue
        if state.phase in {ServerPhase.WARM, ServerPhase.COLD}:
            usable.add(spec.server_id)
    return usable
