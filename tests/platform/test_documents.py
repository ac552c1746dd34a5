"""Tests of the decoding of documents from the platform's store."""

import json

from hypothesis import example, given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import Contains, EndsWith, Equals, IsInstance

from daisydyke._ports import StoredObject
from daisydyke.platform._documents import decode_configuration, decode_server
from daisydyke.platform._servers import encode_request
from tests.platform.test_servers import request

SERVER_DOCUMENT = {
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
ROUTE_DOCUMENT = {
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
SERVICE_DOCUMENT = {
    'name': 's1',
    'health_path': '/health',
    'max_connections': 58,
    'warmup_s': 3.0,
    'warmup_per_s': 5.5,
}
# Of a request to a server, with the empty one.
HEAD_LINES = 7
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=5,
)


def make_stored_object(
    value: object, kind: str = 'servers', name: str = 'i-1'
) -> object:
    """Return a stored object with the given value as its JSON text."""
    return StoredObject(kind, name, 1, json.dumps(value).encode())


class TestDecodeServer(TestCase):
    """decode_server()"""

    def test_units_and_names(self) -> None:
        """Fields are converted to the names and units of ServerRecord."""
        record = decode_server(make_stored_object(SERVER_DOCUMENT)).unwrap()
        self.assertThat(record.server_id, Equals('i-1'))
        self.assertThat(str(record.address), Equals('10.0.0.1:80'))
        self.assertThat(record.domain, Equals('north'))
        self.assertThat(record.slots, Equals(2))
        self.assertThat(record.cold_for, Equals(1.5))
        self.assertThat(record.started_ms, Equals(17))
        self.assertFalse(record.draining)

    def test_draining(self) -> None:
        """The state of a draining server is decoded."""
        document = {**SERVER_DOCUMENT, 'state': 'draining'}
        self.assertTrue(
            decode_server(make_stored_object(document)).unwrap().draining
        )

    @given(st.sampled_from(sorted(SERVER_DOCUMENT)), JSON_VALUES)
    def test_any_value_of_a_member(self, member: str, value: object) -> None:
        """Any JSON value of a member gives a record or a failure."""
        outcome = decode_server(
            make_stored_object({**SERVER_DOCUMENT, member: value})
        )
        self.assertThat(outcome, IsInstance((Success, Failure)))

    @given(st.text(max_size=5))
    @example('i-\u0416')
    @example('i-1\r\nX: y')
    def test_any_name(self, name: str) -> None:
        """A name is refused, or it reaches the server as it is (issue 30)."""
        decoded = decode_server(make_stored_object(SERVER_DOCUMENT, name=name))
        if isinstance(decoded, Failure):
            self.assertThat(decoded.failure().path, Equals('$.meta.name'))
            return
        encode = encode_request(request())
        head = encode(decoded.unwrap().server_id, 1)
        line = f'\r\ndaisydyke-target-instance: {name}\r\n\r\n'
        self.assertThat(head, EndsWith(line.encode('ascii')))
        self.assertThat(head.count(b'\r\n'), Equals(HEAD_LINES))

    def test_missing_member(self) -> None:
        """The error names the stored object and the missing member."""
        incomplete = {
            name: SERVER_DOCUMENT[name]
            for name in SERVER_DOCUMENT
            if name != 'address'
        }
        error = decode_server(make_stored_object(incomplete)).failure()
        self.assertThat(error.source, Equals('servers/i-1'))
        self.assertThat(error.rule, Contains('address'))

    def test_unknown_state(self) -> None:
        """A registration with an unknown state is a failure."""
        document = {**SERVER_DOCUMENT, 'state': 'asleep'}
        self.assertThat(
            decode_server(make_stored_object(document)), IsInstance(Failure)
        )

    def test_invalid_json(self) -> None:
        """Text that is not valid JSON is a failure."""
        stored = StoredObject('servers', 'i-1', 1, b'\xff{')
        self.assertThat(decode_server(stored), IsInstance(Failure))


class TestDecodeConfiguration(TestCase):
    """decode_configuration()"""

    def test_sharded_route(self) -> None:
        """Milliseconds become seconds; a route matches by host and prefix."""
        configuration = {
            'version': 7,
            'routes': [ROUTE_DOCUMENT],
            'services': [SERVICE_DOCUMENT],
        }
        table = decode_configuration(
            make_stored_object(configuration, 'config', 'main')
        ).unwrap()
        route = table.find('h', '/a/b/c')
        self.assertThat(table.version, Equals(7))
        self.assertThat(route.timeout, Equals(0.6))
        self.assertThat(route.target_latency, Equals(0.071))
        self.assertThat(route.shards, Equals(('s1', 's2')))
        self.assertThat(table.services['s1'].cold_rate, Equals(5.5))
        self.assertThat(table.services['s1'].maximum_connections, Equals(58))

    def test_split_route(self) -> None:
        """A route with a traffic split has weighted services."""
        weights = [
            {'service': 'a', 'weight': 3},
            {'service': 'b', 'weight': 1.5},
        ]
        route = {**ROUTE_DOCUMENT, 'gather': [], 'traffic_split': weights}
        configuration = {'version': 7, 'routes': [route], 'services': []}
        table = decode_configuration(
            make_stored_object(configuration, 'config', 'main')
        ).unwrap()
        services = table.find('h', '/a/').services
        self.assertThat(
            [(service.service, service.weight) for service in services],
            Equals([('a', 3), ('b', 1.5)]),
        )

    def test_error_path(self) -> None:
        """The error names the JSON path of a member of the wrong type."""
        route = {**ROUTE_DOCUMENT, 'timeout_ms': 'soon'}
        configuration = {'version': 7, 'routes': [route], 'services': []}
        outcome = decode_configuration(
            make_stored_object(configuration, 'config', 'main')
        )
        self.assertThat(outcome.failure().path, Contains('timeout_ms'))

    def test_route_without_service(self) -> None:
        """A route that no service can be chosen for is refused (issue 30)."""
        self.check_refused('$.routes[0]', gather=[])
        self.check_refused(
            '$.routes[0].traffic_split', gather=[], traffic_split=split_of(0, 0)
        )
        self.check_refused(
            '$.routes[0].traffic_split[1].weight',
            gather=[],
            traffic_split=split_of(1, 1e308),
        )

    def test_impossible_shard_share(self) -> None:
        """A share of the shards is from 0 to 1 (issue 30)."""
        for share in (1.5, 1e308, -1, -1e308):
            self.check_refused(
                '$.routes[0].min_shard_share', min_shard_share=share
            )

    def test_rate_without_bound(self) -> None:
        """A rate that cannot be calculated with is refused (issue 30)."""
        service = {**SERVICE_DOCUMENT, 'warmup_per_s': 1e308}
        error = decode_routes([], [service]).failure()
        self.assertThat(error.path, Equals('$.services[0].warmup_per_s'))

    def check_refused(self, path: str, **changes: object) -> None:
        """Check that a route with these changes is refused at a path."""
        error = decode_routes([{**ROUTE_DOCUMENT, **changes}], []).failure()
        self.assertThat(error.source, Equals('config/main'))
        self.assertThat(error.path, Equals(path))


def split_of(*weights: float) -> list[dict[str, object]]:
    """Return a traffic split with these weights."""
    return [{'service': 's', 'weight': weight} for weight in weights]


def decode_routes(routes: list[object], services: list[object]) -> Result:
    """Return the outcome of decoding a configuration."""
    document = {'version': 7, 'routes': routes, 'services': services}
    return decode_configuration(make_stored_object(document, 'config', 'main'))
