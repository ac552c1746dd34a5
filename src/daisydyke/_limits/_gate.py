"""Admission control for one backend server, run by its owning VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import curio
from returns.result import Failure as Failed
from returns.result import Success

from .._domain._model import (
    Failure,
    ServerPhase,
    ServerSpec,
    ServerState,
    ServiceSpec,
    SubFailure,
    SubRequest,
)
from .._domain._ramp import Ramp
from .._ports import (
    Clock,
    DecisionLog,
    ServerConnection,
    SubResult,
    SubResultSink,
)
from ._outcomes import is_unanswered, unsent_failure
from ._server_monitor import STATE_TIMEOUT_S, ServerMonitor
from ._service_time import ServiceTime

_ALLOWANCE_POLL_INTERVAL_S = 0.05
_RECOVERY_POLL_INTERVAL_S = 0.25
_MAX_EXPECTED_WAIT_SHARE = 0.8
_MIN_SPARE_TIME_S = 0.0001

ConnectionFactory = Callable[[], ServerConnection]
Allowance = Callable[[], int]


@dataclass(slots=True)
class _QueuedRequest:
    request: SubRequest
    sink: SubResultSink
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class _RunningRequest:
    task: curio.Task
    cancellable: bool


class ServerGate:
    """Runs sub-requests on one backend server within its limits.

    Parameters:
        service: limits of the service, among them slots and the cold rate.
        spec: address and failure domain of the backend server.
        allowance: returns the slots that this VM may use at present; called
            immediately before each send.
        connect: creates a connection to the server.
        initial_state: state reported by the previous owner, None if there is
            none.

    Attributes:
        peak_in_flight: highest number of sub-requests that ran at a time.
    """

    def __init__(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
        allowance: Allowance,
        connect: ConnectionFactory,
        clock: Clock,
        log: DecisionLog,
        initial_state: ServerState | None = None,
    ) -> None:
        """Initialize; the server is cold unless its initial state is warm."""
        self._spec = spec
        self._slots = service.slots
        self._allowance = allowance
        self._connect = connect
        self._clock = clock
        self._log = log
        warm = (
            initial_state is not None
            and initial_state.phase is ServerPhase.WARM
        )
        self._ramp = Ramp(service.cold_rate, clock, warm=warm)
        self._queue: curio.Queue = curio.Queue()
        self._queued_by_id: dict[int, _QueuedRequest] = {}
        self._running: dict[int, _RunningRequest] = {}
        self._tasks: list[curio.Task] = []
        self._service_time = ServiceTime()
        self._closing = False
        # Slots held until the server answers a state request.
        self._held_slot_count = 0
        self._monitor = ServerMonitor(
            spec.server_id,
            self._ramp,
            connect(),
            clock,
            log,
            initial_state,
        )
        self.peak_in_flight = 0

    @property
    def server_id(self) -> str:
        """Identifier of the backend server."""
        return self._spec.server_id

    @property
    def domain(self) -> str:
        """Failure domain of the backend server."""
        return self._spec.domain

    @property
    def state(self) -> ServerState:
        """Server state for routing, as observed by this VM."""
        return self._monitor.state

    @property
    def in_flight(self) -> int:
        """Number of sub-requests running on the server."""
        return len(self._running)

    async def start(self) -> None:
        """Start one worker per connection and the state monitor."""
        await self._monitor.confirm()
        for slot_index in range(self._slots):
            self._tasks.append(
                await curio.spawn(self._run_worker(slot_index), daemon=True),
            )
        self._tasks.append(await curio.spawn(self._monitor.run, daemon=True))

    async def stop(self) -> None:
        """Refuse queued sub-requests, await running ones, close connections."""
        self._closing = True
        await self._refuse_queued()
        while self._running:
            await curio.sleep(_ALLOWANCE_POLL_INTERVAL_S / 10)
        await self.abort()

    async def abort(self) -> None:
        """Refuse queued sub-requests, and start none from now on."""
        self._closing = True
        await self._refuse_queued()
        for task in self._tasks:
            await task.cancel()

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Queue a sub-request or refuse it without sending it.

        Parameters:
            sink: receives the result or the refusal.
        """
        queued = _QueuedRequest(request, sink)
        refusal_reason = self._refusal_reason(request)
        if refusal_reason is not None:
            await self._deliver(queued, unsent_failure(refusal_reason))
            return
        self._queued_by_id[request.sub_id] = queued
        await self._queue.put(queued)

    async def cancel(self, sub_id: int) -> None:
        """Drop a queued sub-request or cancel a running one.

        A running sub-request with an idempotency key is not cancelled.
        """
        queued = self._queued_by_id.pop(sub_id, None)
        if queued is not None:
            queued.cancelled = True
        running = self._running.get(sub_id)
        if running is not None and running.cancellable:
            await running.task.cancel(blocking=False)

    def reset_ramp(self, reason: str) -> None:
        """Reset the server's rate limit to the cold rate.

        Parameters:
            reason: logged with the reset.
        """
        self._monitor.reset_ramp(reason)

    def _refusal_reason(self, request: SubRequest) -> Failure | None:
        self._ramp.record_demand()
        allowed = self._allowance()
        if self._closing or allowed < 1:
            return Failure.FENCED
        if self._held_slot_count >= allowed:
            return Failure.LOST
        remaining_s = request.context.deadline - self._clock.monotonic()
        share = min(1, allowed / self._slots)
        pause_s = self._ramp.seconds_until_token(share)
        if pause_s and not request.wait_if_cold:
            return Failure.COLD
        queue_rounds = 1 + len(self._queued_by_id) // allowed
        expected_wait_s = pause_s + queue_rounds * self._service_time.mean_s
        if not self._ramp.warm:
            expected_wait_s += len(self._queued_by_id) / (
                self._ramp.rate * share
            )
        if expected_wait_s > remaining_s * _MAX_EXPECTED_WAIT_SHARE:
            return Failure.COLD if pause_s else Failure.SHED
        return None

    async def _run_worker(self, slot_index: int) -> None:
        connection = self._connect()
        try:
            while True:
                await self._wait_for_allowance(slot_index)
                queued = await self._queue.get()
                if not queued.cancelled:
                    await self._run_queued(slot_index, queued, connection)
        finally:
            await connection.close()

    async def _wait_for_allowance(self, slot_index: int) -> None:
        allowed = self._allowance()
        while slot_index >= allowed:
            if not allowed:
                await self._refuse_queued()
            await curio.sleep(_ALLOWANCE_POLL_INTERVAL_S)
            allowed = self._allowance()

    async def _run_queued(
        self,
        slot_index: int,
        queued: _QueuedRequest,
        connection: ServerConnection,
    ) -> None:
        has_token = await self._wait_for_token(queued)
        if self._queued_by_id.pop(queued.request.sub_id, None) is None:
            return
        if not has_token:
            await self._deliver(queued, unsent_failure(Failure.LATE))
            return
        if slot_index >= self._allowance():
            await self._deliver(queued, unsent_failure(Failure.FENCED))
            return
        remaining_s = queued.request.context.deadline - self._clock.monotonic()
        task = await curio.spawn(connection.run(queued.request, remaining_s))
        if not await self._await_outcome(queued, task):
            await self._wait_until_responsive(connection)

    async def _wait_for_token(self, queued: _QueuedRequest) -> bool:
        """Wait for a token of the ramp.

        Returns:
            False if the sub-request was cancelled or can no longer be
            answered within its deadline.
        """
        deadline = queued.request.context.deadline
        while not queued.cancelled:
            spare_s = (
                deadline - self._clock.monotonic() - self._service_time.mean_s
            )
            if spare_s < _MIN_SPARE_TIME_S:
                return False
            share = min(1, max(1, self._allowance()) / self._slots)
            if self._ramp.take_token(share):
                return True
            pause_s = self._ramp.seconds_until_token(share)
            await curio.sleep(min(pause_s, spare_s))
        return False

    async def _await_outcome(
        self, queued: _QueuedRequest, task: curio.Task
    ) -> bool:
        """Wait for a running sub-request and deliver its result.

        Returns:
            Whether the server is known to have finished the sub-request.
        """
        started = self._clock.monotonic()
        self._running[queued.request.sub_id] = _RunningRequest(
            task,
            cancellable=not queued.request.context.idempotency_key,
        )
        self.peak_in_flight = max(self.peak_in_flight, len(self._running))
        try:
            outcome: SubResult = await task.join()
            await self._record_outcome(
                outcome, self._clock.monotonic() - started
            )
        except curio.TaskError:
            outcome = Failed(SubFailure(Failure.LOST, sent=True))
        finally:
            self._running.pop(queued.request.sub_id, None)
        await self._deliver(queued, outcome)
        return isinstance(outcome, Success) or not is_unanswered(outcome)

    async def _wait_until_responsive(
        self, connection: ServerConnection
    ) -> None:
        """Hold a slot until the server answers a state request.

        A frozen server that resumes processes every request sent to it in the
        meantime, including those cancelled or past their deadline.
        """
        self._held_slot_count += 1
        try:
            while not isinstance(
                await connection.state(STATE_TIMEOUT_S),
                Success,
            ):
                if self._held_slot_count >= self._allowance():
                    await self._refuse_queued(Failure.LOST)
                await curio.sleep(_RECOVERY_POLL_INTERVAL_S)
        finally:
            self._held_slot_count -= 1

    async def _record_outcome(
        self, outcome: SubResult, duration_s: float
    ) -> None:
        if isinstance(outcome, Success):
            self._service_time.record(duration_s)
            self._monitor.record_answer(outcome.unwrap().instance)
            self._ramp.record_answer()
            return
        reason = outcome.failure().reason
        if reason is Failure.COLD:
            self.reset_ramp(reason)
        if reason is Failure.SHED:
            self._ramp.back_off()
            self._log.record(
                'ramp_back_off',
                server=self.server_id,
                rate=self._ramp.rate,
            )
        if reason is not Failure.LATE:
            await self._monitor.poll_soon()

    async def _refuse_queued(self, reason: Failure = Failure.FENCED) -> None:
        """Refuse queued sub-requests so that they can be retried elsewhere."""
        refused = tuple(self._queued_by_id.values())
        self._queued_by_id.clear()
        for queued in refused:
            queued.cancelled = True
            await self._deliver(queued, unsent_failure(reason))

    async def _deliver(
        self, queued: _QueuedRequest, outcome: SubResult
    ) -> None:
        await queued.sink.deliver(queued.request.sub_id, outcome)
