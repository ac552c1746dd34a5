"""Tests of the shares of VMs in what servers accept."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from daisydyke._backends._extra_load import ExtraLoadBounds
from daisydyke._backends._server import BackendServer
from daisydyke._backends._shares import FleetShares
from daisydyke._requests._model import ServicePolicy
from tests.gateway.world import server_record
from tests.virtual_time import VirtualClock


def shares(senders: int, connections: int = 60) -> FleetShares:
    """Return the shares of one of several VMs."""
    policy = ServicePolicy('desk', connections, 0, 0)
    return FleetShares(
        ExtraLoadBounds(0.2, 126, 10),
        lambda service: policy if service == 'desk' else None,
        lambda: senders,
        VirtualClock(),
    )


class TestFleetShares(TestCase):
    """FleetShares"""

    @given(st.integers(1, 60), st.integers(60, 900))
    def test_connections(self, senders: int, accepted: int) -> None:
        """All VMs together stay within what a server accepts."""
        server = BackendServer(server_record())
        limit = shares(senders, accepted).connection_limit(server)
        self.assertThat(limit, GreaterThan(0))
        self.assertThat(limit * senders, LessThan(accepted + 1))

    def test_unknown_service(self) -> None:
        """A server of a service without a policy gets one connection."""
        server = BackendServer(server_record(service='other'))
        self.assertThat(shares(1).connection_limit(server), Equals(1))

    def test_extra_load_is_kept(self) -> None:
        """Every request of a service counts against the same bound."""
        own = shares(18)
        self.assertThat(own.extra_load('a'), Is(own.extra_load('a')))
