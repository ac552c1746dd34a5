"""Tests of following a kind of the store through its faults."""

import curio
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from daisydyke._mirror._mirror import KindMirror
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._ports import Listing, StoredObject
from daisydyke.exceptions import HistoryGoneError, PlatformUnavailableError
from tests.fakes import ListLog
from tests.gateway.world import KeptObjects, ScriptedStore
from tests.virtual_time import VirtualClock, run_virtual


def listing(version: int, **names: str) -> Listing:
    """Return a listing of objects by name and text."""
    return Listing(
        version,
        tuple(
            StoredObject('kind', name, version, text.encode())
            for name, text in names.items()
        ),
    )


async def _follow(
    clock: VirtualClock,
    seconds: float,
    mirrors: int,
    store: ScriptedStore,
) -> KeptObjects:
    log = ListLog()
    health = StoreHealth(clock, log)
    sink = KeptObjects()
    for _ in range(mirrors):
        mirror = KindMirror('kind', store, sink, health, log, 0.1)
        await curio.spawn(mirror.run(), daemon=True)
    await curio.sleep(seconds)
    return sink


def follow(store: ScriptedStore, seconds: float = 5, mirrors: int = 1):
    """Follow a store for some seconds."""
    return run_virtual(_follow, seconds, mirrors, store)


class TestKindMirror(TestCase):
    """KindMirror"""

    def test_watches_from_the_listed_version(self) -> None:
        """No change between the list and the watch is lost."""
        store = ScriptedStore(listing(7, a='1'), listing(9, a='2'))
        sink = follow(store)
        self.assertThat(
            store.calls,
            Equals([('list', 0), ('watch', 7), ('watch', 9)]),
        )
        self.assertThat(sink.objects['a'].text, Equals(b'2'))

    def test_history_gone(self) -> None:
        """After a compaction, everything is listed again at once."""
        gone = HistoryGoneError('compacted')
        store = ScriptedStore(listing(7, a='1'), gone, listing(20, b='1'))
        sink = follow(store, seconds=0.5)
        self.assertThat(sink.replaced, Equals(2))
        self.assertThat(set(sink.objects), Equals({'b'}))
        self.assertThat(store.calls[-1], Equals(('watch', 20)))

    def test_outage_keeps_the_version(self) -> None:
        """After an outage, the watch goes on where it was."""
        down = PlatformUnavailableError('down')
        store = ScriptedStore(listing(7, a='1'), down, down, listing(8, a='2'))
        sink = follow(store)
        self.assertThat(sink.replaced, Equals(1))
        self.assertThat(sink.objects['a'].text, Equals(b'2'))

    def test_empty_store(self) -> None:
        """A kind without objects is listed once."""
        store = ScriptedStore(listing(3))
        follow(store)
        self.assertThat(store.calls, Equals([('list', 0), ('watch', 3)]))

    def test_calls_during_an_outage(self) -> None:
        """While the store is down, one mirror at a time tries, ever slower."""
        down = [PlatformUnavailableError('down') for _ in range(100)]
        store = ScriptedStore(*down)
        follow(store, seconds=10, mirrors=3)
        self.assertThat(len(store.calls), LessThan(30))
        self.assertThat(len(store.calls), GreaterThan(6))
