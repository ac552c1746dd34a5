"""Tests of ServerGate, in virtual time."""

from __future__ import annotations

from dataclasses import replace

import curio
from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from daisydyke._domain._model import (
    Address,
    Failure,
    KeyRange,
    RequestContext,
    ServerPhase,
    ServerSpec,
    ServerState,
    ServiceSpec,
    SubFailure,
    SubRequest,
)
from daisydyke._limits._gate import ServerGate
from tests.fakes import (
    FakeServer,
    FakeServerConnection,
    RecordingLog,
    SubResultRecorder,
)
from tests.virtual_time import VirtualClock, run_virtual

_KEYS = KeyRange(0, 10)
_SPEC = ServerSpec(Address('127.0.0.9', 9000), 'north')
_SERVICE = ServiceSpec('rota', 10, (_SPEC,), slots=2, connections=60)
_WARM = ServerState('i1', ServerPhase.WARM, {1: (_KEYS,)})


class GateFixture:
    """A gate with its fake server, result sink and log."""

    def __init__(
        self,
        clock: VirtualClock,
        initial_state: ServerState | None = None,
        slots: int = 2,
    ) -> None:
        """Initialize; tests may change the allowance."""
        self.clock = clock
        self.server = FakeServer({1: (_KEYS,)})
        self.sink = SubResultRecorder()
        self.allowance = slots
        self.log = RecordingLog()
        self.gate = ServerGate(
            replace(_SERVICE, slots=slots),
            _SPEC,
            lambda: self.allowance,
            lambda: FakeServerConnection(self.server),
            clock,
            self.log,
            initial_state,
        )
        self._next_id = 0

    async def submit(
        self,
        timeout: float = 0.25,
        *,
        wait_if_cold: bool = False,
    ) -> int:
        """Submit a request and return its identifier."""
        self._next_id += 1
        context = RequestContext(
            'r',
            'rota',
            1,
            self.clock.now + timeout,
            b'{}',
        )
        request = SubRequest(
            self._next_id,
            'server',
            _KEYS,
            context,
            wait_if_cold,
        )
        await self.gate.submit(request, self.sink)
        return self._next_id

    def reason(self, sub_id: int) -> Failure:
        """Return why a request failed."""
        return self.sink.results[sub_id].failure().reason

    def sent_between(self, start: float, end: float) -> int:
        """Return the number of requests that reached the server."""
        return sum(start <= time < end for time in self.server.arrival_times)


