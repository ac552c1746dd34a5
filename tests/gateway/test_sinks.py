"""Tests of putting mirrored objects into force."""

import curio
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, Is

from daisydyke._backends._pool import ConnectionPool
from daisydyke._backends._registry import ServerRegistry, usable
from daisydyke._mirror._sinks import DomainSink, ServerSink, TableSink
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._ports import StoredObject
from daisydyke._requests._model import CallerLimits
from daisydyke._requests._routes import RoutingTable
from daisydyke.exceptions import InvalidDocumentError, PlatformUnavailableError
from tests.fakes import ListLog
from tests.gateway.world import server_record
from tests.virtual_time import VirtualClock, run_virtual

REGISTER_AGAIN_S = 2
DRAIN_S = 3


def stored(name: str, text: bytes | None = b'x') -> StoredObject:
    """Return a stored object."""
    return StoredObject('kind', name, 1, text)


def decode_table(found: StoredObject):
    """Read a version from an object's text."""
    if found.text == b'bad':
        return Failure(InvalidDocumentError('config/main', '$', 'bad'))
    return Success(RoutingTable(int(found.text), [], {}, CallerLimits()))


def decode_server(found: StoredObject):
    """Read a registration from an object."""
    if found.text == b'bad':
        return Failure(InvalidDocumentError(found.name, '$', 'bad'))
    return Success(
        server_record(found.name, draining=found.text == b'draining')
    )


class TestTableSink(TestCase):
    """TableSink"""

    def test_never_goes_back(self) -> None:
        """Whatever comes in whatever order, the newest version stays."""

        async def _run(clock: VirtualClock) -> list[int]:
            sink = TableSink('main', decode_table, ListLog())
            versions = []
            for text in (b'3', b'2', b'bad', b'7', b'3', None):
                await sink.change(stored('main', text))
                versions.append(sink.table.version)
            return versions

        self.assertThat(run_virtual(_run), Equals([3, 3, 3, 7, 7, 7]))

    def test_other_objects(self) -> None:
        """Only the object of the configured name is read."""

        async def _run(clock: VirtualClock) -> RoutingTable | None:
            sink = TableSink('main', decode_table, ListLog())
            await sink.replace((stored('other', b'9'),))
            return sink.table

        self.assertThat(run_virtual(_run), Is(None))


class TestDomainSink(TestCase):
    """DomainSink"""

    def test_out_and_back(self) -> None:
        """Failure domains leave and return by change and by list."""

        async def _run(clock: VirtualClock) -> list[list[str]]:
            sink = DomainSink(ListLog())
            seen = []
            await sink.change(stored('north'))
            await sink.change(stored('south'))
            seen.append(sorted(sink.excluded))
            await sink.change(stored('north', None))
            seen.append(sorted(sink.excluded))
            await sink.replace(())
            seen.append(sorted(sink.excluded))
            return seen

        self.assertThat(
            run_virtual(_run),
            Equals([['north', 'south'], ['south'], []]),
        )


class _Servers:
    def __init__(self, clock: VirtualClock) -> None:
        self.log = ListLog()
        self.health = StoreHealth(clock, self.log)
        self.registry = ServerRegistry(clock, self.log)
        pool = ConnectionPool(lambda: None, lambda server: 1, clock)
        self.sink = ServerSink(
            self.registry,
            pool,
            decode_server,
            self.health,
            clock,
            self.log,
        )

    def known(self) -> set[str]:
        return self.registry.identifiers()

    def usable(self, *out: str) -> set[str]:
        servers = self.registry.of_service('desk')
        return {one.server_id for one in usable(servers, frozenset(out))}


class TestServerSink(TestCase):
    """ServerSink"""

    def test_draining_gets_nothing(self) -> None:
        """A server that drains, or whose domain is out, is not usable."""

        async def _run(clock: VirtualClock) -> list[set[str]]:
            servers = _Servers(clock)
            await servers.sink.replace((stored('i-1'), stored('i-2')))
            await servers.sink.change(stored('i-1', b'draining'))
            return [servers.usable(), servers.usable('north')]

        self.assertThat(run_virtual(_run), Equals([{'i-2'}, set()]))

    def test_gone_at_once(self) -> None:
        """While the store is up, an entry that is gone means gone."""

        async def _run(clock: VirtualClock) -> set[str]:
            servers = _Servers(clock)
            await servers.sink.replace((stored('i-1'), stored('i-2')))
            await servers.sink.change(stored('i-1', None))
            return servers.known()

        self.assertThat(run_virtual(_run), Equals({'i-2'}))

    def test_invalid_entry_names_no_server(self) -> None:
        """An entry that cannot be read harms no other."""

        async def _run(clock: VirtualClock) -> set[str]:
            servers = _Servers(clock)
            entries = (stored('i-1'), stored('i-2', b'bad'))
            await servers.sink.replace(entries)
            return servers.known()

        self.assertThat(run_virtual(_run), Equals({'i-1'}))

    def test_lapsed_during_an_outage(self) -> None:
        """A server may register again before it is taken to be gone."""

        async def _run(clock: VirtualClock) -> list[set[str]]:
            servers = _Servers(clock)
            await curio.spawn(servers.sink.run_removals(), daemon=True)
            entries = tuple(map(stored, ('i-1', 'i-2', 'i-3')))
            await servers.sink.replace(entries)
            await servers.health.back_off(PlatformUnavailableError('down'))
            servers.health.record_success()
            await servers.sink.replace((stored('i-3'),))
            seen = [servers.known()]
            await curio.sleep(REGISTER_AGAIN_S / 2)
            await servers.sink.change(stored('i-1'))
            await curio.sleep(REGISTER_AGAIN_S / 2)
            seen.append(servers.known())
            await curio.sleep(DRAIN_S - REGISTER_AGAIN_S)
            seen.append(servers.known())
            return seen

        everyone = {'i-1', 'i-2', 'i-3'}
        self.assertThat(
            run_virtual(_run),
            Equals([everyone, everyone, {'i-1', 'i-3'}]),
        )

    def test_restart_under_the_same_name(self) -> None:
        """A new start forgets what was known of the old one."""

        async def _run(clock: VirtualClock) -> tuple[bool, int]:
            registry = ServerRegistry(clock, ListLog())
            registry.put(server_record(started_ms=1))
            first = registry.of_service('desk')[0]
            replaced = registry.put(server_record(started_ms=2, cold_for=3.0))
            second = registry.of_service('desk')[0]
            return replaced is first, second.cold_until - clock.now

        self.assertThat(run_virtual(_run), Equals((True, 3.0)))
