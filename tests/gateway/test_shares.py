"""Tests of each VM's share of connections and of extra load."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from daisydyke._backends._extra_load import ExtraLoadLimits
from daisydyke._backends._server import BackendServer
from daisydyke._backends._shares import FleetShares
from daisydyke._requests._model import ServicePolicy
from tests.gateway.world import server_record
from tests.virtual_time import VirtualClock


def make_shares(
    sender_count: int,
    maximum_connections: int = 60,
) -> FleetShares:
    """Return the shares of one VM; only the service ``desk`` has a policy."""
    policy = ServicePolicy('desk', maximum_connections, 0, 0)
    return FleetShares(
        ExtraLoadLimits(0.2, 126, 10),
        lambda service: policy if service == 'desk' else None,
        lambda: sender_count,
        VirtualClock(),
    )


class TestFleetShares(TestCase):
    """FleetShares"""

    @given(st.integers(1, 60), st.integers(60, 900))
    def test_connections_of_all_vms(
        self,
        sender_count: int,
        maximum_connections: int,
    ) -> None:
        """All VMs together stay within the server's connection limit."""
        server = BackendServer(server_record())
        limit = make_shares(
            sender_count,
            maximum_connections,
        ).connection_limit(server)
        self.assertThat(limit, GreaterThan(0))
        self.assertThat(
            limit * sender_count,
            LessThan(maximum_connections + 1),
        )

    def test_unknown_service(self) -> None:
        """A server of a service without a policy gets one connection."""
        server = BackendServer(server_record(service='other'))
        self.assertThat(make_shares(1).connection_limit(server), Equals(1))

    def test_one_budget_per_service(self) -> None:
        """All requests of a service count against the same budget."""
        shares = make_shares(18)
        self.assertThat(shares.extra_load('a'), Is(shares.extra_load('a')))
