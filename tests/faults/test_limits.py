"""Tests of slot ownership under faults, in virtual time.

Under every fault, both the sum of all entry VMs' allowances and the requests
running on the server must stay within the server's slots.
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
    full_owner,
    largest_holder,
    peak_allowance_under_load,
    start_nodes,
    wait_until,
)
from tests.virtual_time import VirtualClock, run_virtual

_FLOOR = floor_slots(SLOTS)


def other_nodes(nodes: list[Node], node: Node) -> list[Node]:
    """Return all nodes except one."""
    return [other for other in nodes if other is not node]


async def crash_owner(nodes: list[Node]) -> list[Node]:
    """Crash the node with most slots and return the surviving nodes."""
    owner = largest_holder(nodes)
    if owner is None:
        return nodes
    await owner.crash()
    return other_nodes(nodes, owner)


async def fault_none(nodes: list[Node]) -> list[Node]:
    """Inject no fault."""
    return nodes


async def fault_outage(nodes: list[Node]) -> list[Node]:
    """Make the platform unavailable to every node."""
    for node in nodes:
        node.client.down = True
    return nodes


async def fault_owner_outage(nodes: list[Node]) -> list[Node]:
    """Make the platform unavailable to the owner only."""
    owner = largest_holder(nodes)
    if owner is not None:
        owner.client.down = True
    return nodes


async def fault_isolation(nodes: list[Node]) -> list[Node]:
    """Cut the running owner off from the platform and the members."""
    owner = largest_holder(nodes)
    if owner is not None:
        owner.client.down = True
        owner.cluster.network.isolate(owner.host)
    return nodes


async def fault_lost_replies(nodes: list[Node]) -> list[Node]:
    """Apply every write but lose its response."""
    for node in nodes:
        node.client.loses_replies = True
    return nodes


async def fault_stale_watch(nodes: list[Node]) -> list[Node]:
    """Isolate the owner and stop every node's watch from reporting changes."""
    for node in nodes:
        node.client.watch_is_silent = True
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
    owner = largest_holder(nodes)
    if owner is None:
        return nodes
    cluster = owner.cluster
    survivors = await crash_owner(nodes)
    cluster.network.cut.clear()
    restarted = Node(cluster, owner.number, owner.process_start + 1)
    await restarted.start()
    return [*survivors, restarted]


async def fault_leave(nodes: list[Node]) -> list[Node]:
    """Make the owner leave gracefully."""
    owner = largest_holder(nodes)
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
        'cut from platform': fault_owner_outage,
        'isolation': fault_isolation,
        'lost replies': fault_lost_replies,
        'stale watch and isolation': fault_stale_watch,
        'join': fault_join,
        'restart': fault_restart,
        'leave': fault_leave,
    }
)


class TestLimits(TestCase):
    """Sum of allowances under single faults and pairs of faults"""

    def test_fault_table(self) -> None:
        """No single fault raises the sum above the limit."""
        for first in FAULTS:
            self._check(first, 'none')

    def test_pairs_of_faults(self) -> None:
        """No fault that follows another raises the sum above the limit."""
        for first in FAULTS:
            for second in FAULTS:
                self._check(first, second)

    def _check(self, *faults: str) -> None:
        async def scenario(clock: VirtualClock) -> tuple[int, int]:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            all_nodes = list(nodes)
            peak = await peak_allowance_under_load(nodes, 1)
            for fault in faults:
                nodes = await FAULTS[fault](nodes)
                all_nodes.extend(set(nodes) - set(all_nodes))
                peak = max(peak, await peak_allowance_under_load(nodes, 30))
            return peak, cluster.server.peak

        allowed, server_peak = run_virtual(scenario)
        message = ' + '.join(faults)
        self.assertThat(allowed, Not(LessThan(_FLOOR)), message)
        self.assertThat(allowed, LessThan(SLOTS + 1), message)
        self.assertThat(server_peak, LessThan(SLOTS + 1), message)


class TestTakeover(TestCase):
    """Ownership of a server whose owner has failed or left"""

    def test_remaining_slots_are_taken_over(self) -> None:
        """A survivor takes the remaining slots after the session expires."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await crash_owner(await start_nodes(cluster, 3))
            elapsed_s = await wait_until(
                lambda: sum(node.allowance() for node in nodes) > 0,
                cluster,
            )
            self.assertThat(elapsed_s, LessThan(30))
            allowed = sum(node.allowance() for node in nodes)
            self.assertThat(allowed, Equals(SLOTS - _FLOOR))

        run_virtual(scenario)

    def test_floor_is_taken_over_once_the_vm_is_removed(self) -> None:
        """The floor is taken over once the platform stops listing the VM."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await crash_owner(await start_nodes(cluster, 3))
            names = {node.name for node in nodes}
            cluster.platform.vms = tuple(
                record
                for record in cluster.platform.vms
                if record.name in names
            )
            await wait_until(lambda: full_owner(nodes) is not None, cluster)

        run_virtual(scenario)

    def test_outage_keeps_the_floor(self) -> None:
        """The owner uses the floor through an hour without the platform."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            owner = full_owner(nodes)
            await fault_outage(nodes)
            await curio.sleep(3600)
            self.assertThat(owner.allowance(), Equals(_FLOOR))
            await owner.submit_requests(1)
            await curio.sleep(1)
            self.assertThat(owner.cluster.server.runs, Not(Equals([])))
            for node in nodes:
                node.client.down = False
            elapsed_s = await wait_until(
                lambda: full_owner(nodes) is owner, cluster
            )
            self.assertThat(elapsed_s, LessThan(10))

        run_virtual(scenario)

    def test_resumed_owner_gives_the_floor_up(self) -> None:
        """A reconnected owner gives the floor up to its successor."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            owner = full_owner(nodes)
            await fault_isolation(nodes)
            remaining_nodes = other_nodes(nodes, owner)
            await wait_until(
                lambda: sum(node.allowance() for node in remaining_nodes) > 0,
                cluster,
            )
            cluster.network.cut.clear()
            owner.client.down = False
            await wait_until(
                lambda: full_owner(remaining_nodes) is not None, cluster
            )
            self.assertThat(owner.allowance(), Equals(0))

        run_virtual(scenario)

    def test_graceful_leave_hands_over_at_once(self) -> None:
        """A successor owns the server within a second of the handover."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            owner = full_owner(nodes)
            owner.membership.leave()
            await curio.sleep(2)
            started = clock.now
            await owner.ownership.hand_over_all()
            remaining_nodes = other_nodes(nodes, owner)
            await wait_until(
                lambda: full_owner(remaining_nodes) is not None, cluster
            )
            self.assertThat(clock.now - started, LessThan(1))

        run_virtual(scenario)

    def test_nobody_takes_over_in_an_outage(self) -> None:
        """A crashed owner's server has no new owner during an outage."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            await fault_outage(nodes)
            survivors = await crash_owner(nodes)
            await curio.sleep(600)
            allowed = sum(node.allowance() for node in survivors)
            self.assertThat(allowed, Equals(0))
            self.assertThat(full_owner(survivors), Is(None))

        run_virtual(scenario)
