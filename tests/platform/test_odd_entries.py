"""Tests of entries that another writer has left in the store.

Machines that read the list ended again and again, or followed no change of
any server any more (DRAIN, LOST).
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterator
from itertools import count

import curio
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Contains, Equals, IsInstance

from daisydyke._adapters._platform import HttpPlatform
from daisydyke._domain._model import Address
from daisydyke._ports import StoredObject
from daisydyke.platform._documents import (
    decode_configuration,
    decode_server,
)
from daisydyke.platform._pages import decode_events, decode_page
from daisydyke.platform._store import ObjectStore
from tests.contract.test_http_client import RawServer, encode_response
from tests.platform.test_documents import SERVER_DOCUMENT

_PORTS = count(23000)
Scenario = Callable[[Address], Awaitable[list[Result]]]
DEEP = b'[' * 100_000 + b']' * 100_000
# Values that a decoder may fail on in another way than by its own errors.
ODD_VALUES = {
    'nesting': DEEP,
    'nested members': b'{"a":' * 5_000 + b'1' + b'}' * 5_000,
    'digits': b'9' * 5_000,
    'large number': b'1' + b'0' * 400,
    'float': b'1e999',
    'not a number': b'NaN',
    'bytes': b'"\xff\xfe"',
    'surrogate': b'"%bud800"' % b'\\',
    'scalar': b'7',
    'null': b'null',
    'text': b'"x"',
    'list': b'[]',
}
ODD_ADDRESSES = (
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:99999999999999999999',
    '10.0.0.256:80',
    '10.0.0.1.1:80',
    '10.1:80',
    ':80',
)


def _entry(name: str, spec: bytes, revision: int = 11) -> bytes:
    return b'{"meta":{"name":"%b","revision":%d},"spec":%b}' % (
        name.encode(),
        revision,
        spec,
    )


def _page(*entries: bytes) -> bytes:
    return b'{"items":[%b],"has_more":false,"at_rev":20}' % b','.join(entries)


def _events(*entries: bytes) -> bytes:
    events = b','.join(
        b'{"deleted":false,"object":%b}' % entry for entry in entries
    )
    return b'{"events":[%b],"at_rev":20}' % events


def _sound() -> bytes:
    return json.dumps(SERVER_DOCUMENT).encode()


def _odd_documents() -> Iterator[tuple[str, bytes]]:
    """Yield documents of a server in which one value is odd."""
    for kind, odd in ODD_VALUES.items():
        yield kind, odd
        for field in (*SERVER_DOCUMENT, 'unknown'):
            members = {**SERVER_DOCUMENT, field: 'ODD'}
            text = json.dumps(members).encode().replace(b'"ODD"', odd)
            yield f'{kind} as {field}', text


def _run(scenario: Scenario, *bodies: bytes) -> list[Result]:
    """Run a scenario with the address of a peer that sends these bodies."""
    server = RawServer(*(encode_response(body) for body in bodies))

    async def _start_and_run() -> list[Result]:
        address = Address('127.0.0.1', next(_PORTS))
        await curio.spawn(
            curio.tcp_server,
            address.host,
            address.port,
            server.serve,
            daemon=True,
        )
        await curio.sleep(0.05)
        return await scenario(address)

    return curio.run(_start_and_run)


class TestOddEntries(TestCase):
    """One entry that cannot be read spoils itself alone."""

    def test_list(self) -> None:
        """The entries before and after an odd one are read."""
        for name, odd in _odd_documents():
            text = _page(
                _entry('a', _sound()), _entry('b', odd), _entry('c', _sound())
            )
            page = decode_page('servers', text)
            self._check(name, page.objects)
            self.assertThat(page.version, Equals(20), name)

    def test_watch(self) -> None:
        """The changes before and after an odd one are read."""
        for name, odd in _odd_documents():
            text = _events(
                _entry('a', _sound()), _entry('b', odd), _entry('c', _sound())
            )
            changes = decode_events('servers', 5, text)
            self._check(name, changes.objects)
            self.assertThat(changes.version, Equals(20), name)

    def test_every_odd_value_alone(self) -> None:
        """A whole document that is odd names no server and no routes."""
        for name, odd in ODD_VALUES.items():
            stored = StoredObject('servers', 'b', 1, odd)
            for decode in (decode_server, decode_configuration):
                self.assertThat(decode(stored), IsInstance(Failure), name)

    def test_addresses(self) -> None:
        """An address that cannot be connected to names no server."""
        for address in ODD_ADDRESSES:
            text = json.dumps({**SERVER_DOCUMENT, 'address': address})
            decoded = decode_server(
                StoredObject('servers', 'b', 1, text.encode())
            )
            self.assertThat(decoded, IsInstance(Failure), address)

    def test_over_the_wire(self) -> None:
        """Lists and watches with an odd entry succeed."""
        entries = (_entry('a', _sound()), _entry('b', DEEP))

        async def scenario(address: Address) -> list[Result]:
            store = ObjectStore(address)
            return [
                await store.list_objects(('servers',)),
                await store.watch(('servers',), 5, 1),
            ]

        for outcome in _run(scenario, _page(*entries), _events(*entries)):
            names = [stored.name for stored in outcome.unwrap().objects]
            self.assertThat(names, Equals(['a', 'b']))

    def test_vm_list(self) -> None:
        """An odd entry among those of the VMs names no VM."""
        entries = (_entry('a', b'{"address":"10.0.0.1"}'), _entry('b', DEEP))

        async def scenario(address: Address) -> list[Result]:
            return [await ObjectStore(address).list_vms()]

        (outcome,) = _run(scenario, _page(*entries))
        names = [record.name for record in outcome.unwrap()]
        self.assertThat(names, Equals(['a']))

    def _check(self, name: str, objects: tuple[StoredObject, ...]) -> None:
        names = [stored.name for stored in objects]
        self.assertThat(names, Equals(['a', 'b', 'c']), name)
        for stored in objects:
            decoded = decode_server(stored)
            if stored.name != 'b':
                self.assertThat(decoded, IsInstance(Success), name)
            elif not isinstance(decoded, Success):
                error = str(decoded.failure())
                self.assertThat(error, Contains('servers/b'), name)


class TestOddDocumentsOfTheEntryDaemon(TestCase):
    """HttpPlatform"""

    def test_list(self) -> None:
        """A document that cannot be decoded spoils no other."""
        item = b'{"kind":"service","name":"%b","version":3,"value":%b}'
        text = b'{"version":9,"objects":[%b,%b]}' % (
            item % (b'odd', DEEP),
            item % (b'sound', b'{}'),
        )

        async def scenario(address: Address) -> list[Result]:
            return [await HttpPlatform(address).list_objects(('service',))]

        (outcome,) = _run(scenario, text)
        self.assertThat(
            [(stored.name, stored.text) for stored in outcome.unwrap().objects],
            Equals([('odd', DEEP), ('sound', b'{}')]),
        )
