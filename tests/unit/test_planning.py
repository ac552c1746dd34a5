"""Tests of query planning: choice of the index version and segments."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength

from daisydyke._domain._model import KeyRange, ServerPhase, ServerState
from daisydyke._domain._planning import make_plan


def warm_server(**indexes: list[tuple[int, int]]) -> ServerState:
    """Return the state of a warm server.

    Parameters:
        indexes: ranges by version; ``v3=[(0, 5)]`` serves the keys from 0
            to 4 in version 3.
    """
    return ServerState(
        'i1',
        ServerPhase.WARM,
        {
            int(name[1:]): tuple(KeyRange(*pair) for pair in pairs)
            for name, pairs in indexes.items()
        },
    )


class TestMakePlan(TestCase):
    """make_plan()"""

    def test_newest_complete_version(self) -> None:
        """The newest of versions with equal coverage is chosen."""
        states = {
            'a': warm_server(v1=[(0, 10)], v2=[(0, 10)]),
            'b': warm_server(v1=[(10, 20)], v2=[(10, 20)]),
        }
        plan = make_plan(states, states, 20)
        self.assertThat(plan.snapshot, Equals(2))
        self.assertThat(plan.segments, HasLength(2))

    def test_coverage_before_age(self) -> None:
        """A newer version that only some servers serve is not chosen."""
        states = {
            'a': warm_server(v1=[(0, 10)], v2=[(0, 10)]),
            'b': warm_server(v1=[(10, 20)]),
        }
        self.assertThat(make_plan(states, states, 20).snapshot, Equals(1))

    def test_unusable_servers_do_not_count(self) -> None:
        """Coverage by servers that are not usable does not count."""
        states = {
            'a': warm_server(v1=[(0, 20)]),
            'b': warm_server(v2=[(0, 20)]),
        }
        self.assertThat(make_plan(states, {'a'}, 20).snapshot, Equals(1))

    def test_split_range_counts_once(self) -> None:
        """Segments stay disjoint if only one replica has split its range."""
        states = {
            'whole': warm_server(v1=[(0, 20)]),
            'low': warm_server(v1=[(0, 10)]),
            'high': warm_server(v1=[(10, 20)]),
        }
        plan = make_plan(states, states, 20)
        self.assertThat(
            [
                (segment.keys.start, segment.keys.end)
                for segment in plan.segments
            ],
            Equals([(0, 10), (10, 20)]),
        )
        self.assertThat(
            [segment.candidates for segment in plan.segments],
            Equals([('low', 'whole'), ('high', 'whole')]),
        )

    def test_gap(self) -> None:
        """A range that no server serves is a gap."""
        states = {'a': warm_server(v1=[(0, 10)])}
        plan = make_plan(states, states, 20)
        self.assertThat(plan.gaps, Equals((KeyRange(10, 20),)))

    def test_excluded_version(self) -> None:
        """An excluded version is not chosen."""
        states = {'a': warm_server(v1=[(0, 20)], v2=[(0, 20)])}
        plan = make_plan(states, states, 20, excluded_versions={2})
        self.assertThat(plan.snapshot, Equals(1))

    def test_nothing_served(self) -> None:
        """Planning fails if no version is served."""
        self.assertRaises(LookupError, make_plan, {}, set(), 20)

    @given(
        st.dictionaries(
            st.sampled_from('abcdef'),
            st.lists(
                st.tuples(st.integers(0, 30), st.integers(0, 30)),
                max_size=4,
            ),
            min_size=1,
        ),
    )
    def test_every_key_once(
        self,
        layout: dict[str, list[tuple[int, int]]],
    ) -> None:
        """Segments and gaps cover every key once, whatever servers report."""
        states = {
            name: warm_server(v1=[pair for pair in pairs if pair[0] < pair[1]])
            for name, pairs in layout.items()
        }
        plan = make_plan(states, states, 24)
        key_ranges = sorted(
            [segment.keys for segment in plan.segments] + list(plan.gaps),
        )
        next_key = 0
        for key_range in key_ranges:
            self.assertThat(key_range.start, Equals(next_key))
            self.assertThat(key_range.end, GreaterThan(next_key))
            next_key = key_range.end
        self.assertThat(next_key, Equals(24))
