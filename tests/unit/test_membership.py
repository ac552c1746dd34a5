"""Tests of membership over a fake network, in virtual time."""

from __future__ import annotations

import curio
import msgspec
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from daisydyke._adapters._datagrams import Status
from daisydyke._ports import VmRecord
from tests.nodes import Node, SimulatedCluster, start_nodes, wait_until
from tests.virtual_time import VirtualClock, run_virtual


def names(node: Node) -> set[str]:
    """Return the members that a node would send callers to."""
    return {member.vm for member in node.membership.addressable()}


class TestMembership(TestCase):
    """Membership of several nodes"""

    def test_all_learn_of_all(self) -> None:
        """From the platform's list each node finds every other."""

        async def scenario(clock: VirtualClock) -> None:
            nodes = await start_nodes(SimulatedCluster(clock), 6)
            await wait_until(
                lambda: all(len(names(node)) == 6 for node in nodes),
                nodes[0].cluster,
            )

        run_virtual(scenario)

    def test_crash_is_noticed(self) -> None:
        """A crashed VM leaves the address answers within 6 s."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 6)
            await curio.sleep(5)
            await nodes[2].crash()
            rest = nodes[:2] + nodes[3:]
            took = await wait_until(
                lambda: all('entry2' not in names(node) for node in rest),
                cluster,
            )
            self.assertThat(took, LessThan(6))
            await wait_until(
                lambda: all(node.membership.is_dead('entry2') for node in rest),
                cluster,
                timeout=10,
            )

        run_virtual(scenario)

    def test_leaving_is_told_at_once(self) -> None:
        """A leaving VM is out of the address answers within 2 s."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 6)
            await curio.sleep(5)
            nodes[1].membership.leave()
            took = await wait_until(
                lambda: all('entry1' not in names(node) for node in nodes),
                cluster,
            )
            self.assertThat(took, LessThan(2))

        run_virtual(scenario)

    def test_restart_is_told(self) -> None:
        """A VM that starts again is named by nobody until it is ready."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 12)
            await curio.sleep(5)
            known = nodes[1].membership.members['entry1']
            restarted = msgspec.structs.replace(
                known,
                start=known.start + 1,
                incarnation=known.incarnation + 1,
                status=Status.JOINING,
            )
            nodes[0].membership._merge(restarted)
            nodes[1].membership._me = restarted
            nodes[1].membership._members['entry1'] = restarted
            took = await wait_until(
                lambda: all('entry1' not in names(node) for node in nodes),
                cluster,
            )
            self.assertThat(took, LessThan(2))

        run_virtual(scenario)

    def test_false_suspicion_is_refuted(self) -> None:
        """A VM cut off from one other is not held to be dead."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 5)
            await curio.sleep(5)
            pair = frozenset((nodes[0].host, nodes[1].host))
            cluster.network.cut.add(pair)
            await curio.sleep(60)
            self.assertThat(
                nodes[0].membership.is_dead('entry1'),
                Equals(False),
            )

        run_virtual(scenario)

    def test_partition_heals(self) -> None:
        """After a cut of minutes, members find each other again."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 4)
            cluster.network.isolate(nodes[0].host)
            await curio.sleep(300)
            cluster.network.cut.clear()
            await wait_until(
                lambda: all(len(names(node)) == 4 for node in nodes),
                cluster,
                timeout=30,
            )

        run_virtual(scenario)

    def test_new_process_on_the_same_vm(self) -> None:
        """A restarted process replaces the dead one."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            await nodes[2].crash()
            await curio.sleep(30)
            cluster.network.cut.clear()
            again = Node(cluster, 2, start=7)
            await again.start()
            await wait_until(
                lambda: 'entry2' in names(nodes[0]),
                cluster,
                timeout=10,
            )
            member = nodes[0].membership.members['entry2']
            self.assertThat(member.status, Equals(Status.ALIVE))
            self.assertThat(member.start, Equals(7))

        run_virtual(scenario)

    def test_start_while_the_platform_is_down(self) -> None:
        """From a seed of its settings a node finds the others."""

        async def scenario(clock: VirtualClock) -> None:
            cluster = SimulatedCluster(clock)
            nodes = await start_nodes(cluster, 3)
            late = Node(cluster, 3)
            late.client.down = True
            late.seeds = [nodes[0].host]
            await late.start()
            await wait_until(lambda: len(names(late)) == 4, cluster, timeout=10)

        run_virtual(scenario)

    def test_load_does_not_grow_with_members(self) -> None:
        """Datagrams a node sends do not depend on the number of nodes."""

        async def scenario(clock: VirtualClock) -> float:
            cluster = SimulatedCluster(clock)
            count = 12
            nodes = [Node(cluster, number) for number in range(count)]
            cluster.platform.vms = tuple(
                VmRecord(node.name, node.host, leaving=False) for node in nodes
            )
            for node in nodes:
                await node.start()
            await curio.sleep(20)
            before = cluster.network.sent
            await curio.sleep(60)
            return (cluster.network.sent - before) / count / 60

        self.assertThat(run_virtual(scenario), LessThan(5))
