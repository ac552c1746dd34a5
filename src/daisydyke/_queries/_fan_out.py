"""The sub-requests of one query: choice, hedges, retries, coverage."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

from returns.result import Success

from .._domain._budget import ExtraBudget
from .._domain._choice import Candidate, ReplicaChoice
from .._domain._latency import HedgeTiming, LatencyEstimate
from .._domain._model import (
    Failure,
    Plan,
    RequestContext,
    SubAnswer,
    SubFailure,
    SubRequest,
)
from .._operations._configuration import Configuration
from .._ports import (
    Clock,
    DecisionLog,
    Metrics,
    SubRequestRoute,
    SubResult,
)
from ._catalogue import Catalogue
from ._progress import (
    Answer,
    Attempt,
    Missing,
    Progress,
    ResultQueue,
    Timetable,
    report,
)
from ._query_log import QueryLog
from ._replicas import Replicas

_MAXIMUM_ATTEMPTS = 6
_RETRY_PAUSE_S = 0.01
_HEDGE_RETRY_S = 0.01
_RESTART_MEDIANS = 2


class ServiceState:
    """Estimates and budget of one service, shared by its queries."""

    def __init__(self, share: float) -> None:
        self.latency = LatencyEstimate()
        self.budget = ExtraBudget(share)
        self.plan: Plan | None = None
        self.plan_key: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class QueryDependencies:
    """What the query service works with."""

    configuration: Configuration
    catalogue: Catalogue
    route: SubRequestRoute
    choice: ReplicaChoice
    hedge: HedgeTiming
    clock: Clock
    log: DecisionLog
    metrics: Metrics


class FanOut:
    """The sub-requests of one query on one snapshot."""

    def __init__(
        self,
        ports: QueryDependencies,
        state: ServiceState,
        plan: Plan,
        context: RequestContext,
        ids: count[int],
    ) -> None:
        self._ports = ports
        self._state = state
        self._plan = plan
        self._context = context
        self._ids = ids
        self._results = ResultQueue()
        self._progress = [Progress(segment) for segment in plan.segments]
        self._by_id: dict[int, tuple[Progress, Attempt]] = {}
        self._log = QueryLog(ports.log, context)
        self._hedges = Timetable()
        self._retries = Timetable()
        self._open = len(self._progress)
        self._gone = False
        self._replicas = Replicas(
            ports.catalogue,
            ports.configuration,
            ports.clock,
            context.service,
        )

    async def run(self, *, may_restart: bool) -> bool:
        """Run to the end; tells whether the snapshot was there to the end."""
        self._state.budget.add_first_attempts(len(self._progress))
        for progress in self._progress:
            await self._attempt(progress, 'first')
        while self._open and self._now() < self._context.deadline:
            if self._gone and may_restart and self._time_to_restart():
                await self._cancel_open()
                return False
            await self._step()
        await self._cancel_open()
        return True

    def answer(self, keys: int) -> Answer:
        """Return what has been answered so far."""
        done = [
            progress
            for progress in self._progress
            if progress.answer is not None
        ]
        missing = [
            Missing(progress.segment.keys, progress.reason)
            for progress in self._progress
            if progress.answer is None
        ]
        missing.extend(Missing(gap, Failure.LOST) for gap in self._plan.gaps)
        covered = sum(progress.segment.keys.width for progress in done)
        return Answer(
            self._context.request_id,
            self._context.service,
            self._plan.snapshot,
            covered / keys,
            tuple(missing),
            tuple(map(report, done)),
            tuple(
                progress.answer.rows
                for progress in done
                if progress.answer is not None
            ),
            sum(max(0, progress.sent - 1) for progress in self._progress),
        )

    def _now(self) -> float:
        return self._ports.clock.monotonic()

    async def _step(self) -> None:
        wake = min(
            self._context.deadline,
            self._hedges.next_at,
            self._retries.next_at,
        )
        received = await self._results.next(wake - self._now())
        if received is not None:
            await self._take(*received)
        now = self._now()
        for progress in self._hedges.take_due(now):
            await self._hedge(progress)
        for progress in self._retries.take_due(now):
            await self._attempt(progress, 'retry')

    async def _take(self, sub_id: int, outcome: SubResult) -> None:
        entry = self._by_id.pop(sub_id, None)
        if entry is None:
            return
        progress, attempt = entry
        progress.open_ids.discard(sub_id)
        evidence = self._ports.catalogue.evidence(attempt.request.server_id)
        evidence.outstanding -= 1
        if isinstance(outcome, Success):
            seconds = self._now() - attempt.started
            evidence.record_answer(seconds, self._now())
            self._state.latency.record(seconds)
            await self._accept(progress, attempt, outcome.unwrap())
        else:
            await self._fail(progress, attempt, outcome.failure())

    async def _accept(
        self,
        progress: Progress,
        attempt: Attempt,
        answer: SubAnswer,
    ) -> None:
        progress.answer = answer
        progress.winner = attempt.request.server_id
        progress.seconds = self._now() - progress.attempts[0].started
        progress.sent += 1
        self._close(progress)
        await self._cancel_losers(progress)

    async def _cancel_losers(self, progress: Progress) -> None:
        for sub_id in tuple(progress.open_ids):
            _, attempt = self._by_id.pop(sub_id)
            await self._drop(progress, attempt)

    async def _drop(self, progress: Progress, attempt: Attempt) -> None:
        now = self._now()
        evidence = self._ports.catalogue.evidence(attempt.request.server_id)
        evidence.outstanding -= 1
        evidence.record_slow(now - attempt.started, now)
        self._state.latency.record(now - attempt.started)
        progress.sent += 1
        progress.open_ids.discard(attempt.request.sub_id)
        await self._ports.route.cancel(attempt.request)

    async def _fail(
        self,
        progress: Progress,
        attempt: Attempt,
        failure: SubFailure,
    ) -> None:
        server_id = attempt.request.server_id
        evidence = self._ports.catalogue.evidence(server_id)
        if failure.reason in {Failure.LOST, Failure.SHED, Failure.LATE}:
            evidence.record_failure(self._now())
        progress.reason = failure.reason
        progress.sent += failure.sent
        progress.refusals += not failure.sent
        if failure.reason is Failure.VERSION_GONE:
            progress.gone.add(server_id)
            self._note_gone(progress)
        if progress.open_ids or progress.closed:
            return
        # A server that lacks the snapshot has done no work.
        costly = failure.sent and failure.reason is not Failure.VERSION_GONE
        if costly and not self._state.budget.take_for_retry():
            self._close(progress)
            return
        await self._retry(progress)

    def _note_gone(self, progress: Progress) -> None:
        if progress.gone.issuperset(progress.segment.candidates):
            self._gone = True
            self._close(progress)

    async def _retry(self, progress: Progress) -> None:
        tried = {one.request.server_id for one in progress.attempts}
        if len(progress.attempts) >= _MAXIMUM_ATTEMPTS:
            self._close(progress)
        elif tried.issuperset(progress.segment.candidates):
            at = self._now() + _RETRY_PAUSE_S * len(progress.attempts)
            self._retries.add(at, progress)
        else:
            await self._attempt(progress, 'retry')

    async def _hedge(self, progress: Progress) -> None:
        if progress.closed or len(progress.open_ids) != 1:
            return
        if not self._state.budget.allows_hedge:
            # Other queries add to the budget meanwhile.
            self._log.record_refused_hedge(progress)
            self._hedges.add(self._now() + _HEDGE_RETRY_S, progress)
            return
        tried = {one.request.server_id for one in progress.attempts}
        if self._replicas.candidates(progress, tried):
            self._state.budget.take_for_hedge()
            await self._attempt(progress, 'hedge')

    async def _attempt(self, progress: Progress, reason: str) -> None:
        if progress.closed:
            return
        tried = {one.request.server_id for one in progress.attempts}
        candidates = self._replicas.candidates(progress, tried)
        patient = not candidates
        candidates = candidates or self._replicas.candidates(progress, set())
        if not candidates:
            progress.reason = self._replicas.absence(progress)
            self._close(progress)
            return
        now = self._now()
        chosen = self._ports.choice.choose(
            candidates,
            self._state.latency.median,
            now,
        )
        await self._submit(progress, chosen, patient=patient)
        self._log.record_choice(progress, candidates, chosen, reason)

    async def _submit(
        self,
        progress: Progress,
        chosen: Candidate,
        *,
        patient: bool,
    ) -> None:
        now = self._now()
        request = SubRequest(
            next(self._ids),
            chosen.server_id,
            progress.segment.keys,
            self._context,
            patient,
        )
        attempt = Attempt(request, now)
        progress.attempts.append(attempt)
        progress.open_ids.add(request.sub_id)
        self._by_id[request.sub_id] = (progress, attempt)
        chosen.evidence.outstanding += 1
        delay = self._ports.hedge.delay(self._state.latency)
        self._hedges.add(now + delay, progress)
        await self._ports.route.submit(request, self._results)

    def _close(self, progress: Progress) -> None:
        if not progress.closed:
            progress.closed = True
            self._open -= 1

    async def _cancel_open(self) -> None:
        for progress, attempt in tuple(self._by_id.values()):
            await self._drop(progress, attempt)
        self._by_id.clear()

    def _time_to_restart(self) -> bool:
        remaining = self._context.deadline - self._now()
        return remaining > _RESTART_MEDIANS * self._state.latency.median
