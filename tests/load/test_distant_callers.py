"""Scenario: queries over 87 shards for callers that are milliseconds away."""

from itertools import product

import curio
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, IsInstance, LessThan

from daisydyke._requests._model import Merged, Unanswered
from tests.load.backends import (
    FakeBackends,
    ServerBehaviour,
    SimulatedGateway,
    sharded_route,
)
from tests.virtual_time import VirtualClock, run_virtual

SHARDS = 87
QUERIES = 200
PAUSE_S = 0.2
PAUSE_INTERVAL_S = 4.5
TARGET_S = 0.073
TIMEOUT_S = 0.6
QUERY_INTERVAL_S = 0.4
# Round trips of callers near and far; a new connection takes one more.
ROUND_TRIPS_S = (0.002, 0.006, 0.012)
# Time that callers have spent before, such as on asking for addresses.
WAITED_S = (0.0, 0.02, 0.03)
# What this VM and the caller need besides, at least.
OWN_WORK_S = 0.005


async def _send_queries(
    clock: VirtualClock, round_trip_s: float, waited_s: float
) -> tuple[list[float], list[Merged]]:
    backends = FakeBackends(clock)
    backends.add_pausing_shards(SHARDS, PAUSE_INTERVAL_S, PAUSE_S)
    route = sharded_route(
        SHARDS, target_latency=TARGET_S, minimum_shard_share=0.85
    )
    gateway = SimulatedGateway(clock, backends, [route])
    durations = []
    answers = []
    for number in range(QUERIES):
        before_s = waited_s if number % 2 else 0
        answer, seconds = await gateway.send(
            timeout=TIMEOUT_S - before_s,
            round_trip=round_trip_s,
        )
        durations.append(before_s + seconds + round_trip_s + OWN_WORK_S)
        answers.append(answer)
        await curio.sleep(QUERY_INTERVAL_S)
    return durations, answers


class TestDistantCallers(TestCase):
    """An answer leaves early enough to arrive in time."""

    def test_in_time(self) -> None:
        """Over 97 % arrive in time, with over 97 % of all parts."""
        for round_trip_s, waited_s in product(ROUND_TRIPS_S, WAITED_S):
            durations, answers = run_virtual(
                _send_queries, round_trip_s, waited_s
            )
            case = (round_trip_s, waited_s)
            late = sum(seconds > TARGET_S for seconds in durations)
            missing = sum(answer.missing for answer in answers)
            self.assertThat(late, LessThan(QUERIES * 0.03), case)
            self.assertThat(missing, LessThan(QUERIES * SHARDS * 0.03), case)

    def test_new_connection(self) -> None:
        """The time for opening the connection counts as waited."""

        async def _scenario(clock: VirtualClock, connecting_s: float) -> float:
            backends = FakeBackends(clock)
            for shard in range(SHARDS):
                backends.add(f's{shard}', replicas=1)
            backends.behaviours['s0.0'] = ServerBehaviour(service_time=0.3)
            route = sharded_route(SHARDS, target_latency=TARGET_S)
            gateway = SimulatedGateway(clock, backends, [route])
            _, seconds = await gateway.send(connecting=connecting_s)
            return seconds

        slower = run_virtual(_scenario, 0.0) - run_virtual(_scenario, 0.012)
        self.assertThat(round(slower, 4), Equals(0.012))

    def test_deadline(self) -> None:
        """The final answer reaches a distant caller before its deadline."""

        async def _scenario(clock: VirtualClock) -> tuple[object, float]:
            backends = FakeBackends(clock)
            for shard in range(SHARDS):
                backends.add(f's{shard}')
            for server_id in backends.behaviours:
                backends.behaviours[server_id] = ServerBehaviour(
                    service_time=10
                )
            gateway = SimulatedGateway(clock, backends, [sharded_route(SHARDS)])
            return await gateway.send(timeout=TIMEOUT_S, round_trip=0.012)

        answer, seconds = run_virtual(_scenario)
        self.assertThat(answer, IsInstance(Unanswered))
        self.assertThat(seconds + 0.012, LessThan(TIMEOUT_S))

    def test_very_distant(self) -> None:
        """A caller beyond the target waits for parts as others do."""

        async def _scenario(clock: VirtualClock) -> tuple[Merged, float]:
            backends = FakeBackends(clock)
            for shard in range(SHARDS):
                backends.add(f's{shard}')
            route = sharded_route(SHARDS, target_latency=TARGET_S)
            gateway = SimulatedGateway(clock, backends, [route])
            return await gateway.send(round_trip=2 * TARGET_S)

        answer, seconds = run_virtual(_scenario)
        self.assertThat(answer.missing, Equals(0))
        self.assertThat(seconds, GreaterThan(0))
