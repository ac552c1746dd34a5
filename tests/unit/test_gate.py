"""Tests of the owner's side of a backend server, in virtual time."""

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
from tests.fakes import FakeServer, FakeServerConnection, ListLog, ListSink
from tests.virtual_time import VirtualClock, run_virtual

_KEYS = KeyRange(0, 10)
_SPEC = ServerSpec(Address('127.0.0.9', 9000), 'north')
_SERVICE = ServiceSpec('rota', 10, (_SPEC,), slots=2, connections=60)
_WARM = ServerState('i1', ServerPhase.WARM, {1: (_KEYS,)})


class GateFixture:
    """A gate to a fake server, and what comes out of it."""

    def __init__(
        self,
        clock: VirtualClock,
        known: ServerState | None = None,
        slots: int = 2,
    ) -> None:
        """Build a gate whose allowance tests can change."""
        self.clock = clock
        self.server = FakeServer({1: (_KEYS,)})
        self.sink = ListSink()
        self.allowance = slots
        self.log = ListLog()
        self.gate = ServerGate(
            replace(_SERVICE, slots=slots),
            _SPEC,
            lambda: self.allowance,
            lambda: FakeServerConnection(self.server),
            clock,
            self.log,
            known,
        )
        self._next_id = 0

    async def submit(
        self,
        timeout: float = 0.25,
        *,
        patient: bool = False,
    ) -> int:
        """Submit a request; returns its id."""
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
            patient,
        )
        await self.gate.submit(request, self.sink)
        return self._next_id

    def reason(self, sub_id: int) -> Failure:
        """Return why a request failed."""
        return self.sink.results[sub_id].failure().reason

    def sent_between(self, start: float, end: float) -> int:
        """Return the number of requests that reached the server."""
        return sum(start <= time < end for time in self.server.times)


