"""The owner's side of one backend server: its limits, queue and ramp."""

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
from ._server_monitor import STATE_TIMEOUT_S, ServerMonitor

_SMOOTHING = 0.1
_INITIAL_SERVICE_TIME_S = 0.005
_ALLOWANCE_POLL_S = 0.05
_CONFIRM_INTERVAL_S = 0.25
_PATIENT_SHARE = 0.8
_MINIMUM_SPARE_S = 0.0001

Connect = Callable[[], ServerConnection]
Allowance = Callable[[], int]


@dataclass(slots=True)
class _Waiting:
    request: SubRequest
    sink: SubResultSink
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class _Running:
    task: curio.Task
    cancellable: bool


class ServerGate:
    """Runs sub-requests on one backend server within its limits.

    Parameters:
        allowance: slots this VM may use at this moment; read immediately
            before each send.
        connect: makes a connection to the server.
        known: what the VM that hands the server over said of it.
    """

    def __init__(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
        allowance: Allowance,
        connect: Connect,
        clock: Clock,
        log: DecisionLog,
        known: ServerState | None = None,
    ) -> None:
        """Build a gate; an unknown server is taken to be cold."""
        self._spec = spec
        self._slots = service.slots
        self._allowance = allowance
        self._connect = connect
        self._clock = clock
        self._log = log
        warm = known is not None and known.phase is ServerPhase.WARM
        self._ramp = Ramp(service.cold_rate, clock, warm=warm)
        self._queue: curio.Queue = curio.Queue()
        self._waiting: dict[int, _Waiting] = {}
        self._running: dict[int, _Running] = {}
        self._tasks: list[curio.Task] = []
        self._service_time = _INITIAL_SERVICE_TIME_S
        self._closing = False
        self._unconfirmed = 0
        self._monitor = ServerMonitor(
            spec.server_id,
            self._ramp,
            connect(),
            clock,
            log,
            known,
        )
        self.peak = 0

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
        """State of the server for routing, from this VM's evidence."""
        return self._monitor.state

    @property
    def in_flight(self) -> int:
        """Sub-requests running on the server."""
        return len(self._running)

    async def start(self) -> None:
        """Start one task for each connection and one for the state poll."""
        await self._monitor.confirm()
        for position in range(self._slots):
            self._tasks.append(
                await curio.spawn(self._work(position), daemon=True),
            )
        self._tasks.append(await curio.spawn(self._monitor.run, daemon=True))

    async def stop(self) -> None:
        """Refuse what waits, let what runs end, close the connections."""
        self._closing = True
        await self._refuse_all()
        while self._running:
            await curio.sleep(_ALLOWANCE_POLL_S / 10)
        for task in self._tasks:
            await task.cancel()

    async def submit(self, request: SubRequest, sink: SubResultSink) -> None:
        """Queue a sub-request, or refuse it before anything is sent."""
        waiting = _Waiting(request, sink)
        refusal = self._refusal(request)
        if refusal is not None:
            await self._deliver(waiting, _refused(refusal))
            return
        self._waiting[request.sub_id] = waiting
        await self._queue.put(waiting)

    async def cancel(self, sub_id: int) -> None:
        """Drop a waiting sub-request or cancel a running one."""
        waiting = self._waiting.pop(sub_id, None)
        if waiting is not None:
            waiting.cancelled = True
        running = self._running.get(sub_id)
        if running is not None and running.cancellable:
            await running.task.cancel(blocking=False)

    def reset_ramp(self, reason: str) -> None:
        """Treat the server as cold from now on."""
        self._monitor.reset_ramp(reason)

    def _refusal(self, request: SubRequest) -> Failure | None:
        self._ramp.record_demand()
        allowed = self._allowance()
        if self._closing or allowed < 1:
            return Failure.FENCED
        if self._unconfirmed >= allowed:
            return Failure.LOST
        remaining = request.context.deadline - self._clock.monotonic()
        share = min(1, allowed / self._slots)
        pause = self._ramp.seconds_until_token(share)
        if pause and not request.wait_if_cold:
            return Failure.COLD
        rounds = 1 + len(self._waiting) // allowed
        expected = pause + rounds * self._service_time
        if not self._ramp.warm:
            expected += len(self._waiting) / (self._ramp.rate * share)
        if expected > remaining * _PATIENT_SHARE:
            return Failure.COLD if pause else Failure.SHED
        return None

    async def _work(self, position: int) -> None:
        connection = self._connect()
        try:
            while True:
                await self._wait_for_allowance(position)
                waiting = await self._queue.get()
                if not waiting.cancelled:
                    await self._run_waiting(position, waiting, connection)
        finally:
            await connection.close()

    async def _wait_for_allowance(self, position: int) -> None:
        allowed = self._allowance()
        while position >= allowed:
            if not allowed:
                await self._refuse_all()
            await curio.sleep(_ALLOWANCE_POLL_S)
            allowed = self._allowance()

    async def _run_waiting(
        self,
        position: int,
        waiting: _Waiting,
        connection: ServerConnection,
    ) -> None:
        has_token = await self._wait_for_token(waiting)
        if self._waiting.pop(waiting.request.sub_id, None) is None:
            return
        if not has_token:
            await self._deliver(waiting, _refused(Failure.LATE))
            return
        if position >= self._allowance():
            await self._deliver(waiting, _refused(Failure.FENCED))
            return
        remaining = waiting.request.context.deadline - self._clock.monotonic()
        task = await curio.spawn(connection.run(waiting.request, remaining))
        if not await self._watch_run(waiting, task):
            await self._confirm_ended(connection)

    async def _wait_for_token(self, waiting: _Waiting) -> bool:
        """Wait for the ramp; False once an answer would come too late."""
        deadline = waiting.request.context.deadline
        while not waiting.cancelled:
            spare = deadline - self._clock.monotonic() - self._service_time
            if spare < _MINIMUM_SPARE_S:
                return False
            share = min(1, max(1, self._allowance()) / self._slots)
            if self._ramp.take_token(share):
                return True
            pause = self._ramp.seconds_until_token(share)
            await curio.sleep(min(pause, spare))
        return False

    async def _watch_run(self, waiting: _Waiting, task: curio.Task) -> bool:
        """Deliver a result; tells whether the server is done with it."""
        started = self._clock.monotonic()
        self._running[waiting.request.sub_id] = _Running(
            task,
            cancellable=not waiting.request.context.idempotency_key,
        )
        self.peak = max(self.peak, len(self._running))
        try:
            outcome: SubResult = await task.join()
            await self._learn(outcome, self._clock.monotonic() - started)
        except curio.TaskError:
            outcome = Failed(SubFailure(Failure.LOST, sent=True))
        finally:
            self._running.pop(waiting.request.sub_id, None)
        await self._deliver(waiting, outcome)
        return isinstance(outcome, Success) or not _is_silent(outcome)

    async def _confirm_ended(self, connection: ServerConnection) -> None:
        """Keep a slot until the server shows that it is not frozen.

        A frozen server finds every request that was sent to it meanwhile
        when it goes on, also those cancelled or past their deadline.
        """
        self._unconfirmed += 1
        try:
            while not isinstance(
                await connection.state(STATE_TIMEOUT_S),
                Success,
            ):
                if self._unconfirmed >= self._allowance():
                    await self._refuse_all(Failure.LOST)
                await curio.sleep(_CONFIRM_INTERVAL_S)
        finally:
            self._unconfirmed -= 1

    async def _learn(self, outcome: SubResult, seconds: float) -> None:
        if isinstance(outcome, Success):
            change = seconds - self._service_time
            self._service_time += _SMOOTHING * change
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

    async def _refuse_all(self, reason: Failure = Failure.FENCED) -> None:
        """Refuse what waits, so that it can go to another server at once."""
        refused = tuple(self._waiting.values())
        self._waiting.clear()
        for waiting in refused:
            waiting.cancelled = True
            await self._deliver(waiting, _refused(reason))

    async def _deliver(self, waiting: _Waiting, outcome: SubResult) -> None:
        await waiting.sink.deliver(waiting.request.sub_id, outcome)


def _is_silent(outcome: SubResult) -> bool:
    failure = outcome.failure()
    return failure.sent and failure.reason in {Failure.LATE, Failure.LOST}


def _refused(reason: Failure) -> SubResult:
    return Failed(SubFailure(reason, sent=False))
