"""Fan-out of one query: sub-requests, hedges, retries and coverage."""

from __future__ import annotations

from itertools import count

from returns.result import Success

from .._domain._choice import Candidate
from .._domain._model import (
    Failure,
    Plan,
    RequestContext,
    SubAnswer,
    SubFailure,
    SubRequest,
)
from .._ports import SubResult
from ._dependencies import QueryDependencies
from ._progress import (
    Answer,
    Attempt,
    MissingRange,
    ResultQueue,
    SegmentProgress,
    TimerQueue,
    make_report,
)
from ._query_log import QueryLog
from ._replicas import Replicas
from ._service_state import ServiceState

_MAXIMUM_ATTEMPT_COUNT = 6
# Backoff per attempt made, once all servers of the segment have been tried.
_RETRY_BACKOFF_S = 0.01
_HEDGE_RECHECK_INTERVAL_S = 0.01
# Minimum time left for a restart, in median latencies of the service.
_RESTART_MINIMUM_MEDIANS = 2


class FanOut:
    """Runs the sub-requests of one query on one snapshot.

    Parameters:
        sub_ids: source of sub-request identifiers, shared by all queries of
            the VM.
    """

    def __init__(
        self,
        dependencies: QueryDependencies,
        state: ServiceState,
        plan: Plan,
        context: RequestContext,
        sub_ids: count[int],
    ) -> None:
        """Initialize all segments as open; ``run`` sends the sub-requests."""
        self._dependencies = dependencies
        self._state = state
        self._plan = plan
        self._context = context
        self._sub_ids = sub_ids
        self._results = ResultQueue()
        self._progress = [SegmentProgress(segment) for segment in plan.segments]
        self._attempts_by_id: dict[int, tuple[SegmentProgress, Attempt]] = {}
        self._log = QueryLog(dependencies.log, context)
        self._hedges = TimerQueue()
        self._retries = TimerQueue()
        self._open_segment_count = len(self._progress)
        self._snapshot_gone = False
        self._replicas = Replicas(
            dependencies.catalogue,
            dependencies.configuration,
            dependencies.clock,
            context.service,
        )

    async def run(self, *, may_restart: bool) -> bool:
        """Run until all segments are closed or the deadline has passed.

        Parameters:
            may_restart: whether to stop early once the snapshot is gone.

        Returns:
            False if the query should restart on another snapshot, True
            otherwise.
        """
        self._state.budget.add_first_attempts(len(self._progress))
        for progress in self._progress:
            await self._start_attempt(progress, 'first')
        while self._open_segment_count and self._now() < self._context.deadline:
            if (
                self._snapshot_gone
                and may_restart
                and self._can_restart_in_time()
            ):
                await self._cancel_all_attempts()
                return False
            await self._step()
        await self._cancel_all_attempts()
        return True

    def answer(self, key_count: int) -> Answer:
        """Return the answer with the rows received so far.

        Parameters:
            key_count: size of the key space.
        """
        answered = [
            progress
            for progress in self._progress
            if progress.answer is not None
        ]
        missing = [
            MissingRange(progress.segment.keys, progress.reason)
            for progress in self._progress
            if progress.answer is None
        ]
        missing.extend(
            MissingRange(gap, Failure.LOST) for gap in self._plan.gaps
        )
        covered = sum(progress.segment.keys.width for progress in answered)
        return Answer(
            self._context.request_id,
            self._context.service,
            self._plan.snapshot,
            covered / key_count,
            tuple(missing),
            tuple(map(make_report, answered)),
            tuple(
                progress.answer.rows
                for progress in answered
                if progress.answer is not None
            ),
            sum(max(0, progress.sent_count - 1) for progress in self._progress),
        )

    def _now(self) -> float:
        return self._dependencies.clock.monotonic()

    async def _step(self) -> None:
        wake_at = min(
            self._context.deadline,
            self._hedges.next_at,
            self._retries.next_at,
        )
        received = await self._results.next(wake_at - self._now())
        if received is not None:
            await self._handle_result(*received)
        now = self._now()
        for progress in self._hedges.pop_due(now):
            await self._hedge(progress)
        for progress in self._retries.pop_due(now):
            await self._start_attempt(progress, 'retry')

    async def _handle_result(self, sub_id: int, outcome: SubResult) -> None:
        entry = self._attempts_by_id.pop(sub_id, None)
        if entry is None:
            return
        progress, attempt = entry
        progress.open_sub_ids.discard(sub_id)
        evidence = self._dependencies.catalogue.evidence(
            attempt.request.server_id,
        )
        evidence.outstanding -= 1
        if isinstance(outcome, Success):
            latency_s = self._now() - attempt.started_at
            evidence.record_answer(latency_s, self._now())
            self._state.latency.record(latency_s)
            await self._handle_answer(progress, attempt, outcome.unwrap())
        else:
            await self._handle_failure(progress, attempt, outcome.failure())

    async def _handle_answer(
        self,
        progress: SegmentProgress,
        attempt: Attempt,
        answer: SubAnswer,
    ) -> None:
        progress.answer = answer
        progress.answered_by = attempt.request.server_id
        progress.latency_s = self._now() - progress.attempts[0].started_at
        progress.sent_count += 1
        self._close(progress)
        await self._cancel_open_attempts(progress)

    async def _cancel_open_attempts(self, progress: SegmentProgress) -> None:
        for sub_id in tuple(progress.open_sub_ids):
            _, attempt = self._attempts_by_id.pop(sub_id)
            await self._abandon(progress, attempt)

    async def _abandon(
        self,
        progress: SegmentProgress,
        attempt: Attempt,
    ) -> None:
        now = self._now()
        evidence = self._dependencies.catalogue.evidence(
            attempt.request.server_id,
        )
        evidence.outstanding -= 1
        evidence.record_abandoned(now - attempt.started_at, now)
        self._state.latency.record(now - attempt.started_at)
        progress.sent_count += 1
        progress.open_sub_ids.discard(attempt.request.sub_id)
        await self._dependencies.route.cancel(attempt.request)

    async def _handle_failure(
        self,
        progress: SegmentProgress,
        attempt: Attempt,
        failure: SubFailure,
    ) -> None:
        server_id = attempt.request.server_id
        evidence = self._dependencies.catalogue.evidence(server_id)
        if failure.reason in {Failure.LOST, Failure.SHED, Failure.LATE}:
            evidence.record_failure(self._now())
        progress.reason = failure.reason
        progress.sent_count += failure.sent
        progress.unsent_count += not failure.sent
        if failure.reason is Failure.VERSION_GONE:
            progress.without_snapshot.add(server_id)
            self._check_snapshot_gone(progress)
        if progress.open_sub_ids or progress.closed:
            return
        # A retry costs no budget if the server lacks the snapshot, since it
        # has then done no work.
        consumes_budget = (
            failure.sent and failure.reason is not Failure.VERSION_GONE
        )
        if consumes_budget and not self._state.budget.take_for_retry():
            self._close(progress)
            return
        await self._retry(progress)

    def _check_snapshot_gone(self, progress: SegmentProgress) -> None:
        if progress.without_snapshot.issuperset(progress.segment.candidates):
            self._snapshot_gone = True
            self._close(progress)

    async def _retry(self, progress: SegmentProgress) -> None:
        tried = {attempt.request.server_id for attempt in progress.attempts}
        if len(progress.attempts) >= _MAXIMUM_ATTEMPT_COUNT:
            self._close(progress)
        elif tried.issuperset(progress.segment.candidates):
            retry_at = self._now() + _RETRY_BACKOFF_S * len(progress.attempts)
            self._retries.add(retry_at, progress)
        else:
            await self._start_attempt(progress, 'retry')

    async def _hedge(self, progress: SegmentProgress) -> None:
        if progress.closed or len(progress.open_sub_ids) != 1:
            return
        if not self._state.budget.allows_hedge:
            # First attempts of other queries may refill the budget meanwhile.
            self._log.record_refused_hedge(progress)
            self._hedges.add(self._now() + _HEDGE_RECHECK_INTERVAL_S, progress)
            return
        tried = {attempt.request.server_id for attempt in progress.attempts}
        if self._replicas.candidates(progress, tried):
            self._state.budget.take_for_hedge()
            await self._start_attempt(progress, 'hedge')

    async def _start_attempt(
        self,
        progress: SegmentProgress,
        reason: str,
    ) -> None:
        if progress.closed:
            return
        tried = {attempt.request.server_id for attempt in progress.attempts}
        candidates = self._replicas.candidates(progress, tried)
        wait_if_cold = not candidates
        candidates = candidates or self._replicas.candidates(progress, set())
        if not candidates:
            progress.reason = self._replicas.unavailability_reason(progress)
            self._close(progress)
            return
        now = self._now()
        chosen = self._dependencies.choice.choose(
            candidates,
            self._state.latency.median,
            now,
        )
        await self._submit(progress, chosen, wait_if_cold=wait_if_cold)
        self._log.record_choice(progress, candidates, chosen, reason)

    async def _submit(
        self,
        progress: SegmentProgress,
        chosen: Candidate,
        *,
        wait_if_cold: bool,
    ) -> None:
        now = self._now()
        request = SubRequest(
            next(self._sub_ids),
            chosen.server_id,
            progress.segment.keys,
            self._context,
            wait_if_cold,
        )
        attempt = Attempt(request, now)
        progress.attempts.append(attempt)
        progress.open_sub_ids.add(request.sub_id)
        self._attempts_by_id[request.sub_id] = (progress, attempt)
        chosen.evidence.outstanding += 1
        delay_s = self._dependencies.hedge.delay(self._state.latency)
        self._hedges.add(now + delay_s, progress)
        await self._dependencies.route.submit(request, self._results)

    def _close(self, progress: SegmentProgress) -> None:
        if not progress.closed:
            progress.closed = True
            self._open_segment_count -= 1

    async def _cancel_all_attempts(self) -> None:
        for progress, attempt in tuple(self._attempts_by_id.values()):
            await self._abandon(progress, attempt)
        self._attempts_by_id.clear()

    def _can_restart_in_time(self) -> bool:
        remaining_s = self._context.deadline - self._now()
        return (
            remaining_s > _RESTART_MINIMUM_MEDIANS * self._state.latency.median
        )
