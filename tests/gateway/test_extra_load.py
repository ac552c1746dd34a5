"""Tests of the budget for hedges and retries."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._backends._extra_load import ExtraLoadBudget, ExtraLoadLimits
from tests.virtual_time import VirtualClock

LIMITS = ExtraLoadLimits(ratio=0.2, slack=30, window_s=10)


class TestExtraLoad(TestCase):
    """ExtraLoadBudget"""

    def test_budget_reserved_for_retries(self) -> None:
        """Hedges leave a part of the budget to retries."""
        budget = ExtraLoadBudget(LIMITS, VirtualClock(), lambda: 1)
        while budget.try_acquire_hedge():
            continue
        self.assertTrue(budget.try_acquire_retry())

    def test_own_share_of_slack(self) -> None:
        """Ten VMs that all use up their shares stay within the slack."""
        budgets = [
            ExtraLoadBudget(LIMITS, VirtualClock(), lambda: 0.1)
            for _ in range(10)
        ]
        acquired = sum(
            budget.try_acquire_retry() for budget in budgets for _ in range(30)
        )
        self.assertThat(acquired, LessThan(LIMITS.slack + 1))

    @given(
        st.lists(
            st.tuples(st.floats(0, 3), st.integers(0, 20)),
            max_size=60,
        ),
    )
    def test_any_window(self, steps: list[tuple[float, int]]) -> None:
        """Extra requests stay within ratio and slack in every window."""
        clock = VirtualClock()
        budget = ExtraLoadBudget(LIMITS, clock, lambda: 1)
        requests: list[float] = []
        extra: list[float] = []
        for pause, count in steps:
            clock.now += pause
            for _ in range(count):
                budget.record_request()
                requests.append(clock.now)
                if budget.try_acquire_retry():
                    extra.append(clock.now)
        for end in extra:
            extra_in_window = [
                time for time in extra if end - 10 <= time <= end
            ]
            requests_in_window = [
                time for time in requests if end - 10 <= time <= end
            ]
            allowed = LIMITS.ratio * len(requests_in_window) + LIMITS.slack
            self.assertThat(len(extra_in_window), LessThan(allowed + 1))

    def test_window_expires(self) -> None:
        """Extra requests no longer count after the window."""
        clock = VirtualClock()
        budget = ExtraLoadBudget(LIMITS, clock, lambda: 1)
        while budget.try_acquire_retry():
            continue
        clock.now += 13
        self.assertThat(budget.try_acquire_retry(), Equals(True))
