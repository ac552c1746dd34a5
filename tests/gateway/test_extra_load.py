"""Tests of the bound on extra load."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._backends._extra_load import ExtraLoadBudget, ExtraLoadLimits
from tests.virtual_time import VirtualClock

BOUNDS = ExtraLoadLimits(ratio=0.2, slack=30, window=10)


class TestExtraLoad(TestCase):
    """ExtraLoad"""

    def test_retries_after_hedges(self) -> None:
        """What hedges may not use is left for retries."""
        load = ExtraLoadBudget(BOUNDS, VirtualClock(), lambda: 1)
        while load.try_acquire_hedge():
            continue
        self.assertTrue(load.try_acquire_retry())

    def test_own_part_of_slack(self) -> None:
        """Ten VMs that all use their part stay within the slack."""
        loads = [
            ExtraLoadBudget(BOUNDS, VirtualClock(), lambda: 0.1)
            for _ in range(10)
        ]
        taken = sum(
            load.try_acquire_retry() for load in loads for _ in range(30)
        )
        self.assertThat(taken, LessThan(BOUNDS.slack + 1))

    @given(
        st.lists(
            st.tuples(st.floats(0, 3), st.integers(0, 20)),
            max_size=60,
        ),
    )
    def test_any_window(self, steps: list[tuple[float, int]]) -> None:
        """In no window does extra load exceed ratio and slack."""
        clock = VirtualClock()
        load = ExtraLoadBudget(BOUNDS, clock, lambda: 1)
        requests: list[float] = []
        extra: list[float] = []
        for pause, count in steps:
            clock.now += pause
            for _ in range(count):
                load.record_request()
                requests.append(clock.now)
                if load.try_acquire_retry():
                    extra.append(clock.now)
        for end in extra:
            in_window = [one for one in extra if end - 10 <= one <= end]
            asked = [one for one in requests if end - 10 <= one <= end]
            allowed = BOUNDS.ratio * len(asked) + BOUNDS.slack
            self.assertThat(len(in_window), LessThan(allowed + 1))

    def test_window_passes(self) -> None:
        """Extra requests are forgotten after the window."""
        clock = VirtualClock()
        load = ExtraLoadBudget(BOUNDS, clock, lambda: 1)
        while load.try_acquire_retry():
            continue
        clock.now += 13
        self.assertThat(load.try_acquire_retry(), Equals(True))
