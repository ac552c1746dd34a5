"""Pattern: every server of one shard is down while queries go on."""

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan

from daisydyke._requests._model import Merged, Refused, Unanswered
from tests.load.backends import (
    Backends,
    Behaviour,
    Gateway,
    lost,
    plain_route,
    refusal,
    sharded_route,
)
from tests.virtual_time import VirtualClock, run_virtual

SHARDS = 20
TARGET_S = 0.07
NEVER_S = 100.0


async def _with_dead(
    clock: VirtualClock,
    dead: int,
    behaviour: Behaviour,
    others: Behaviour | None = None,
) -> tuple[object, float]:
    backends = Backends(clock)
    for shard in range(SHARDS):
        backends.add(f's{shard}')
    for server_id in backends.behaviours:
        backends.behaviours[server_id] = others or Behaviour()
    for shard in range(dead):
        for server in backends.servers[f's{shard}']:
            backends.behaviours[server.server_id] = behaviour
    gateway = Gateway(clock, backends, [sharded_route(SHARDS)])
    return await gateway.ask()


async def _without_servers(clock: VirtualClock) -> tuple[object, float]:
    backends = Backends(clock)
    backends.add('desk', replicas=0)
    gateway = Gateway(clock, backends, [plain_route()])
    return await gateway.ask(timeout=6)


class TestAllServersOfAShardDown(TestCase):
    """A shard that cannot answer costs its part, not the answer."""

    def test_silent_shard_ends_at_target_latency(self) -> None:
        """An answer with a part missing goes out before it is late."""
        silent = Behaviour(work=NEVER_S)
        answer, seconds = run_virtual(_with_dead, 1, silent)
        self.assertThat(answer, IsInstance(Merged))
        self.assertThat(answer.missing, Equals(1))
        self.assertThat(seconds, LessThan(TARGET_S))

    def test_broken_shard_does_not_delay(self) -> None:
        """A shard whose servers all fail is given up at once."""
        answer, seconds = run_virtual(_with_dead, 1, Behaviour(fails=lost))
        self.assertThat(answer.missing, Equals(1))
        self.assertThat(seconds, LessThan(TARGET_S / 2))

    def test_coverage_is_honest(self) -> None:
        """The stamps name the parts that are in, and no others."""
        answer, _ = run_virtual(_with_dead, 3, Behaviour(fails=lost))
        self.assertThat(len(answer.stamps), Equals(SHARDS - 3))
        self.assertThat(answer.missing, Equals(3))

    def test_too_few_parts_are_no_answer(self) -> None:
        """Below the least share there is no success."""
        answer, _ = run_virtual(_with_dead, 6, Behaviour(fails=lost))
        self.assertThat(answer, IsInstance(Unanswered))

    def test_hopeless_ends_at_once(self) -> None:
        """What can no longer reach the least share does not wait."""
        silent = Behaviour(work=NEVER_S)
        broken = Behaviour(fails=lost)
        answer, seconds = run_virtual(_with_dead, 6, broken, silent)
        self.assertThat(answer, IsInstance(Unanswered))
        self.assertThat(answer.reason, Equals('closed'))
        self.assertThat(seconds, LessThan(TARGET_S / 2))

    def test_refused_by_all_is_refused(self) -> None:
        """Where no server ran anything, the caller is told so."""
        behaviour = Behaviour(fails=lambda server: refusal())
        answer, seconds = run_virtual(_with_dead, SHARDS, behaviour)
        self.assertThat(answer, IsInstance(Refused))

    def test_no_server_is_refused_at_once(self) -> None:
        """Without a server, a request is refused without delay."""
        answer, seconds = run_virtual(_without_servers)
        self.assertThat(answer, IsInstance(Refused))
        self.assertThat(seconds, Equals(0))

    def test_time_to_come_back(self) -> None:
        """A full service is soon free, one without servers is not."""
        shedding = Behaviour(fails=lambda server: refusal())
        full, _ = run_virtual(_with_dead, SHARDS, shedding)
        empty, _ = run_virtual(_without_servers)
        self.assertThat(full.retry_after, LessThan(empty.retry_after))
