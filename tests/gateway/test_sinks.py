"""Tests of the sinks that put mirrored objects into force."""

import curio
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Equals, Is

from daisydyke._backends._registry import ServerRegistry, usable
from daisydyke._mirror._sinks import DomainSink, ServerSink, TableSink
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._ports import StoredObject
from daisydyke._requests._model import CallerLimits
from daisydyke._requests._routes import RoutingTable
from daisydyke.exceptions import InvalidDocumentError, PlatformUnavailableError
from tests.fakes import RecordingLog
from tests.gateway.world import make_pool, server_record
from tests.virtual_time import VirtualClock, run_virtual

# After an outage, a server that does not register again is kept for at least
# the first of these times and removed before the second is over.
REREGISTRATION_S = 2
REMOVED_AFTER_S = 3


def stored(name: str, text: bytes | None = b'x') -> StoredObject:
    """Return a stored object."""
    return StoredObject('kind', name, 1, text)


def decode_table(source: StoredObject):
    """Decode a routing table; the text is its version."""
    if source.text == b'bad':
        return Failure(InvalidDocumentError('config/main', '$', 'bad'))
    return Success(RoutingTable(int(source.text), [], {}, CallerLimits()))


def decode_server(source: StoredObject):
    """Decode a registration; the text is its state."""
    if source.text == b'bad':
        return Failure(InvalidDocumentError(source.name, '$', 'bad'))
    return Success(
        server_record(source.name, draining=source.text == b'draining')
    )


class TestTableSink(TestCase):
    """TableSink"""

    def test_never_goes_back(self) -> None:
        """Older, invalid and deleted objects leave the newest in force."""

        async def scenario(clock: VirtualClock) -> list[int]:
            sink = TableSink('main', decode_table, RecordingLog())
            versions = []
            for text in (b'3', b'2', b'bad', b'7', b'3', None):
                await sink.apply(stored('main', text))
                versions.append(sink.table.version)
            return versions

        self.assertThat(run_virtual(scenario), Equals([3, 3, 3, 7, 7, 7]))

    def test_other_objects(self) -> None:
        """Objects of other names are ignored."""

        async def scenario(clock: VirtualClock) -> RoutingTable | None:
            sink = TableSink('main', decode_table, RecordingLog())
            await sink.replace((stored('other', b'9'),))
            return sink.table

        self.assertThat(run_virtual(scenario), Is(None))


class TestDomainSink(TestCase):
    """DomainSink"""

    def test_out_and_back(self) -> None:
        """Domains are excluded and included by changes and by listings."""

        async def scenario(clock: VirtualClock) -> list[list[str]]:
            sink = DomainSink(RecordingLog())
            states = []
            await sink.apply(stored('north'))
            await sink.apply(stored('south'))
            states.append(sorted(sink.excluded))
            await sink.apply(stored('north', None))
            states.append(sorted(sink.excluded))
            await sink.replace(())
            states.append(sorted(sink.excluded))
            return states

        self.assertThat(
            run_virtual(scenario),
            Equals([['north', 'south'], ['south'], []]),
        )


class _ServerSinkFixture:
    def __init__(self, clock: VirtualClock) -> None:
        self.log = RecordingLog()
        self.health = StoreHealth(clock, self.log)
        self.registry = ServerRegistry(clock, self.log)
        pool = make_pool(clock)
        self.sink = ServerSink(
            self.registry,
            pool,
            decode_server,
            self.health,
            clock,
            self.log,
        )

    def registered(self) -> set[str]:
        return self.registry.server_ids()

    def usable(self, *out: str) -> set[str]:
        servers = self.registry.of_service('desk')
        return {server.server_id for server in usable(servers, frozenset(out))}


class TestServerSink(TestCase):
    """ServerSink"""

    def test_draining_gets_nothing(self) -> None:
        """A server that drains, or whose domain is excluded, is not usable."""

        async def scenario(clock: VirtualClock) -> list[set[str]]:
            servers = _ServerSinkFixture(clock)
            await servers.sink.replace((stored('i-1'), stored('i-2')))
            await servers.sink.apply(stored('i-1', b'draining'))
            return [servers.usable(), servers.usable('north')]

        self.assertThat(run_virtual(scenario), Equals([{'i-2'}, set()]))

    def test_removed_at_once(self) -> None:
        """While the store answers, a deletion removes the server at once."""

        async def scenario(clock: VirtualClock) -> set[str]:
            servers = _ServerSinkFixture(clock)
            await servers.sink.replace((stored('i-1'), stored('i-2')))
            await servers.sink.apply(stored('i-1', None))
            return servers.registered()

        self.assertThat(run_virtual(scenario), Equals({'i-2'}))

    def test_invalid_registration(self) -> None:
        """An invalid registration does not affect others."""

        async def scenario(clock: VirtualClock) -> set[str]:
            servers = _ServerSinkFixture(clock)
            entries = (stored('i-1'), stored('i-2', b'bad'))
            await servers.sink.replace(entries)
            return servers.registered()

        self.assertThat(run_virtual(scenario), Equals({'i-1'}))

    def test_lapsed_during_an_outage(self) -> None:
        """After an outage, servers have time to register again."""

        async def scenario(clock: VirtualClock) -> list[set[str]]:
            servers = _ServerSinkFixture(clock)
            await curio.spawn(servers.sink.run_removals(), daemon=True)
            entries = tuple(map(stored, ('i-1', 'i-2', 'i-3')))
            await servers.sink.replace(entries)
            await servers.health.back_off(PlatformUnavailableError('down'))
            servers.health.record_success()
            await servers.sink.replace((stored('i-3'),))
            states = [servers.registered()]
            await curio.sleep(REREGISTRATION_S / 2)
            await servers.sink.apply(stored('i-1'))
            await curio.sleep(REREGISTRATION_S / 2)
            states.append(servers.registered())
            await curio.sleep(REMOVED_AFTER_S - REREGISTRATION_S)
            states.append(servers.registered())
            return states

        all_servers = {'i-1', 'i-2', 'i-3'}
        self.assertThat(
            run_virtual(scenario),
            Equals([all_servers, all_servers, {'i-1', 'i-3'}]),
        )

    def test_restart_under_the_same_name(self) -> None:
        """A restarted server replaces the record of its former process."""

        async def scenario(clock: VirtualClock) -> tuple[bool, int]:
            registry = ServerRegistry(clock, RecordingLog())
            registry.register(server_record(started_ms=1))
            first = registry.of_service('desk')[0]
            replaced = registry.register(
                server_record(started_ms=2, cold_for=3.0)
            )
            second = registry.of_service('desk')[0]
            return replaced is first, second.cold_until - clock.now

        self.assertThat(run_virtual(scenario), Equals((True, 3.0)))
