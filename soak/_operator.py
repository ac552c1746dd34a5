"""Operator who orders a roll-out beside the faults of a soak."""

from __future__ import annotations

import random
import time

import curio
import msgspec

from soak._rollouts import (
    COMPLETED,
    ROLLBACK_S,
    TARGET_VERSION,
    PlayedRollout,
    Quality,
)
from soak._world import SoakCluster
from stand_ins.platform_server import PlatformServerStandIn

_KIND = 'rollouts'
_START_RANGE_S = (0.5, 3.0)
_DURATION_S = 8.0
_POLL_S = 0.02
# The new servers stay for some seconds after a roll-back.
_ROLLBACK_MARGIN_S = 4.0
# Ports of the servers that are started later.
_FIRST_NUMBER = 200
_FAIL_RANGE = (0.4, 1.0)
_SLOW_RANGE = (4.0, 10.0)


class RolloutOperator:
    """Starts servers of another version and orders a roll-out to it.

    The draws are its own, so that a seed's faults are the same without it.
    """

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        """Initialize the random draws from a seed."""
        self._cluster = cluster
        self._random = random.Random(f'rollout {seed}')  # noqa: S311

    async def run(self) -> None:
        """Play one roll-out and what follows from its final state."""
        await curio.sleep(self._random.uniform(*_START_RANGE_S))
        cluster = self._cluster
        shards = cluster.layout.shard_sets[0]
        service = self._random.choice(('p0', 'p0', 'p0', shards[0]))
        rollout = PlayedRollout(
            service,
            self._random.choice(list(Quality)),
            time.monotonic(),
            _DURATION_S,
        )
        await self._order(rollout)
        while not rollout.final_state:
            await curio.sleep(_POLL_S)
        if rollout.final_state == COMPLETED:
            await self._take_old_servers_away(service)
        else:
            await curio.sleep(ROLLBACK_S + _ROLLBACK_MARGIN_S)
            for server in cluster.target_servers:
                cluster.register(server, 'draining')

    async def _order(self, rollout: PlayedRollout) -> None:
        cluster = self._cluster
        for old in self._old_servers(rollout.service):
            await self._start_server(old, rollout)
        cluster.store.watch_statuses(self._record_status)
        rollout.ordered_at = time.monotonic()
        cluster.rollout = rollout
        for server in cluster.target_servers:
            cluster.register(server, 'ready')
        order = {
            'service': rollout.service,
            'target_version': TARGET_VERSION,
            'duration_s': rollout.duration_s,
        }
        cluster.store.put(_KIND, rollout.service, order)

    async def _start_server(
        self, old: PlatformServerStandIn, rollout: PlayedRollout
    ) -> None:
        servers = self._cluster.target_servers
        server = await self._cluster.start_server(
            f'{old.server_id}-new', old.service, _FIRST_NUMBER + len(servers)
        )
        server.version = TARGET_VERSION
        server.born = old.born + 1
        server.bad_answers = rollout.bad_answers
        server.service_time_s = old.service_time_s
        if rollout.quality is Quality.FAILING:
            server.fail_share = self._random.uniform(*_FAIL_RANGE)
        elif rollout.quality is Quality.SLOW:
            server.slow_factor = self._random.uniform(*_SLOW_RANGE)
        servers.append(server)

    def _record_status(self, kind: str, name: str, status: object) -> None:
        rollout = self._cluster.rollout
        if kind != _KIND or rollout is None:
            return
        written = msgspec.convert(status, dict[str, str])
        state = written['state']
        if written['target_version'] != TARGET_VERSION:
            state = f'{state} of another version'
        rollout.states.append((time.monotonic(), state))

    async def _take_old_servers_away(self, service: str) -> None:
        """End the old servers; faults meet the new ones from now on."""
        cluster = self._cluster
        for old, new in zip(
            self._old_servers(service), cluster.target_servers, strict=True
        ):
            old.stopped = True
            cluster.store.delete('servers', old.server_id)
            await cluster.proxies[old.server_id].reset()
            cluster.servers[cluster.servers.index(old)] = new
        cluster.target_servers.clear()

    def _old_servers(self, service: str) -> list[PlatformServerStandIn]:
        return [
            server
            for server in self._cluster.servers
            if server.service == service
        ]
