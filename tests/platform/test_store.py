"""Contract tests of the store client against the store's stand-in."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from itertools import count
from unittest import mock

import curio
import msgspec
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Equals, HasLength, IsInstance, LessThan

from daisydyke._adapters import _http_client
from daisydyke._domain._model import Address
from daisydyke._ports import VmRecord
from daisydyke.exceptions import (
    HistoryGoneError,
    PlatformUnavailableError,
    VersionConflictError,
)
from daisydyke.platform._store import VM_KIND, ObjectStore
from stand_ins.object_store import ObjectStoreStandIn
from tests.contract.test_http_client import RawServer, encode_response
from tests.gateway.test_memory import (
    BODIES,
    BODY_BYTES,
    SLACK_BYTES,
    held_bytes,
    without_collector,
)
from tests.virtual_time import VirtualClock, run_virtual

_PORTS = count(19500)

Scenario = Callable[[ObjectStoreStandIn, ObjectStore], Awaitable[object]]


def run_scenario(scenario: Scenario) -> object:
    """Run a scenario with a store stand-in and a client connected to it."""

    async def _start_and_run() -> object:
        address = Address('127.0.0.1', next(_PORTS))
        stand_in = ObjectStoreStandIn()
        await stand_in.start(address)
        return await scenario(stand_in, ObjectStore(address))

    return curio.run(_start_and_run)


def _encode_watch_response(revision: int, state: str) -> bytes:
    meta = {'name': 'i-1', 'revision': revision}
    event = {'object': {'meta': meta, 'spec': state}}
    body = {'events': [event], 'at_rev': revision}
    return encode_response(msgspec.json.encode(body))


class TestObjectStore(TestCase):
    """ObjectStore"""

    def test_list_over_pages(self) -> None:
        """All pages are read, and the version is that of the first page."""

        async def _scenario(stand_in, store):
            for number in range(8):
                stand_in.put('servers', f's{number}', {'number': number})
            return await store.list_objects(('servers',))

        listing = run_scenario(_scenario).unwrap()
        self.assertThat(listing.version, Equals(18))
        self.assertThat(listing.objects, HasLength(8))
        self.assertThat(listing.objects[7].text, Equals(b'{"number":7}'))

    def test_watch(self) -> None:
        """Changes and deletions come with the version to watch from next."""

        async def _scenario(stand_in, store):
            stand_in.put('servers', 'a', 1)
            start = stand_in.revision
            stand_in.put('config', 'main', 1)
            stand_in.put('servers', 'b', 2)
            stand_in.delete('servers', 'a')
            return await store.watch(('servers',), start, 1)

        listing = run_scenario(_scenario).unwrap()
        changes = [(stored.name, stored.text) for stored in listing.objects]
        self.assertThat(changes, Equals([('b', b'2'), ('a', None)]))
        self.assertThat(listing.version, Equals(14))

    def test_watch_without_changes(self) -> None:
        """A watch that ends without a change succeeds."""

        async def _scenario(stand_in, store):
            return await store.watch(('servers',), stand_in.revision, 0.05)

        self.assertThat(run_scenario(_scenario).unwrap().objects, HasLength(0))

    def test_history_gone(self) -> None:
        """A watch from a version before a compaction gives HistoryGoneError."""

        async def _scenario(stand_in, store):
            stand_in.put('servers', 'a', 1)
            stand_in.compact()
            return await store.watch(('servers',), 10, 1)

        self.assertThat(
            run_scenario(_scenario).failure(), IsInstance(HistoryGoneError)
        )

    def test_unavailable_store(self) -> None:
        """Error statuses and silence give PlatformUnavailableError."""

        async def _scenario(stand_in, store):
            outcomes: list[Result] = []
            for status in (
                HTTPStatus.SERVICE_UNAVAILABLE,
                HTTPStatus.TOO_MANY_REQUESTS,
            ):
                stand_in.status = status
                outcomes.append(await store.list_objects(('servers',)))
            stand_in.silent = True
            outcomes.append(await store.list_objects(('servers',)))
            return outcomes

        for outcome in run_scenario(_scenario):
            self.assertThat(outcome, IsInstance(Failure))
            error = outcome.failure()
            self.assertThat(error, IsInstance(PlatformUnavailableError))

    def test_reconnect_after_failure(self) -> None:
        """A connection on which a call failed is not used again."""

        async def _scenario(stand_in, store):
            stand_in.status = HTTPStatus.SERVICE_UNAVAILABLE
            await store.watch(('servers',), 10, 0.01)
            stand_in.status = None
            stand_in.put('servers', 'a', 1)
            return await store.watch(('servers',), 10, 1)

        self.assertThat(run_scenario(_scenario).unwrap().objects, HasLength(1))

    def test_copy_of_an_earlier_response(self) -> None:
        """A response to an earlier watch, sent again late, changes nothing."""
        first = _encode_watch_response(11, 'ready')
        second = _encode_watch_response(12, 'draining')
        server = RawServer(first, second, first, second)

        async def _watch_thrice() -> list[Result]:
            port = next(_PORTS)
            await curio.spawn(
                curio.tcp_server, '127.0.0.1', port, server.serve, daemon=True
            )
            await curio.sleep(0.05)
            store = ObjectStore(Address('127.0.0.1', port))
            outcomes = [
                await store.watch(('servers',), after, 1)
                for after in (10, 11, 12)
            ]
            return [*outcomes, await store.watch(('servers',), 11, 1)]

        outcomes = curio.run(_watch_thrice)
        for outcome in outcomes[:2]:
            self.assertThat(outcome, IsInstance(Success))
        self.assertThat(
            outcomes[2].failure(), IsInstance(PlatformUnavailableError)
        )
        self.assertThat(outcomes[3].unwrap().version, Equals(12))
        self.assertThat(server.connections, Equals(2))

    def test_refusals_are_freed(self) -> None:
        """What the store sent with a refusal is not held after the call."""
        gone = encode_response(b'x' * BODY_BYTES).replace(b'200', b'410', 1)
        server = RawServer(*(gone for _ in range(BODIES)))

        async def _watch_gone_history() -> int:
            port = next(_PORTS)
            await curio.spawn(
                curio.tcp_server, '127.0.0.1', port, server.serve, daemon=True
            )
            await curio.sleep(0.05)
            store = ObjectStore(Address('127.0.0.1', port))
            before = held_bytes()
            for _ in range(BODIES):
                await store.watch(('servers',), 10, 1)
            return held_bytes() - before

        with without_collector():
            held = curio.run(_watch_gone_history)
        self.assertThat(held, LessThan(SLACK_BYTES))

    def test_connect_timeout(self) -> None:
        """A watch that cannot connect fails within the connect time-out."""

        async def _never(*arguments: object, **options: object) -> None:
            await curio.sleep(1000)

        async def _scenario(clock: VirtualClock) -> tuple[Result, float]:
            store = ObjectStore(Address('127.0.0.1', 1))
            started_at = clock.now
            with mock.patch.object(_http_client, 'connect', _never):
                outcome = await store.watch(('servers',), 10, 29)
            return outcome, clock.now - started_at

        outcome, elapsed_s = run_virtual(_scenario)
        self.assertThat(outcome, IsInstance(Failure))
        self.assertThat(elapsed_s, LessThan(1.1))

    def test_conditional_write(self) -> None:
        """A write on an outdated version fails and names the current one."""

        async def _scenario(stand_in, store):
            first = await store.write('k', 'n', b'{}', 0)
            duplicate = await store.write('k', 'n', b'{}', 0)
            outdated = await store.write('k', 'n', b'{}', 3)
            written = await store.write('k', 'n', b'{"a":1}', first.unwrap())
            return first, duplicate, outdated, written

        first, duplicate, outdated, written = run_scenario(_scenario)
        self.assertThat(written, IsInstance(Success))
        for outcome in (duplicate, outdated):
            error = outcome.failure()
            self.assertThat(error, IsInstance(VersionConflictError))
            self.assertThat(error.current, Equals(first.unwrap()))

    def test_register_again(self) -> None:
        """A VM that registers again replaces its entry."""

        async def _scenario(stand_in, store):
            await store.register_vm(VmRecord('a', '10.0.0.1', leaving=False))
            record = VmRecord('a', '10.0.0.2', leaving=False, speed=0.7)
            registered = await store.register_vm(record)
            return registered, await store.list_vms(), stand_in.calls

        registered, listed, calls = run_scenario(_scenario)
        self.assertThat(registered, IsInstance(Success))
        (record,) = listed.unwrap()
        self.assertThat(record.address, Equals('10.0.0.2'))
        self.assertThat(record.speed, Equals(0.7))
        self.assertThat(
            calls[-1],
            Equals(f'GET /-/objects/{VM_KIND}?after=&serializable=1'),
        )
