"""A process that was paused reads again what it may do."""

from __future__ import annotations

from collections.abc import Sequence

import curio
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._backends._exchange import ExchangeOutcome
from daisydyke._backends._server import BackendServer
from daisydyke._mirror._mirror import KindMirror
from daisydyke._mirror._pause_guard import PauseGuard
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._ports import Listing
from daisydyke.exceptions import PlatformError, PlatformUnavailableError
from tests.fakes import RecordingLog
from tests.gateway.test_mirror import listing
from tests.gateway.world import RecordingSink
from tests.load.backends import (
    FakeBackends,
    ServerBehaviour,
    SimulatedGateway,
    not_run_reply,
    plain_route,
)
from tests.virtual_time import VirtualClock, run_virtual

PAUSE_S = 5.0
CALL_S = 0.01
# Longest time that a request may be held back after a pause.
HELD_LIMIT_S = 0.6


class Store:
    """Store with one object; watches return its changes.

    Attributes:
        newest: listing of the only kind.
        reachable: whether calls are answered.
        calls: number of calls so far.
    """

    def __init__(self, clock: VirtualClock) -> None:
        """Initialize with one object."""
        self._clock = clock
        self.newest = listing(7, a='ready')
        self.reachable = True
        self.calls = 0

    async def list_objects(
        self, kinds: Sequence[str]
    ) -> Result[Listing, PlatformError]:
        """Return the newest listing."""
        self.calls += 1
        return Success(self.newest)

    async def watch(
        self, kinds: Sequence[str], after: int, wait: float
    ) -> Result[Listing, PlatformError]:
        """Return a change once there is one."""
        self.calls += 1
        ends_at = self._clock.now + wait
        await curio.sleep(CALL_S)
        while self.newest.version <= after and self._clock.now < ends_at:
            await curio.sleep(CALL_S)
        if not self.reachable:
            return Failure(PlatformUnavailableError('no answer'))
        if self.newest.version <= after:
            return Success(Listing(after, ()))
        return Success(self.newest)


class Vm:
    """A VM with one mirror and a pause guard."""

    def __init__(self, clock: VirtualClock) -> None:
        """Initialize without running."""
        self.clock = clock
        self.log = RecordingLog()
        self.store = Store(clock)
        self.sink = RecordingSink()
        health = StoreHealth(clock, self.log)
        self.mirror = KindMirror(
            'kind', self.store, self.sink, health, self.log, 0.1
        )
        self.guard = PauseGuard((self.mirror,), clock, self.log)

    async def start(self) -> None:
        """Run until the mirror is loaded."""
        for run in (self.mirror.run, self.guard.run):
            await curio.spawn(run, daemon=True)
        await curio.sleep(1)

    def pause(self, seconds: float) -> None:
        """Let time pass in which nothing of this process runs."""
        self.clock.now += seconds

    async def known_after_waiting(self) -> tuple[bytes | None, float]:
        """Return what a request would go by, and how long it was held."""
        started = self.clock.now
        await self.guard.wait_until_current()
        return self.sink.objects['a'].text, self.clock.now - started


class TestPauseGuard(TestCase):
    """PauseGuard"""

    def test_change_during_a_pause(self) -> None:
        """A request right after a pause goes by what changed meanwhile."""

        async def _scenario(clock: VirtualClock) -> tuple[bytes | None, float]:
            vm = Vm(clock)
            await vm.start()
            vm.store.newest = listing(9, a='draining')
            vm.pause(PAUSE_S)
            return await vm.known_after_waiting()

        known, held_s = run_virtual(_scenario)
        self.assertThat(known, Equals(b'draining'))
        self.assertThat(held_s, LessThan(HELD_LIMIT_S))

    def test_store_unreachable(self) -> None:
        """What is known stays in force if the store does not answer."""

        async def _scenario(clock: VirtualClock) -> tuple[bytes | None, float]:
            vm = Vm(clock)
            await vm.start()
            vm.store.reachable = False
            vm.pause(PAUSE_S)
            return await vm.known_after_waiting()

        known, held_s = run_virtual(_scenario)
        self.assertThat(known, Equals(b'ready'))
        self.assertThat(held_s, LessThan(HELD_LIMIT_S))

    def test_several_pauses(self) -> None:
        """Each pause is noticed, also without a request."""

        async def _scenario(clock: VirtualClock) -> int:
            vm = Vm(clock)
            await vm.start()
            for _ in range(3):
                vm.pause(PAUSE_S)
                await curio.sleep(1)
            return len(vm.log.events('paused'))

        self.assertThat(run_virtual(_scenario), Equals(3))

    def test_without_a_pause(self) -> None:
        """Requests are not held, and the store is not asked."""

        async def _scenario(clock: VirtualClock) -> tuple[float, int]:
            vm = Vm(clock)
            await vm.start()
            calls = vm.store.calls
            held_s = 0.0
            for _ in range(100):
                await curio.sleep(0.05)
                held_s += (await vm.known_after_waiting())[1]
            return held_s, vm.store.calls - calls

        self.assertThat(run_virtual(_scenario), Equals((0.0, 0)))


def _shed(server: BackendServer) -> ExchangeOutcome:
    return not_run_reply()


class TestRequestsAfterAPause(TestCase):
    """RequestService and Dispatch"""

    def test_new_request(self) -> None:
        """A request goes to a server only if it may after the pause."""

        async def _scenario(clock: VirtualClock) -> list[str]:
            backends = FakeBackends(clock)
            backends.add('desk')
            gateway = SimulatedGateway(clock, backends, [plain_route()])
            gateway.on_wait = lambda: backends.servers['desk'].pop(0)
            await gateway.send()
            return backends.submissions

        self.assertThat(run_virtual(_scenario), Equals(['desk.1']))

    def test_configuration(self) -> None:
        """A request is routed by the configuration after the pause."""

        async def _scenario(clock: VirtualClock) -> int:
            backends = FakeBackends(clock)
            backends.add('desk')
            gateway = SimulatedGateway(clock, backends, [plain_route()])

            def _remove_route() -> None:
                gateway.table = SimulatedGateway(clock, backends, []).table

            gateway.on_wait = _remove_route
            await gateway.send()
            return len(backends.submissions)

        self.assertThat(run_virtual(_scenario), Equals(0))

    def test_retry(self) -> None:
        """A retry goes to a server only if it may after the pause."""

        async def _scenario(clock: VirtualClock) -> list[str]:
            backends = FakeBackends(clock)
            backends.add('desk', replicas=3)
            shedding = ServerBehaviour(override=_shed)
            for server in backends.servers['desk']:
                backends.behaviours[server.server_id] = shedding
            gateway = SimulatedGateway(clock, backends, [plain_route()])

            def _keep_first_server() -> None:
                if backends.submissions:
                    del backends.servers['desk'][1:]

            gateway.on_wait = _keep_first_server
            await gateway.send()
            return backends.submissions

        submissions = run_virtual(_scenario)
        self.assertThat(set(submissions), Equals({'desk.0'}))
