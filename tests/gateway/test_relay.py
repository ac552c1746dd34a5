"""Tests of catching up from members while the store turns this VM away."""

from __future__ import annotations

from types import SimpleNamespace

import curio
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from daisydyke._adapters._datagrams import Digest
from daisydyke._backends._pool import ConnectionPool
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
from tests.fakes import ListLog
from tests.gateway.test_mirror import listing
from tests.gateway.test_sinks import decode_server
from tests.gateway.world import KeptObjects, ScriptedStore, member
from tests.virtual_time import VirtualClock, run_virtual

KIND = 'kind'
AHEAD = member('ahead')
# Seconds within which a change is to be in force everywhere.
IN_FORCE_S = 3
GOSSIP_INTERVAL_S = 0.5


class ScriptedCopies:
    """Answers with one listing, or fails."""

    def __init__(self, answer: Listing | DaisydykeError) -> None:
        """Keep the answer."""
        self._answer = answer
        self.calls: list[tuple[Address, str, int]] = []

    async def fetch(
        self,
        address: Address,
        kind: str,
        after: int,
    ) -> Result[Listing, DaisydykeError]:
        """Answer once asked."""
        self.calls.append((address, kind, after))
        if isinstance(self._answer, DaisydykeError):
            return Failure(self._answer)
        return Success(self._answer)


class World:
    """A mirror whose store turns the VM away, and its relay."""

    def __init__(
        self,
        clock: VirtualClock,
        copies: ScriptedCopies,
        *script: Listing | PlatformUnavailableError,
    ) -> None:
        """Build the parts."""
        self.log = ListLog()
        self.sink = KeptObjects()
        self.health = StoreHealth(clock, self.log)
        self.mirror = KindMirror(
            KIND,
            ScriptedStore(*script),
            self.sink,
            self.health,
            self.log,
            0.1,
        )
        self.relay = MirrorRelay([self.mirror], copies, clock, self.log)

    async def hear(self, version: int, seconds: float) -> None:
        """Run, and hear from a member at this version."""
        for run in (self.mirror.run, self.relay.run):
            await curio.spawn(run, daemon=True)
        waited: float = 0
        while waited < seconds:
            await self.relay.on_digest_mismatch(AHEAD, Digest(version, 0))
            await curio.sleep(GOSSIP_INTERVAL_S)
            waited += GOSSIP_INTERVAL_S


def turned_away() -> list[PlatformUnavailableError]:
    """Return what the store answers for the rest of a test."""
    return [PlatformUnavailableError('status 503') for _ in range(100)]


