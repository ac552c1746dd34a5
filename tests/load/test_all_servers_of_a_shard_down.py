"""Scenario: all servers of some shards fail while queries arrive."""

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan

from daisydyke._requests._model import Merged, Refused, Unanswered
from tests.load.backends import (
    FakeBackends,
    ServerBehaviour,
    SimulatedGateway,
    closed_failure,
    not_run_reply,
    plain_route,
    sharded_route,
)
from tests.virtual_time import VirtualClock, run_virtual

SHARDS = 20
TARGET_S = 0.07
NO_ANSWER_S = 100.0


async def _query_with_failing_shards(
    clock: VirtualClock,
    failing: int,
    behaviour: ServerBehaviour,
    others: ServerBehaviour | None = None,
) -> tuple[object, float]:
    backends = FakeBackends(clock)
    for shard in range(SHARDS):
        backends.add(f's{shard}')
    for server_id in backends.behaviours:
        backends.behaviours[server_id] = others or ServerBehaviour()
    for shard in range(failing):
        for server in backends.servers[f's{shard}']:
            backends.behaviours[server.server_id] = behaviour
    gateway = SimulatedGateway(clock, backends, [sharded_route(SHARDS)])
    return await gateway.send()


async def _request_without_servers(clock: VirtualClock) -> tuple[object, float]:
    backends = FakeBackends(clock)
    backends.add('desk', replicas=0)
    gateway = SimulatedGateway(clock, backends, [plain_route()])
    return await gateway.send(timeout=6)


class TestAllServersOfAShardDown(TestCase):
    """A failing shard is left out of the answer without delaying it."""

    def test_silent_shard_is_left_out_within_target_latency(self) -> None:
        """The answer without a silent shard keeps the target latency."""
        silent = ServerBehaviour(service_time=NO_ANSWER_S)
        answer, seconds = run_virtual(_query_with_failing_shards, 1, silent)
        self.assertThat(answer, IsInstance(Merged))
        self.assertThat(answer.missing, Equals(1))
        self.assertThat(seconds, LessThan(TARGET_S))

    def test_failing_shard_does_not_delay(self) -> None:
        """A shard whose servers all fail is left out immediately."""
        answer, seconds = run_virtual(
            _query_with_failing_shards,
            1,
            ServerBehaviour(override=closed_failure),
        )
        self.assertThat(answer.missing, Equals(1))
        self.assertThat(seconds, LessThan(TARGET_S / 2))

    def test_coverage_is_honest(self) -> None:
        """The answer has a stamp for each included part and no other."""
        answer, _ = run_virtual(
            _query_with_failing_shards,
            3,
            ServerBehaviour(override=closed_failure),
        )
        self.assertThat(len(answer.stamps), Equals(SHARDS - 3))
        self.assertThat(answer.missing, Equals(3))

    def test_too_few_parts_are_unanswered(self) -> None:
        """An answer below the minimum shard share is not a success."""
        answer, _ = run_virtual(
            _query_with_failing_shards,
            6,
            ServerBehaviour(override=closed_failure),
        )
        self.assertThat(answer, IsInstance(Unanswered))

    def test_unreachable_minimum_share_ends_at_once(self) -> None:
        """A query that cannot reach the minimum share fails immediately."""
        silent = ServerBehaviour(service_time=NO_ANSWER_S)
        broken = ServerBehaviour(override=closed_failure)
        answer, seconds = run_virtual(
            _query_with_failing_shards, 6, broken, silent
        )
        self.assertThat(answer, IsInstance(Unanswered))
        self.assertThat(answer.reason, Equals('closed'))
        self.assertThat(seconds, LessThan(TARGET_S / 2))

    def test_refused_by_all_servers(self) -> None:
        """A query that ran on no server is refused."""
        behaviour = ServerBehaviour(override=lambda server: not_run_reply())
        answer, seconds = run_virtual(
            _query_with_failing_shards, SHARDS, behaviour
        )
        self.assertThat(answer, IsInstance(Refused))

    def test_no_server_is_refused_at_once(self) -> None:
        """A request to a service without servers is refused immediately."""
        answer, seconds = run_virtual(_request_without_servers)
        self.assertThat(answer, IsInstance(Refused))
        self.assertThat(seconds, Equals(0))

    def test_retry_after_is_longer_without_servers(self) -> None:
        """Retry-after is shorter for overload than for a lack of servers."""
        shedding = ServerBehaviour(override=lambda server: not_run_reply())
        overloaded, _ = run_virtual(
            _query_with_failing_shards, SHARDS, shedding
        )
        without_servers, _ = run_virtual(_request_without_servers)
        self.assertThat(
            overloaded.retry_after, LessThan(without_servers.retry_after)
        )
