"""Faults against the ownership of a server's slots, in virtual time.

Whatever happens, what all entry VMs together may use stays within the
server's limit, and so does what reaches the server.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import curio
from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan, Not

from daisydyke._domain._model import floor_slots
from tests.nodes import (
    SLOTS,
    Node,
    SimulatedCluster,
    holder_of,
    owner_of,
    start_nodes,
    wait_until,
    watch_limit,
)
from tests.virtual_time import VirtualClock, run_virtual

_FLOOR = floor_slots(SLOTS)


def others(nodes: list[Node], node: Node) -> list[Node]:
    """Return all nodes but one."""
    return [one for one in nodes if one is not node]


async def crash_owner(nodes: list[Node]) -> list[Node]:
    """Crash the owner; returns the survivors."""
    owner = holder_of(nodes)
    if owner is None:
        return nodes
    await owner.crash()
    return others(nodes, owner)


async def fault_none(nodes: list[Node]) -> list[Node]:
    """Change nothing."""
    return nodes


async def fault_outage(nodes: list[Node]) -> list[Node]:
    """Take the platform from every node."""
    for node in nodes:
        node.client.down = True
    return nodes


async def fault_cut_from_platform(nodes: list[Node]) -> list[Node]:
    """Take the platform from the owner alone."""
    owner = holder_of(nodes)
    if owner is not None:
        owner.client.down = True
    return nodes


async def fault_isolation(nodes: list[Node]) -> list[Node]:
    """Cut the owner from platform and members; it runs on."""
    owner = holder_of(nodes)
    if owner is not None:
        owner.client.down = True
        owner.cluster.network.isolate(owner.host)
    return nodes


async def fault_lost_replies(nodes: list[Node]) -> list[Node]:
    """Let every write take effect and lose its reply."""
    for node in nodes:
        node.client.loses_replies = True
    return nodes


async def fault_stale_watch(nodes: list[Node]) -> list[Node]:
    """Isolate the owner, and let the others see no change by watch."""
    for node in nodes:
        node.client.dead_watch = True
    return await fault_isolation(nodes)


async def fault_join(nodes: list[Node]) -> list[Node]:
    """Start two more nodes."""
    cluster = nodes[0].cluster
    taken = len(cluster.network.queues)
    added = [Node(cluster, number) for number in (taken, taken + 1)]
    for node in added:
        await node.start()
    return nodes + added


async def fault_restart(nodes: list[Node]) -> list[Node]:
    """Restart the owner's process on its VM."""
    owner = holder_of(nodes)
    if owner is None:
        return nodes
    cluster = owner.cluster
    survivors = await crash_owner(nodes)
    cluster.network.cut.clear()
    again = Node(cluster, owner.number, owner.start_id + 1)
    await again.start()
    return [*survivors, again]


async def fault_leave(nodes: list[Node]) -> list[Node]:
    """Let the owner leave gracefully."""
    owner = holder_of(nodes)
    if owner is not None:
        owner.membership.leave()
        await curio.sleep(2)
        await curio.spawn(owner.ownership.hand_over_all(), daemon=True)
    return nodes


Fault = Callable[[list[Node]], Awaitable[list[Node]]]

FAULTS: Mapping[str, Fault] = MappingProxyType(
    {
        'none': fault_none,
        'crash': crash_owner,
        'outage': fault_outage,
        'cut from platform': fault_cut_from_platform,
        'isolation': fault_isolation,
        'lost replies': fault_lost_replies,
        'stale watch and isolation': fault_stale_watch,
        'join': fault_join,
        'restart': fault_restart,
        'leave': fault_leave,
    }
)


