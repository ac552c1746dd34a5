"""Tests of the documents that the operator and the servers keep."""

import json

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools import TestCase
from testtools.matchers import Contains, Equals, IsInstance

from daisydyke._ports import StoredObject
from daisydyke.platform._documents import decode_configuration, decode_server

SERVER = {
    'service': 'desk',
    'address': '10.0.0.1:80',
    'zone': 'north',
    'version': 'v1',
    'capacity': 2,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'sequence': 4,
    'born': 17,
}
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/a/',
    'route_type': 'idempotent',
    'timeout_ms': 600,
    'target_latency_ms': 71,
    'priority': 2,
    'gather': ['s1', 's2'],
    'max_attempts': 2,
    'top_k': 5,
    'min_shard_share': 0.75,
}
SERVICE = {
    'name': 's1',
    'health_path': '/health',
    'max_connections': 58,
    'warmup_s': 3.0,
    'warmup_per_s': 5.5,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def stored(value: object, kind: str = 'servers', name: str = 'i-1') -> object:
    """Return a stored object that holds a value as JSON."""
    return StoredObject(kind, name, 1, json.dumps(value).encode())


class TestDecodeServer(TestCase):
    """decode_server()"""

    def test_valid(self) -> None:
        """Names and units are translated."""
        record = decode_server(stored(SERVER)).unwrap()
        self.assertThat(record.server_id, Equals('i-1'))
        self.assertThat(str(record.address), Equals('10.0.0.1:80'))
        self.assertThat(record.domain, Equals('north'))
        self.assertThat(record.slots, Equals(2))
        self.assertThat(record.cold_for, Equals(1.5))
        self.assertThat(record.started_ms, Equals(17))
        self.assertFalse(record.draining)

    def test_draining(self) -> None:
        """A draining server is told apart."""
        changed = {**SERVER, 'state': 'draining'}
        self.assertTrue(decode_server(stored(changed)).unwrap().draining)

    @given(st.sampled_from(sorted(SERVER)), JSON)
    def test_any_wrong_member(self, member: str, value: object) -> None:
        """Whatever a member holds, the result is a record or an error."""
        outcome = decode_server(stored({**SERVER, member: value}))
        self.assertThat(outcome, IsInstance((Success, Failure)))

    def test_missing_member(self) -> None:
        """The error names the entry and the path."""
        rest = {name: SERVER[name] for name in SERVER if name != 'address'}
        error = decode_server(stored(rest)).failure()
        self.assertThat(error.source, Equals('servers/i-1'))
        self.assertThat(error.rule, Contains('address'))

    def test_unknown_state(self) -> None:
        """A state that is not known names no server to use."""
        changed = {**SERVER, 'state': 'asleep'}
        self.assertThat(decode_server(stored(changed)), IsInstance(Failure))

    def test_unreadable(self) -> None:
        """Bytes that are no JSON are an error."""
        entry = StoredObject('servers', 'i-1', 1, b'\xff{')
        self.assertThat(decode_server(entry), IsInstance(Failure))


class TestDecodeConfiguration(TestCase):
    """decode_configuration()"""

    def test_sharded_route(self) -> None:
        """Units become seconds, and the route is found by host and path."""
        found = {'version': 7, 'routes': [ROUTE], 'services': [SERVICE]}
        table = decode_configuration(stored(found, 'config', 'main')).unwrap()
        route = table.find('h', '/a/b/c')
        self.assertThat(table.version, Equals(7))
        self.assertThat(route.timeout, Equals(0.6))
        self.assertThat(route.target_latency, Equals(0.071))
        self.assertThat(route.shards, Equals(('s1', 's2')))
        self.assertThat(table.services['s1'].cold_rate, Equals(5.5))
        self.assertThat(table.services['s1'].maximum_connections, Equals(58))

    def test_split_route(self) -> None:
        """A route with weights names its services."""
        split = [
            {'service': 'a', 'weight': 3},
            {'service': 'b', 'weight': 1.5},
        ]
        route = {**ROUTE, 'gather': [], 'traffic_split': split}
        found = {'version': 7, 'routes': [route], 'services': []}
        table = decode_configuration(stored(found, 'config', 'main')).unwrap()
        services = table.find('h', '/a/').services
        self.assertThat(
            [(one.service, one.weight) for one in services],
            Equals([('a', 3), ('b', 1.5)]),
        )

    def test_error_names_path(self) -> None:
        """A route of the wrong shape is named by its path."""
        route = {**ROUTE, 'timeout_ms': 'soon'}
        found = {'version': 7, 'routes': [route], 'services': []}
        outcome = decode_configuration(stored(found, 'config', 'main'))
        self.assertThat(outcome.failure().path, Contains('timeout_ms'))
