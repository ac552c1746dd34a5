"""Tests of mirroring one kind of objects through faults of the store."""

import curio
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from daisydyke._mirror._mirror import KindMirror
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._ports import Listing, StoredObject
from daisydyke.exceptions import HistoryGoneError, PlatformUnavailableError
from tests.fakes import RecordingLog
from tests.gateway.world import RecordingSink, ScriptedStore
from tests.virtual_time import VirtualClock, run_virtual


def listing(version: int, **texts: str) -> Listing:
    """Return a listing with these objects.

    Parameters:
        texts: text of each object by its name.
    """
    return Listing(
        version,
        tuple(
            StoredObject('kind', name, version, text.encode())
            for name, text in texts.items()
        ),
    )


async def _run_mirrors(
    clock: VirtualClock,
    seconds: float,
    mirrors: int,
    store: ScriptedStore,
) -> RecordingSink:
    log = RecordingLog()
    health = StoreHealth(clock, log)
    sink = RecordingSink()
    for _ in range(mirrors):
        mirror = KindMirror('kind', store, sink, health, log, 0.1)
        await curio.spawn(mirror.run(), daemon=True)
    await curio.sleep(seconds)
    return sink


def run_mirrors(store: ScriptedStore, seconds: float = 5, mirrors: int = 1):
    """Run mirrors of a store for some seconds and return their sink."""
    return run_virtual(_run_mirrors, seconds, mirrors, store)


class TestKindMirror(TestCase):
    """KindMirror"""

    def test_watches_from_the_listed_version(self) -> None:
        """The watch starts at the listed version, so no change is missed."""
        store = ScriptedStore(listing(7, a='1'), listing(9, a='2'))
        sink = run_mirrors(store)
        self.assertThat(
            store.calls,
            Equals([('list', 0), ('watch', 7), ('watch', 9)]),
        )
        self.assertThat(sink.objects['a'].text, Equals(b'2'))

    def test_history_gone(self) -> None:
        """After a compaction, all objects are listed again at once."""
        gone = HistoryGoneError('compacted')
        store = ScriptedStore(listing(7, a='1'), gone, listing(20, b='1'))
        sink = run_mirrors(store, seconds=0.5)
        self.assertThat(sink.replaced, Equals(2))
        self.assertThat(set(sink.objects), Equals({'b'}))
        self.assertThat(store.calls[-1], Equals(('watch', 20)))

    def test_outage_keeps_the_version(self) -> None:
        """After an outage, the watch resumes at its version."""
        down = PlatformUnavailableError('down')
        store = ScriptedStore(listing(7, a='1'), down, down, listing(8, a='2'))
        sink = run_mirrors(store)
        self.assertThat(sink.replaced, Equals(1))
        self.assertThat(sink.objects['a'].text, Equals(b'2'))

    def test_empty_store(self) -> None:
        """A kind without objects is listed once."""
        store = ScriptedStore(listing(3))
        run_mirrors(store)
        self.assertThat(store.calls, Equals([('list', 0), ('watch', 3)]))

    def test_calls_during_an_outage(self) -> None:
        """During an outage, mirrors retry one at a time with backoff."""
        down = [PlatformUnavailableError('down') for _ in range(100)]
        store = ScriptedStore(*down)
        run_mirrors(store, seconds=10, mirrors=3)
        self.assertThat(len(store.calls), LessThan(30))
        self.assertThat(len(store.calls), GreaterThan(6))
