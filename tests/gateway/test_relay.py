"""Tests of catching up from members while the store rejects this VM."""

from __future__ import annotations

from types import SimpleNamespace

import curio
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from daisydyke._adapters._datagrams import Digest
from daisydyke._backends._registry import ServerRegistry
from daisydyke._domain._model import Address
from daisydyke._mirror._mirror import KindMirror
from daisydyke._mirror._relay import MirrorRelay
from daisydyke._mirror._sinks import ServerSink
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._ports import Listing, StoredObject
from daisydyke.exceptions import (
    ConnectionLostError,
    DaisydykeError,
    PlatformUnavailableError,
)
from tests.fakes import RecordingLog
from tests.gateway.test_mirror import listing
from tests.gateway.test_sinks import decode_server
from tests.gateway.world import (
    RecordingSink,
    ScriptedStore,
    make_pool,
    member,
)
from tests.virtual_time import VirtualClock, run_virtual

KIND = 'kind'
AHEAD = member('ahead')
# Bound on the time until a change is in force on all VMs.
IN_FORCE_S = 3
GOSSIP_INTERVAL_S = 0.5


class FakePeerMirrors:
    """Peer mirrors that always return the same listing or error."""

    def __init__(self, outcome: Listing | DaisydykeError) -> None:
        """Initialize with the outcome to return."""
        self._outcome = outcome
        self.calls: list[tuple[Address, str, int]] = []

    async def fetch(
        self,
        address: Address,
        kind: str,
        after: int,
    ) -> Result[Listing, DaisydykeError]:
        """Record the call and return the outcome."""
        self.calls.append((address, kind, after))
        if isinstance(self._outcome, DaisydykeError):
            return Failure(self._outcome)
        return Success(self._outcome)


class RelayFixture:
    """A mirror with a scripted store, and a relay that updates it."""

    def __init__(
        self,
        clock: VirtualClock,
        peer_mirrors: FakePeerMirrors,
        *script: Listing | PlatformUnavailableError,
    ) -> None:
        """Initialize the mirror and the relay."""
        self.log = RecordingLog()
        self.sink = RecordingSink()
        self.health = StoreHealth(clock, self.log)
        self.mirror = KindMirror(
            KIND,
            ScriptedStore(*script),
            self.sink,
            self.health,
            self.log,
            0.1,
        )
        self.relay = MirrorRelay([self.mirror], peer_mirrors, self.log)

    async def run_with_gossip(self, version: int, seconds: float) -> None:
        """Run for some seconds while a member gossips this version."""
        for run in (self.mirror.run, self.relay.run):
            await curio.spawn(run, daemon=True)
        elapsed: float = 0
        while elapsed < seconds:
            await self.relay.on_digest_mismatch(AHEAD, Digest(version, 0))
            await curio.sleep(GOSSIP_INTERVAL_S)
            elapsed += GOSSIP_INTERVAL_S


def store_rejections() -> list[PlatformUnavailableError]:
    """Return more failed calls than any test makes."""
    return [PlatformUnavailableError('status 503') for _ in range(100)]