class TestServerGate(TestCase):
    """Slots, queue, cancellation and stop of a ServerGate"""

    def test_slots_are_not_exceeded(self) -> None:
        """No more requests run at the same time than there are slots."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            ids = [await fixture.submit(1) for _ in range(20)]
            await curio.sleep(1)
            self.assertThat(fixture.server.peak, Equals(2))
            self.assertThat(
                all(
                    isinstance(fixture.sink.results[sub_id], Success)
                    for sub_id in ids
                ),
                Equals(True),
            )

        run_virtual(scenario)

    def test_allowance_is_checked_before_the_send(self) -> None:
        """Queued requests are refused unsent when the allowance drops to 0."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            ids = [await fixture.submit(1) for _ in range(10)]
            await curio.sleep(0.005)
            fixture.allowance = 0
            await curio.sleep(1)
            self.assertThat(len(fixture.server.runs), Equals(2))
            self.assertThat(fixture.reason(ids[5]), Equals(Failure.FENCED))

        run_virtual(scenario)

    def test_queue_is_bounded_by_time(self) -> None:
        """Requests that cannot meet their deadline are refused at once."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            for _ in range(200):
                await fixture.submit(0.1)
            shed = [
                outcome
                for outcome in fixture.sink.results.values()
                if not isinstance(outcome, Success)
            ]
            self.assertThat(len(shed), GreaterThan(100))
            self.assertThat(shed[0].failure().sent, Equals(False))

        run_virtual(scenario)

    def test_cancel_while_waiting(self) -> None:
        """A request cancelled in the queue is never sent."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM, slots=1)
            await fixture.gate.start()
            await fixture.submit(1)
            second = await fixture.submit(1)
            await fixture.gate.cancel(second)
            await curio.sleep(1)
            self.assertThat(len(fixture.server.runs), Equals(1))

        run_virtual(scenario)

    def test_stop_cuts_nothing_off(self) -> None:
        """Requests running when the gate stops are answered."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            ids = [await fixture.submit(1) for _ in range(3)]
            await curio.sleep(0.005)
            await fixture.gate.stop()
            for running in ids[:2]:
                outcome = fixture.sink.results[running]
                self.assertThat(isinstance(outcome, Success), Equals(True))
            self.assertThat(fixture.reason(ids[2]), Equals(Failure.FENCED))

        run_virtual(scenario)


class TestColdStart(TestCase):
    """Rate limit of a server that may be cold"""

    def test_unknown_server_is_cold(self) -> None:
        """A new server gets about the cold rate in its first half second."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock)
            await fixture.gate.start()
            started = clock.now
            for _ in range(200):
                await fixture.submit(wait_if_cold=True)
                await curio.sleep(0.005)
            first = fixture.sent_between(started, started + 0.5)
            self.assertThat(first, LessThan(_SERVICE.cold_rate * 0.5 + 2))
            await curio.sleep(1)

        run_virtual(scenario)

    def test_ramps_up_on_answers(self) -> None:
        """A server under load is warm within ten seconds."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock)
            await fixture.gate.start()
            started = clock.now
            while fixture.gate.state.phase is not ServerPhase.WARM:
                await fixture.submit(wait_if_cold=True)
                await curio.sleep(0.005)
                self.assertThat(clock.now - started, LessThan(10))

        run_virtual(scenario)

    def test_signs_of_a_cold_start(self) -> None:
        """Each in-band sign of a restart resets a warm server to cold."""
        for sign in ('instance', Failure.COLD):
            self._check_sign(sign)

    def test_shedding_backs_off(self) -> None:
        """Shedding lowers the rate, but not to the cold rate."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            for _ in range(100):
                await fixture.submit()
                await curio.sleep(0.01)
            fixture.server.refusal = Failure.SHED
            await fixture.submit()
            await curio.sleep(0.1)
            backed_off = fixture.log.events('ramp_back_off')
            self.assertThat(len(backed_off), Equals(1))
            self.assertThat(backed_off[0]['rate'], GreaterThan(10))

        run_virtual(scenario)

    def test_lagging_endpoint_does_not_flap(self) -> None:
        """A state endpoint that lags causes no further reset."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            fixture.server.reported_state = _WARM
            fixture.server.instance = 'i2'
            for _ in range(100):
                await fixture.submit(wait_if_cold=True)
                await curio.sleep(0.1)
            resets = fixture.log.events('ramp_reset')
            self.assertThat(len(resets), Equals(1))

        run_virtual(scenario)

    def test_handed_over_warm(self) -> None:
        """An instance reported as warm stays warm after a handover."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            self.assertThat(fixture.gate.state.phase, Equals(ServerPhase.WARM))

        run_virtual(scenario)

    def test_restarted_during_the_hand_over(self) -> None:
        """An instance other than the reported one starts cold."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            fixture.server.instance = 'i2'
            await fixture.gate.start()
            self.assertThat(fixture.gate.state.phase, Equals(ServerPhase.COLD))

        run_virtual(scenario)

    def _check_sign(self, sign: str) -> None:
        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            await fixture.submit()
            await curio.sleep(0.1)
            if sign == 'instance':
                fixture.server.instance = 'i2'
            else:
                fixture.server.refusal = Failure.COLD
            await fixture.submit()
            await curio.sleep(0.1)
            fixture.server.refusal = None
            started = clock.now
            for _ in range(200):
                await fixture.submit(wait_if_cold=True)
                await curio.sleep(0.005)
            sent = fixture.sent_between(started, started + 0.5)
            self.assertThat(sent, LessThan(_SERVICE.cold_rate * 0.5 + 2), sign)

        run_virtual(scenario)


class TestFrozenServer(TestCase):
    """Requests sent to a server that does not answer"""

    def test_no_more_than_its_slots(self) -> None:
        """A frozen server never holds more requests than it has slots."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            fixture.server.unresponsive = True
            for _ in range(200):
                cancelled = await fixture.submit()
                await curio.sleep(0.05)
                await fixture.gate.cancel(cancelled)
            self.assertThat(len(fixture.server.runs), Equals(2))
            self.assertThat(
                fixture.sink.results[200].failure(),
                Equals(SubFailure(Failure.LOST, sent=False)),
            )

        run_virtual(scenario)

    def test_slots_are_used_again_after_recovery(self) -> None:
        """The slots are used again once the server answers again."""

        async def scenario(clock: VirtualClock) -> None:
            fixture = GateFixture(clock, _WARM)
            await fixture.gate.start()
            fixture.server.unresponsive = True
            for _ in range(10):
                await fixture.submit()
                await curio.sleep(0.1)
            fixture.server.unresponsive = False
            await curio.sleep(1)
            last = await fixture.submit()
            await curio.sleep(0.1)
            outcome = fixture.sink.results[last]
            self.assertThat(isinstance(outcome, Success), Equals(True))

        run_virtual(scenario)