class TestMirrorRelay(TestCase):
    """MirrorRelay"""

    def test_turned_away(self) -> None:
        """A change is in force in time although the store says nothing."""

        async def _run(clock: VirtualClock) -> World:
            copies = ScriptedCopies(listing(9, a='2'))
            world = World(clock, copies, listing(7, a='1'), *turned_away())
            await world.hear(9, IN_FORCE_S)
            return world

        world = run_virtual(_run)
        self.assertThat(world.sink.objects['a'].text, Equals(b'2'))
        self.assertThat(world.mirror.version, Equals(9))

    def test_started_while_turned_away(self) -> None:
        """A VM that never reached the store learns all from a member."""

        async def _run(clock: VirtualClock) -> World:
            copies = ScriptedCopies(listing(9, a='2'))
            world = World(clock, copies, *turned_away())
            await world.hear(9, IN_FORCE_S)
            return world

        world = run_virtual(_run)
        self.assertThat(world.mirror.listed.is_set(), Is(True))
        self.assertThat(world.sink.objects['a'].text, Equals(b'2'))

    def test_level_members_ask_nothing(self) -> None:
        """Members that know the same exchange no copies."""

        async def _run(clock: VirtualClock) -> ScriptedCopies:
            copies = ScriptedCopies(listing(7, a='1'))
            world = World(clock, copies, listing(7, a='1'))
            await world.hear(7, 30)
            return copies

        self.assertThat(run_virtual(_run).calls, HasLength(0))

    def test_standing_by(self) -> None:
        """A VM that does not follow the store yet asks nobody."""

        async def _run(clock: VirtualClock) -> ScriptedCopies:
            copies = ScriptedCopies(listing(9, a='2'))
            relay = World(clock, copies).relay
            for _ in range(10):
                await relay.on_digest_mismatch(AHEAD, Digest(9, 0))
                await curio.sleep(GOSSIP_INTERVAL_S)
            await curio.spawn(relay.run, daemon=True)
            await curio.sleep(1)
            return copies

        self.assertThat(run_virtual(_run).calls, HasLength(0))

    def test_short_lag_asks_nothing(self) -> None:
        """A member whose watch was quicker is not asked."""

        async def _run(clock: VirtualClock) -> ScriptedCopies:
            copies = ScriptedCopies(listing(9, a='2'))
            world = World(clock, copies, listing(7, a='1'))
            await world.hear(9, GOSSIP_INTERVAL_S)
            return copies

        self.assertThat(run_virtual(_run).calls, HasLength(0))

    def test_nothing_newer(self) -> None:
        """A member that turns out to know no more is asked once."""

        async def _run(clock: VirtualClock) -> ScriptedCopies:
            copies = ScriptedCopies(Listing(7, ()))
            world = World(clock, copies, listing(7, a='1'))
            await world.hear(9, 30)
            return copies

        self.assertThat(run_virtual(_run).calls, HasLength(1))

    def test_copy_during_a_change(self) -> None:
        """A copy taken while a change is applied stays in force."""

        async def _run(clock: VirtualClock) -> World:
            world = World(clock, ScriptedCopies(Listing(0, ())))
            world.mirror = KindMirror(
                KIND,
                ScriptedStore(listing(7, a='1'), listing(8, a='late')),
                SlowObjects(world.sink),
                world.health,
                world.log,
                0.1,
            )
            await curio.spawn(world.mirror.run, daemon=True)
            await curio.sleep(0.5)
            await world.mirror.take(listing(9, a='2'), 'ahead')
            await curio.sleep(3)
            return world

        self.assertThat(
            run_virtual(_run).sink.objects['a'].text,
            Equals(b'2'),
        )

    def test_never_goes_back(self) -> None:
        """A copy older than what is known changes nothing."""

        async def _run(clock: VirtualClock) -> World:
            copies = ScriptedCopies(listing(5, a='0'))
            world = World(clock, copies, listing(7, a='1'), *turned_away())
            await world.hear(9, IN_FORCE_S)
            return world

        self.assertThat(run_virtual(_run).sink.objects['a'].text, Equals(b'1'))

    def test_member_fails(self) -> None:
        """A member that cannot be asked is logged and asked again later."""

        async def _run(clock: VirtualClock) -> World:
            copies = ScriptedCopies(ConnectionLostError('reset'))
            world = World(clock, copies, listing(7, a='1'), *turned_away())
            await world.hear(9, 5)
            return world

        world = run_virtual(_run)
        failed = world.log.events('relay_failed')
        self.assertThat(len(failed) >= 2, Is(True))
        self.assertThat(world.sink.objects['a'].text, Equals(b'1'))

    def test_watch_overtaken(self) -> None:
        """What a watch answers after a copy was taken is not applied."""

        async def _run(clock: VirtualClock) -> World:
            store = SlowWatch(listing(7, a='1'), listing(8, a='late'))
            world = World(clock, ScriptedCopies(listing(9, a='2')))
            world.mirror = KindMirror(
                KIND, store, world.sink, world.health, world.log, 0.1
            )
            await curio.spawn(world.mirror.run, daemon=True)
            await curio.sleep(0.5)
            await world.mirror.take(listing(9, a='2'), 'ahead')
            await curio.sleep(2)
            return world

        self.assertThat(run_virtual(_run).sink.objects['a'].text, Equals(b'2'))


class SlowObjects:
    """Sink that takes a second for each change."""

    def __init__(self, sink: KeptObjects) -> None:
        """Keep the sink that takes the changes."""
        self._sink = sink

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all objects at once."""
        await self._sink.replace(objects)

    async def change(self, stored: StoredObject) -> None:
        """Take one object late."""
        await curio.sleep(1)
        await self._sink.change(stored)


class SlowWatch(ScriptedStore):
    """Store whose watches answer after a second."""

    async def watch(self, kinds, after, wait):
        """Answer late."""
        await curio.sleep(1)
        return await super().watch(kinds, after, wait)


class TestRemovalWhileLost(TestCase):
    """ServerSink"""

    def test_removal_from_a_member_waits(self) -> None:
        """A registration that a member lacks may just be coming back."""

        async def _run(clock: VirtualClock) -> list[set[str]]:
            world = _sink_world(clock)
            await world.sink.replace((_stored('i-1'),))
            await world.health.back_off(PlatformUnavailableError('status 503'))
            await world.sink.replace(())
            await curio.spawn(world.sink.run_removals, daemon=True)
            await curio.sleep(1)
            soon = world.registry.identifiers()
            await curio.sleep(2)
            return [soon, world.registry.identifiers()]

        self.assertThat(run_virtual(_run), Equals([{'i-1'}, set()]))

    def test_repeated_copies(self) -> None:
        """Copies that follow one another put off no removal."""

        async def _run(clock: VirtualClock) -> set[str]:
            world = _sink_world(clock)
            await world.sink.replace((_stored('i-1'),))
            await world.health.back_off(PlatformUnavailableError('status 503'))
            await curio.spawn(world.sink.run_removals, daemon=True)
            for _ in range(4):
                await world.sink.replace(())
                await curio.sleep(0.7)
            return world.registry.identifiers()

        self.assertThat(run_virtual(_run), Equals(set()))


def _stored(name: str) -> StoredObject:
    return StoredObject('servers', name, 1, b'x')


def _sink_world(clock: VirtualClock) -> SimpleNamespace:
    log = ListLog()
    health = StoreHealth(clock, log)
    registry = ServerRegistry(clock, log)
    pool = ConnectionPool(lambda: None, lambda server: 1, clock)
    sink = ServerSink(registry, pool, decode_server, health, clock, log)
    return SimpleNamespace(sink=sink, health=health, registry=registry)
