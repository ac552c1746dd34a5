"""Scenario: queries over 20 shards; on average 1 in 23 servers pauses."""

import curio
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from daisydyke._requests._model import Merged
from tests.load.backends import (
    FakeBackends,
    SimulatedGateway,
    sharded_route,
)
from tests.virtual_time import VirtualClock, run_virtual

SHARDS = 20
QUERIES = 300
PAUSE_S = 0.2
PAUSE_INTERVAL_S = 4.5
TARGET_S = 0.07
QUERY_INTERVAL_S = 0.4


async def _send_queries(
    clock: VirtualClock,
) -> tuple[FakeBackends, list[float], list[Merged]]:
    backends = FakeBackends(clock)
    backends.add_pausing_shards(SHARDS, PAUSE_INTERVAL_S, PAUSE_S)
    gateway = SimulatedGateway(clock, backends, [sharded_route(SHARDS)])
    durations = []
    answers = []
    for _ in range(QUERIES):
        answer, seconds = await gateway.send()
        durations.append(seconds)
        answers.append(answer)
        await curio.sleep(QUERY_INTERVAL_S)
    return backends, durations, answers


class TestPausedShards(TestCase):
    """While a server is paused, the shard's other server answers on time."""

    def test_most_queries_are_complete_on_time(self) -> None:
        """Over 97 % of queries are complete and over 97 % are on time."""
        _, durations, answers = run_virtual(_send_queries)
        complete = sum(answer.missing == 0 for answer in answers)
        late = sum(seconds > TARGET_S for seconds in durations)
        self.assertThat(late, LessThan(QUERIES * 0.03))
        self.assertThat(complete, GreaterThan(QUERIES * 0.97))

    def test_extra_load_within_bound(self) -> None:
        """Extra requests to a shard stay within ratio and share of slack.

        The allowance is 0.2 extra requests per query and, for each window of
        10 s, this VM's share of the slack: 126 requests among 18 VMs.
        """
        backends, _, _ = run_virtual(_send_queries)
        allowed = QUERIES * 0.2 + 126 / 18 * (
            QUERIES * QUERY_INTERVAL_S / 10 + 1
        )
        for shard in range(SHARDS):
            prefix = f's{shard}.'
            sent = sum(
                server_id.startswith(prefix)
                for server_id in backends.submissions
            )
            self.assertThat(sent - QUERIES, LessThan(allowed))

    def test_losers_hold_no_slot(self) -> None:
        """Each exchange that no answer uses is cancelled immediately."""
        backends, _, answers = run_virtual(_send_queries)
        used = sum(len(answer.stamps) for answer in answers)
        unused = len(backends.submissions) - used
        self.assertThat(len(backends.cancelled), Equals(unused))