class TestMirrorRelay(TestCase):
    """MirrorRelay"""

    def test_turned_away(self) -> None:
        """A change is in force in time although the store fails."""

        async def scenario(clock: VirtualClock) -> RelayFixture:
            peer_mirrors = FakePeerMirrors(listing(9, a='2'))
            fixture = RelayFixture(
                clock, peer_mirrors, listing(7, a='1'), *store_rejections()
            )
            await fixture.run_with_gossip(9, IN_FORCE_S)
            return fixture

        fixture = run_virtual(scenario)
        self.assertThat(fixture.sink.objects['a'].text, Equals(b'2'))
        self.assertThat(fixture.mirror.version, Equals(9))

    def test_started_while_turned_away(self) -> None:
        """A VM that never reached the store gets all objects from a member."""

        async def scenario(clock: VirtualClock) -> RelayFixture:
            peer_mirrors = FakePeerMirrors(listing(9, a='2'))
            fixture = RelayFixture(clock, peer_mirrors, *store_rejections())
            await fixture.run_with_gossip(9, IN_FORCE_S)
            return fixture

        fixture = run_virtual(scenario)
        self.assertThat(fixture.mirror.listed.is_set(), Is(True))
        self.assertThat(fixture.sink.objects['a'].text, Equals(b'2'))

    def test_equal_versions_cause_no_read(self) -> None:
        """Members at the same version read nothing from each other."""

        async def scenario(clock: VirtualClock) -> FakePeerMirrors:
            peer_mirrors = FakePeerMirrors(listing(7, a='1'))
            fixture = RelayFixture(clock, peer_mirrors, listing(7, a='1'))
            await fixture.run_with_gossip(7, 30)
            return peer_mirrors

        self.assertThat(run_virtual(scenario).calls, HasLength(0))

    def test_standing_by(self) -> None:
        """A VM that does not mirror the store yet reads from no member."""

        async def scenario(clock: VirtualClock) -> FakePeerMirrors:
            peer_mirrors = FakePeerMirrors(listing(9, a='2'))
            relay = RelayFixture(clock, peer_mirrors).relay
            for _ in range(10):
                await relay.on_digest_mismatch(AHEAD, Digest(9, 0))
                await curio.sleep(GOSSIP_INTERVAL_S)
            await curio.spawn(relay.run, daemon=True)
            await curio.sleep(1)
            return peer_mirrors

        self.assertThat(run_virtual(scenario).calls, HasLength(0))

    def test_short_lag_causes_no_read(self) -> None:
        """A lag within the normal range causes no read."""

        async def scenario(clock: VirtualClock) -> FakePeerMirrors:
            peer_mirrors = FakePeerMirrors(listing(9, a='2'))
            fixture = RelayFixture(clock, peer_mirrors, listing(7, a='1'))
            await fixture.run_with_gossip(9, GOSSIP_INTERVAL_S)
            return peer_mirrors

        self.assertThat(run_virtual(scenario).calls, HasLength(0))

    def test_nothing_newer(self) -> None:
        """A member that has nothing newer is read from once."""

        async def scenario(clock: VirtualClock) -> FakePeerMirrors:
            peer_mirrors = FakePeerMirrors(Listing(7, ()))
            fixture = RelayFixture(clock, peer_mirrors, listing(7, a='1'))
            await fixture.run_with_gossip(9, 30)
            return peer_mirrors

        self.assertThat(run_virtual(scenario).calls, HasLength(1))

    def test_copy_during_a_change(self) -> None:
        """A listing that arrives while a change is applied stays in force."""

        async def scenario(clock: VirtualClock) -> RelayFixture:
            fixture = RelayFixture(clock, FakePeerMirrors(Listing(0, ())))
            fixture.mirror = KindMirror(
                KIND,
                ScriptedStore(listing(7, a='1'), listing(8, a='late')),
                SlowSink(fixture.sink),
                fixture.health,
                fixture.log,
                0.1,
            )
            await curio.spawn(fixture.mirror.run, daemon=True)
            await curio.sleep(0.5)
            await fixture.mirror.apply_listing(listing(9, a='2'), 'ahead')
            await curio.sleep(3)
            return fixture

        self.assertThat(
            run_virtual(scenario).sink.objects['a'].text,
            Equals(b'2'),
        )

    def test_never_goes_back(self) -> None:
        """A listing that is older than the mirror is ignored."""

        async def scenario(clock: VirtualClock) -> RelayFixture:
            peer_mirrors = FakePeerMirrors(listing(5, a='0'))
            fixture = RelayFixture(
                clock, peer_mirrors, listing(7, a='1'), *store_rejections()
            )
            await fixture.run_with_gossip(9, IN_FORCE_S)
            return fixture

        self.assertThat(
            run_virtual(scenario).sink.objects['a'].text, Equals(b'1')
        )

    def test_member_fails(self) -> None:
        """A failed read from a member is logged and repeated later."""

        async def scenario(clock: VirtualClock) -> RelayFixture:
            peer_mirrors = FakePeerMirrors(ConnectionLostError('reset'))
            fixture = RelayFixture(
                clock, peer_mirrors, listing(7, a='1'), *store_rejections()
            )
            await fixture.run_with_gossip(9, 5)
            return fixture

        fixture = run_virtual(scenario)
        failed = fixture.log.events('relay_failed')
        self.assertThat(len(failed) >= 2, Is(True))
        self.assertThat(fixture.sink.objects['a'].text, Equals(b'1'))

    def test_watch_overtaken(self) -> None:
        """A watch that ends after a newer listing was applied is ignored."""

        async def scenario(clock: VirtualClock) -> RelayFixture:
            store = SlowWatchStore(listing(7, a='1'), listing(8, a='late'))
            fixture = RelayFixture(clock, FakePeerMirrors(listing(9, a='2')))
            fixture.mirror = KindMirror(
                KIND, store, fixture.sink, fixture.health, fixture.log, 0.1
            )
            await curio.spawn(fixture.mirror.run, daemon=True)
            await curio.sleep(0.5)
            await fixture.mirror.apply_listing(listing(9, a='2'), 'ahead')
            await curio.sleep(2)
            return fixture

        self.assertThat(
            run_virtual(scenario).sink.objects['a'].text, Equals(b'2')
        )