class TestServerGate(TestCase):
    """ServerGate.submit()"""

    def test_slots_are_not_exceeded(self) -> None:
        """However much is submitted, no more than the slots run."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            ids = [await bench.submit(1) for _ in range(20)]
            await curio.sleep(1)
            self.assertThat(bench.server.peak, Equals(2))
            self.assertThat(
                all(
                    isinstance(bench.sink.results[one], Success) for one in ids
                ),
                Equals(True),
            )

        run_virtual(scenario)

    def test_allowance_is_checked_before_the_send(self) -> None:
        """What waited when the allowance was lost is refused unsent."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            ids = [await bench.submit(1) for _ in range(10)]
            await curio.sleep(0.005)
            bench.allowance = 0
            await curio.sleep(1)
            self.assertThat(len(bench.server.runs), Equals(2))
            self.assertThat(bench.reason(ids[5]), Equals(Failure.FENCED))

        run_virtual(scenario)

    def test_queue_is_bounded_by_time(self) -> None:
        """What cannot be run by its deadline is refused at once."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            for _ in range(200):
                await bench.submit(0.1)
            shed = [
                one
                for one in bench.sink.results.values()
                if not isinstance(one, Success)
            ]
            self.assertThat(len(shed), GreaterThan(100))
            self.assertThat(shed[0].failure().sent, Equals(False))

        run_virtual(scenario)

    def test_cancel_while_waiting(self) -> None:
        """A cancelled request that waits is never sent."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM, slots=1)
            await bench.gate.start()
            await bench.submit(1)
            second = await bench.submit(1)
            await bench.gate.cancel(second)
            await curio.sleep(1)
            self.assertThat(len(bench.server.runs), Equals(1))

        run_virtual(scenario)

    def test_stop_cuts_nothing_off(self) -> None:
        """What runs when the gate stops ends with its answer."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            ids = [await bench.submit(1) for _ in range(3)]
            await curio.sleep(0.005)
            await bench.gate.stop()
            for running in ids[:2]:
                outcome = bench.sink.results[running]
                self.assertThat(isinstance(outcome, Success), Equals(True))
            self.assertThat(bench.reason(ids[2]), Equals(Failure.FENCED))

        run_virtual(scenario)


class TestColdStart(TestCase):
    """What a gate gives a server that may be cold"""

    def test_unknown_server_is_cold(self) -> None:
        """In its first second a new server gets about the cold rate."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock)
            await bench.gate.start()
            started = clock.now
            for _ in range(200):
                await bench.submit(patient=True)
                await curio.sleep(0.005)
            first = bench.sent_between(started, started + 0.5)
            self.assertThat(first, LessThan(_SERVICE.cold_rate * 0.5 + 2))
            await curio.sleep(1)

        run_virtual(scenario)

    def test_ramps_up_on_answers(self) -> None:
        """Under load a server is warm within ten seconds."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock)
            await bench.gate.start()
            started = clock.now
            while bench.gate.state.phase is not ServerPhase.WARM:
                await bench.submit(patient=True)
                await curio.sleep(0.005)
                self.assertThat(clock.now - started, LessThan(10))

        run_virtual(scenario)

    def test_signs_of_a_cold_start(self) -> None:
        """Each in-band sign sets a warm server back to the cold rate."""
        for sign in ('instance', Failure.COLD):
            self._check_sign(sign)

    def test_shedding_backs_off(self) -> None:
        """A server that sheds is given less, though not as if cold."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            for _ in range(100):
                await bench.submit()
                await curio.sleep(0.01)
            bench.server.refuses = Failure.SHED
            await bench.submit()
            await curio.sleep(0.1)
            backed_off = bench.log.events('ramp_back_off')
            self.assertThat(len(backed_off), Equals(1))
            self.assertThat(backed_off[0]['rate'], GreaterThan(10))

        run_virtual(scenario)

    def test_lagging_endpoint_does_not_flap(self) -> None:
        """A state endpoint that names an old instance resets nothing."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            bench.server.said = _WARM
            bench.server.instance = 'i2'
            for _ in range(100):
                await bench.submit(patient=True)
                await curio.sleep(0.1)
            resets = bench.log.events('ramp_reset')
            self.assertThat(len(resets), Equals(1))

        run_virtual(scenario)

    def test_handed_over_warm(self) -> None:
        """A known instance stays warm in the hands of a new owner."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            self.assertThat(bench.gate.state.phase, Equals(ServerPhase.WARM))

        run_virtual(scenario)

    def test_restarted_during_the_hand_over(self) -> None:
        """Another instance than the known one is cold from the start."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            bench.server.instance = 'i2'
            await bench.gate.start()
            self.assertThat(bench.gate.state.phase, Equals(ServerPhase.COLD))

        run_virtual(scenario)

    def _check_sign(self, sign: str) -> None:
        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            await bench.submit()
            await curio.sleep(0.1)
            if sign == 'instance':
                bench.server.instance = 'i2'
            else:
                bench.server.refuses = Failure.COLD
            await bench.submit()
            await curio.sleep(0.1)
            bench.server.refuses = None
            started = clock.now
            for _ in range(200):
                await bench.submit(patient=True)
                await curio.sleep(0.005)
            sent = bench.sent_between(started, started + 0.5)
            self.assertThat(sent, LessThan(_SERVICE.cold_rate * 0.5 + 2), sign)

        run_virtual(scenario)


class TestFrozenServer(TestCase):
    """What a gate sends to a server that does not answer"""

    def test_no_more_than_its_slots(self) -> None:
        """However long it is frozen, a server holds no more than its slots."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            bench.server.frozen = True
            for _ in range(200):
                cancelled = await bench.submit()
                await curio.sleep(0.05)
                await bench.gate.cancel(cancelled)
            self.assertThat(len(bench.server.runs), Equals(2))
            self.assertThat(
                bench.sink.results[200].failure(),
                Equals(SubFailure(Failure.LOST, sent=False)),
            )

        run_virtual(scenario)

    def test_used_again_once_it_goes_on(self) -> None:
        """When the server answers again, its slots are used again."""

        async def scenario(clock: VirtualClock) -> None:
            bench = GateFixture(clock, _WARM)
            await bench.gate.start()
            bench.server.frozen = True
            for _ in range(10):
                await bench.submit()
                await curio.sleep(0.1)
            bench.server.frozen = False
            await curio.sleep(1)
            last = await bench.submit()
            await curio.sleep(0.1)
            outcome = bench.sink.results[last]
            self.assertThat(isinstance(outcome, Success), Equals(True))

        run_virtual(scenario)
