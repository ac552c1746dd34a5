"""Scenario: a few fast VMs of a large fleet serve all requests."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import repeat

import curio
import msgspec
from returns.result import Result, Success
from testtools import TestCase
from testtools.matchers import Equals, HasLength, LessThan

from daisydyke._adapters._datagrams import Datagram, Digest, Member, Status
from daisydyke._members._membership import Membership
from daisydyke._members._seeds import MemberDiscovery
from daisydyke._members._speed import select_fast
from daisydyke._ports import VmRecord
from daisydyke.exceptions import PlatformError
from tests.fakes import RecordingLog
from tests.virtual_time import VirtualClock, run_virtual

FAST_VMS = 8
SLOW_VMS = 52
MEASURED_S = 46
# Required limit on the control traffic of a VM, on average.
MAXIMUM_BYTES_PER_S = 2000
UDP_HEADER_BYTES = 28
# Time limit for removing a killed VM from the address answers.
REMOVAL_LIMIT_S = 7
# Time from the start of the VMs to the first requests of callers.
TRAFFIC_START_S = 14


class Network:
    """Delivers datagrams without delay and counts their bytes.

    Attributes:
        queues: queue of received datagrams by host; datagrams to other hosts
            are lost.
        bytes_sent: bytes sent by all hosts, UDP headers included.
    """

    def __init__(self) -> None:
        """Initialize a network without hosts."""
        self.queues: dict[str, curio.Queue] = {}
        self.bytes_sent = 0

    def connect(self, host: str) -> NetworkPort:
        """Add a host and return its port."""
        self.queues[host] = curio.Queue()
        return NetworkPort(self, host)


class NetworkPort:
    """Sends and receives datagrams for one host."""

    def __init__(self, network: Network, host: str) -> None:
        """Initialize the port of one host."""
        self._network = network
        self._host = host

    async def send(self, host: str, datagram: Datagram) -> None:
        """Deliver a datagram, or drop it if the host is not connected."""
        size = len(msgspec.msgpack.encode(datagram)) + UDP_HEADER_BYTES
        self._network.bytes_sent += size
        queue = self._network.queues.get(host)
        if queue is not None:
            await queue.put((self._host, datagram))

    async def receive(self) -> tuple[str, Datagram]:
        """Wait for the next datagram; return it with its sender."""
        return await self._network.queues[self._host].get()


class StaticVmList:
    """The platform's list of VMs, which does not change."""

    def __init__(self, records: Sequence[VmRecord]) -> None:
        """Initialize with the records to return."""
        self._records = tuple(records)

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Return the stored records."""
        return Success(self._records)


class UnchangingConfiguration:
    """Configuration that is identical on all VMs."""

    version = 1
    digest = 0

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Ignore a difference, which cannot occur here."""


def _make_membership(
    number: int, network: Network, clock: VirtualClock
) -> Membership:
    host = f'10.0.0.{number}'
    speed = 2.1 if number < FAST_VMS else 0.36
    me = Member(
        f'frontend-north-{number}',
        host,
        'north',
        8104,
        7381,
        1764855000000 + number,
        1764855000000 + number,
        Status.JOINING,
        speed,
    )
    configuration = UnchangingConfiguration()
    return Membership(
        me,
        network.connect(host),
        configuration,
        configuration,
        clock,
        RecordingLog(),
    )


async def _start_fleet(clock: VirtualClock) -> tuple[Network, list[Membership]]:
    network = Network()
    members = [
        _make_membership(number, network, clock)
        for number in range(FAST_VMS + SLOW_VMS)
    ]
    vm_list = StaticVmList(
        [
            VmRecord(
                membership.me.vm,
                membership.me.host,
                leaving=False,
                speed=membership.me.speed,
            )
            for membership in members
        ],
    )
    for membership in members:
        await curio.spawn(membership.run_receiver, daemon=True)
        await curio.spawn(membership.run_probes, daemon=True)
        await curio.spawn(MemberDiscovery(membership, vm_list).run, daemon=True)
    await curio.sleep(2)
    for membership in members:
        if membership.me.speed > 1:
            await membership.join()
        else:
            membership.standing_by = True
    return network, members


class TestLargeFleetStandingBy(TestCase):
    """Control traffic stays low while most VMs stand by."""

    def test_control_traffic_within_bound(self) -> None:
        """Average control traffic, start included, is below the limit."""

        async def _measure_bytes(clock: VirtualClock) -> int:
            network, _ = await _start_fleet(clock)
            await curio.sleep(MEASURED_S)
            return network.bytes_sent

        sent = run_virtual(_measure_bytes)
        allowed = MAXIMUM_BYTES_PER_S * MEASURED_S * (FAST_VMS + SLOW_VMS)
        self.assertThat(sent, LessThan(allowed))

    def test_all_vms_know_the_serving_vms(self) -> None:
        """Every VM knows exactly the VMs that serve requests."""

        async def _list_members(clock: VirtualClock) -> list[Membership]:
            _, members = await _start_fleet(clock)
            await curio.sleep(TRAFFIC_START_S)
            return members

        for membership in run_virtual(_list_members):
            self.assertThat(membership.addressable(), HasLength(FAST_VMS))

    def test_loss_of_the_fast(self) -> None:
        """Standby VMs detect that too few fast VMs remain."""

        async def _count_addressable(clock: VirtualClock) -> list[int]:
            network, members = await _start_fleet(clock)
            await curio.sleep(10)
            for membership in members[: FAST_VMS - 2]:
                network.queues.pop(membership.me.host)
            await curio.sleep(REMOVAL_LIMIT_S)
            return [
                len(membership.addressable())
                for membership in members[FAST_VMS:]
            ]

        self.assertThat(max(run_virtual(_count_addressable)), LessThan(4))

    def test_one_killed(self) -> None:
        """Every VM considers a killed fast VM dead within the time limit."""

        async def _check_killed(clock: VirtualClock) -> list[bool]:
            network, members = await _start_fleet(clock)
            await curio.sleep(TRAFFIC_START_S)
            network.queues.pop(members[0].me.host)
            await curio.sleep(REMOVAL_LIMIT_S)
            killed = members[0].me.vm
            return [membership.is_dead(killed) for membership in members[1:]]

        self.assertThat(set(run_virtual(_check_killed)), Equals({True}))

    def test_rolling_restart_adds_little_traffic(self) -> None:
        """Standby VMs that stop do not cause an update to every VM."""

        async def _measure_restart_bytes(
            clock: VirtualClock, leaving: int
        ) -> int:
            network, members = await _start_fleet(clock)
            await curio.sleep(TRAFFIC_START_S)
            before = network.bytes_sent
            for membership in members[FAST_VMS : FAST_VMS + leaving]:
                membership.leave()
                await curio.sleep(1)
            await curio.sleep(SLOW_VMS - leaving)
            return network.bytes_sent - before

        without_stops = run_virtual(_measure_restart_bytes, 0)
        with_stops = run_virtual(_measure_restart_bytes, SLOW_VMS // 2)
        self.assertThat(with_stops, LessThan(1.5 * without_stops))

    def test_select_fast(self) -> None:
        """A VM that may stand by selects only the fast VMs as its contacts."""
        speeds = [*repeat(2.1, FAST_VMS), *repeat(0.36, SLOW_VMS)]
        records = [VmRecord('v', 'h', False, speed) for speed in speeds]
        self.assertThat(select_fast(records), HasLength(FAST_VMS))
