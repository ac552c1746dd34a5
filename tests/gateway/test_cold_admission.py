"""Tests of what a cold server gets from all VMs together."""

from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from daisydyke._backends._cold_admission import ColdAdmission, ColdBounds
from daisydyke._backends._server import BackendServer
from daisydyke._requests._model import ServicePolicy
from tests.gateway.world import server_record
from tests.virtual_time import VirtualClock

BOUNDS = ColdBounds(excess=1.5, slack=5)
STEP_S = 0.01
SECOND = 1.0


def admitted(
    clock: VirtualClock,
    views: dict[str, list[str]],
    rate: float,
    seconds: float,
) -> list[float]:
    """Return when a cold server was sent to, if all VMs always want to.

    Parameters:
        views: the members that each VM knows.
    """
    server = BackendServer(server_record(), cold_until=clock.now + seconds)
    policy = ServicePolicy('desk', 10, rate, seconds)
    admissions = [
        ColdAdmission(
            vm,
            BOUNDS,
            partial(_same, policy),
            partial(list, members),
            clock,
        )
        for vm, members in views.items()
    ]
    sent = []
    for _ in range(int(seconds / STEP_S)):
        sent += [clock.now for one in admissions if one.admit(server)]
        clock.now += STEP_S
    return sent


def _same(policy: ServicePolicy, service: str) -> ServicePolicy:
    return policy


def most_in_a_second(sent: list[float]) -> int:
    """Return the most requests in any span of a second."""
    return max(
        sum(start <= one < start + SECOND for one in sent) for start in sent
    )


class TestColdAdmission(TestCase):
    """ColdAdmission"""

    # The time that matters here is virtual.
    @settings(deadline=None)
    @given(st.integers(1, 30), st.floats(0.5, 30))
    def test_within_bound(self, vms: int, rate: float) -> None:
        """All VMs together stay within the bound in any second."""
        names = [f'vm{number}' for number in range(vms)]
        views = {name: names for name in names}
        sent = admitted(VirtualClock(), views, rate, 3)
        allowed = rate * BOUNDS.excess + BOUNDS.slack
        self.assertThat(most_in_a_second(sent), LessThan(allowed + 1))

    # The time that matters here is virtual.
    @settings(deadline=None)
    @given(st.integers(2, 30), st.floats(0.5, 30))
    def test_two_views(self, vms: int, rate: float) -> None:
        """Two halves that do not see each other stay within it too."""
        names = [f'vm{number}' for number in range(vms)]
        halves = names[: vms // 2], names[vms // 2 :]
        views = {name: half for half in halves for name in half}
        sent = admitted(VirtualClock(), views, rate, 3)
        allowed = rate * BOUNDS.excess * 2 + BOUNDS.slack
        self.assertThat(most_in_a_second(sent), LessThan(allowed + 1))

    def test_some_vm_sends(self) -> None:
        """A cold server is not starved."""
        names = ['a', 'b', 'c']
        views = {name: names for name in names}
        sent = admitted(VirtualClock(), views, 5, 3)
        self.assertThat(len(sent), GreaterThan(5))

    def test_warm_is_not_limited(self) -> None:
        """A warm server is sent to by everybody."""
        clock = VirtualClock()
        admission = ColdAdmission(
            'a',
            BOUNDS,
            lambda service: ServicePolicy('desk', 10, 1, 3),
            lambda: ['b'],
            clock,
        )
        server = BackendServer(server_record())
        self.assertThat(
            {admission.admit(server) for _ in range(9)},
            Equals({True}),
        )