class SlowSink:
    """Sink that delays each change by a second."""

    def __init__(self, sink: RecordingSink) -> None:
        """Initialize with the sink that receives the objects."""
        self._sink = sink

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all objects without delay."""
        await self._sink.replace(objects)

    async def apply(self, stored: StoredObject) -> None:
        """Apply one object after a delay."""
        await curio.sleep(1)
        await self._sink.apply(stored)


class SlowWatchStore(ScriptedStore):
    """Store whose watches return after a second."""

    async def watch(self, kinds, after, wait):
        """Return the next outcome after a delay."""
        await curio.sleep(1)
        return await super().watch(kinds, after, wait)


class TestRemovalWhileLost(TestCase):
    """ServerSink while the store is lost"""

    def test_removal_from_a_member_waits(self) -> None:
        """A server that a member lacks is not removed at once.

        It may be about to register again after the outage.
        """

        async def scenario(clock: VirtualClock) -> list[set[str]]:
            fixture = _make_server_sink(clock)
            await fixture.sink.replace((_stored('i-1'),))
            await fixture.health.back_off(
                PlatformUnavailableError('status 503')
            )
            await fixture.sink.replace(())
            await curio.spawn(fixture.sink.run_removals, daemon=True)
            await curio.sleep(1)
            after_1_s = fixture.registry.server_ids()
            await curio.sleep(2)
            return [after_1_s, fixture.registry.server_ids()]

        self.assertThat(run_virtual(scenario), Equals([{'i-1'}, set()]))

    def test_repeated_copies(self) -> None:
        """Repeated listings do not postpone a removal."""

        async def scenario(clock: VirtualClock) -> set[str]:
            fixture = _make_server_sink(clock)
            await fixture.sink.replace((_stored('i-1'),))
            await fixture.health.back_off(
                PlatformUnavailableError('status 503')
            )
            await curio.spawn(fixture.sink.run_removals, daemon=True)
            for _ in range(4):
                await fixture.sink.replace(())
                await curio.sleep(0.7)
            return fixture.registry.server_ids()

        self.assertThat(run_virtual(scenario), Equals(set()))


def _stored(name: str) -> StoredObject:
    return StoredObject('servers', name, 1, b'x')


def _make_server_sink(clock: VirtualClock) -> SimpleNamespace:
    log = RecordingLog()
    health = StoreHealth(clock, log)
    registry = ServerRegistry(clock, log)
    pool = make_pool(clock, log=log)
    sink = ServerSink(registry, pool, decode_server, health, clock, log)
    return SimpleNamespace(sink=sink, health=health, registry=registry)