class TestLimits(TestCase):
    """The sum of allowances under faults, alone and in pairs"""

    def test_fault_table(self) -> None:
        """No fault lifts the sum above the limit."""
        for first in FAULTS:
            self._check(first, 'none')

    def test_pairs_of_faults(self) -> None:
        """No fault on top of another lifts the sum above the limit."""
        for first in FAULTS:
            for second in FAULTS:
                self._check(first, second)

    def _check(self, *faults: str) -> None:
        async def scenario(clock: VirtualClock) -> tuple[int, int]:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            everyone = list(nodes)
            peak = await watch_limit(nodes, 1)
            for fault in faults:
                nodes = await FAULTS[fault](nodes)
                everyone.extend(set(nodes) - set(everyone))
                peak = max(peak, await watch_limit(nodes, 30))
            return peak, cluster.server.peak

        allowed, used = run_virtual(scenario)
        message = ' + '.join(faults)
        self.assertThat(allowed, Not(LessThan(_FLOOR)), message)
        self.assertThat(allowed, LessThan(SLOTS + 1), message)
        self.assertThat(used, LessThan(SLOTS + 1), message)


class TestTakeover(TestCase):
    """What becomes of a server whose owner is gone"""

    def test_rest_is_taken_over(self) -> None:
        """A survivor takes the rest after the session has run out."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await crash_owner(await start_nodes(cluster, 3))
            took = await wait_until(
                lambda: sum(node.allowance() for node in nodes) > 0,
                cluster,
            )
            self.assertThat(took, LessThan(30))
            allowed = sum(node.allowance() for node in nodes)
            self.assertThat(allowed, Equals(SLOTS - _FLOOR))

        run_virtual(scenario)

    def test_floor_follows_once_the_vm_is_gone(self) -> None:
        """The floor is taken when the platform lists the VM no more."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await crash_owner(await start_nodes(cluster, 3))
            names = {node.name for node in nodes}
            cluster.platform.vms = tuple(
                record
                for record in cluster.platform.vms
                if record.name in names
            )
            await wait_until(lambda: owner_of(nodes) is not None, cluster)

        run_virtual(scenario)

    def test_outage_keeps_the_floor(self) -> None:
        """Through an hour without the platform the floor is served."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            owner = owner_of(nodes)
            await fault_outage(nodes)
            await curio.sleep(3600)
            self.assertThat(owner.allowance(), Equals(_FLOOR))
            await owner.load(1)
            await curio.sleep(1)
            self.assertThat(owner.cluster.server.runs, Not(Equals([])))
            for node in nodes:
                node.client.down = False
            took = await wait_until(lambda: owner_of(nodes) is owner, cluster)
            self.assertThat(took, LessThan(10))

        run_virtual(scenario)

    def test_resumed_owner_gives_the_floor_up(self) -> None:
        """An owner that was cut off hands the floor to its successor."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            owner = owner_of(nodes)
            await fault_isolation(nodes)
            rest = others(nodes, owner)
            await wait_until(
                lambda: sum(node.allowance() for node in rest) > 0,
                cluster,
            )
            cluster.network.cut.clear()
            owner.client.down = False
            await wait_until(lambda: owner_of(rest) is not None, cluster)
            self.assertThat(owner.allowance(), Equals(0))

        run_virtual(scenario)

    def test_graceful_leave_hands_over_at_once(self) -> None:
        """A successor owns the server within a second of the hand-over."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            owner = owner_of(nodes)
            owner.membership.leave()
            await curio.sleep(2)
            started = clock.now
            await owner.ownership.hand_over_all()
            rest = others(nodes, owner)
            await wait_until(lambda: owner_of(rest) is not None, cluster)
            self.assertThat(clock.now - started, LessThan(1))

        run_virtual(scenario)

    def test_nobody_takes_over_in_an_outage(self) -> None:
        """Without the platform a dead owner's server has no new owner."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            await fault_outage(nodes)
            rest = await crash_owner(nodes)
            await curio.sleep(600)
            allowed = sum(node.allowance() for node in rest)
            self.assertThat(allowed, Equals(0))
            self.assertThat(owner_of(rest), Is(None))

        run_virtual(scenario)
