"""Scenario: a plain route with slow requests, of which each VM gets few."""

import curio
from testtools import TestCase
from testtools.matchers import LessThan

from tests.load.backends import (
    FakeBackends,
    ServerBehaviour,
    SimulatedGateway,
    plain_route,
)
from tests.virtual_time import VirtualClock, run_virtual

REQUESTS = 25
SERVERS = 9
SERVICE_TIMES_S = (0.09, 0.12, 0.15, 0.18, 0.22, 0.3)
TARGET_S = 0.66
REQUEST_INTERVAL_S = 2.0


async def _send_requests(
    clock: VirtualClock, silent_servers: int
) -> tuple[FakeBackends, list[float]]:
    backends = FakeBackends(clock)
    backends.add('desk', replicas=SERVERS)
    for number, server_id in enumerate(backends.behaviours):
        service_time = SERVICE_TIMES_S[number % len(SERVICE_TIMES_S)]
        if number < silent_servers:
            service_time = 10.0
        backends.behaviours[server_id] = ServerBehaviour(service_time)
    route = plain_route(target_latency=TARGET_S)
    gateway = SimulatedGateway(clock, backends, [route])
    durations = []
    for _ in range(REQUESTS):
        _, seconds = await gateway.send(timeout=6)
        durations.append(seconds)
        await curio.sleep(REQUEST_INTERVAL_S)
    return backends, durations


class TestRareSlowRequests(TestCase):
    """Servers are spared hedges that no caller needs."""

    def test_few_hedges(self) -> None:
        """While all servers are well, under 1 in 10 requests are hedged."""
        backends, _ = run_virtual(_send_requests, 0)
        hedged = len(backends.submissions) - REQUESTS
        self.assertThat(hedged, LessThan(REQUESTS * 0.1))

    def test_silent_server(self) -> None:
        """With a silent server, all answers still come in time."""
        _, durations = run_virtual(_send_requests, 1)
        self.assertThat(max(durations), LessThan(TARGET_S))
