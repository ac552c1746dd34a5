"""Requests under any configuration that decodes.

A value that no request can be served with ended them without an answer (LOST).
"""

from __future__ import annotations

import json
from typing import Any

from hypothesis import example, given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success
from testtools import TestCase
from testtools.matchers import IsInstance, LessThan

from daisydyke._adapters._http_client import HttpResponse
from daisydyke._backends._cold_admission import ColdAdmission, ColdLimits
from daisydyke._ports import StoredObject
from daisydyke._requests._model import CallerAnswer
from daisydyke._requests._routes import RoutingTable
from daisydyke.exceptions import InvalidDocumentError
from daisydyke.platform._callers import _encode_answer
from daisydyke.platform._documents import decode_configuration
from tests.load.backends import FakeBackends, SimulatedGateway
from tests.virtual_time import VirtualClock, run_virtual

_TIMEOUT_S = 0.6
_TOLERANCE_S = 0.1
_SERVICES = ('s0', 's1', 's2')
_NUMBERS = st.sampled_from(
    (0, 1, 2, -1, 0.5, 1e-9, 2**53, -(2**53), 1e18, 1e305, 1e308, -1e308)
)
_SERVICE_NAMES = st.sampled_from((*_SERVICES, '', 'gone'))
_SPLITS = st.lists(
    st.fixed_dictionaries({'service': _SERVICE_NAMES, 'weight': _NUMBERS}),
    max_size=3,
)
_ROUTES = st.fixed_dictionaries(
    {
        'name': st.just('r'),
        'host': st.just('h'),
        'path_prefix': st.just('/'),
        'route_type': st.sampled_from(('idempotent', 'non_idempotent')),
        'timeout_ms': _NUMBERS | st.just(600),
        'target_latency_ms': _NUMBERS | st.just(70),
    },
    optional={
        'priority': _NUMBERS,
        'max_attempts': _NUMBERS,
        'service': _SERVICE_NAMES | st.none(),
        'traffic_split': _SPLITS,
        'gather': st.lists(_SERVICE_NAMES, max_size=3),
        'top_k': _NUMBERS,
        'min_shard_share': _NUMBERS,
    },
)
_POLICIES = st.fixed_dictionaries(
    {'name': st.sampled_from(_SERVICES)},
    optional={
        'max_connections': _NUMBERS,
        'warmup_s': _NUMBERS,
        'warmup_per_s': _NUMBERS,
    },
)
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/',
    'route_type': 'idempotent',
    'timeout_ms': 600,
    'target_latency_ms': 70,
}


def split_of(*weights: float) -> list[dict[str, Any]]:
    """Return a traffic split with these weights."""
    return [
        {'service': f's{number}', 'weight': weight}
        for number, weight in enumerate(weights)
    ]


def decode(
    route: dict[str, Any], *policies: dict[str, Any]
) -> Result[RoutingTable, InvalidDocumentError]:
    """Return the outcome of decoding a configuration with one route."""
    document = {'version': 1, 'routes': [route], 'services': policies}
    text = json.dumps(document).encode()
    return decode_configuration(StoredObject('config', 'main', 1, text))


async def ask(
    clock: VirtualClock, table: RoutingTable
) -> tuple[CallerAnswer, float]:
    """Return the answer to a request, and after how many seconds it came.

    All servers are cold.
    """
    backends = FakeBackends(clock)
    for service in _SERVICES:
        backends.add(service)
        for server in backends.servers[service]:
            server.cold_until = clock.now + 1
    gateway = SimulatedGateway(clock, backends, [])
    gateway.table = table
    admission = ColdAdmission(
        'a', ColdLimits(3, 3), table.services.get, lambda: ['a'], clock
    )
    gateway.admit = admission.admit
    return await gateway.send(timeout=_TIMEOUT_S)


class TestConfigurations(TestCase):
    """decode_configuration() and RequestService"""

    @given(_ROUTES)
    @example(ROUTE)
    @example({**ROUTE, 'traffic_split': split_of(0, 0)})
    @example({**ROUTE, 'traffic_split': split_of(1e308, 1e308)})
    @example({**ROUTE, 'gather': ['s0', 's1'], 'min_shard_share': -1e308})
    def test_any_route(self, route: dict[str, Any]) -> None:
        """A route is refused, or its requests get an answer in time."""
        self.check(decode(route))

    @given(st.lists(_POLICIES, max_size=2))
    @example([{'name': 's0', 'warmup_per_s': 1e308}])
    def test_any_policies(self, policies: list[dict[str, Any]]) -> None:
        """A service is refused, or its requests get an answer in time."""
        self.check(decode({**ROUTE, 'service': 's0'}, *policies))

    def test_numbers_at_the_edge(self) -> None:
        """Numbers that requests can be served with are not refused."""
        for changes in (
            {'traffic_split': split_of(0)},
            {'traffic_split': split_of(0, 1e-9)},
            {'gather': ['s0'], 'min_shard_share': 1, 'top_k': 0},
            {'service': 's0', 'timeout_ms': 0, 'target_latency_ms': 1e18},
        ):
            decoded = decode({**ROUTE, **changes})
            self.assertThat(decoded, IsInstance(Success))

    def check(
        self, decoded: Result[RoutingTable, InvalidDocumentError]
    ) -> None:
        """Check that a configuration is refused, or requests are answered."""
        if isinstance(decoded, Failure):
            return
        answer, elapsed = run_virtual(ask, decoded.unwrap())
        self.assertThat(_encode_answer(answer), IsInstance(HttpResponse))
        self.assertThat(elapsed, LessThan(_TIMEOUT_S + _TOLERANCE_S))
