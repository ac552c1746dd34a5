"""Pattern: a fleet of which a few fast VMs take all requests."""

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
from tests.fakes import ListLog
from tests.virtual_time import VirtualClock, run_virtual

FAST = 8
SLOW = 52
DAY_S = 46
# The users' bound on what a VM sends for control.
BYTES_PER_S = 2000
UDP_HEADER_BYTES = 28
# Time in which a VM that was killed has to leave the address answers.
NOTICED_S = 7
TRAFFIC_AFTER_S = 14


class Network:
    """Carries datagrams at once and counts their bytes."""

    def __init__(self) -> None:
        """Start with nobody there."""
        self.queues: dict[str, curio.Queue] = {}
        self.bytes_sent = 0

    def connect(self, host: str) -> Port:
        """Return the port of a host."""
        self.queues[host] = curio.Queue()
        return Port(self, host)


class Port:
    """Sends and receives for one host."""

    def __init__(self, network: Network, host: str) -> None:
        """Keep the network."""
        self._network = network
        self._host = host

    async def send(self, host: str, datagram: Datagram) -> None:
        """Deliver to a host that is there."""
        size = len(msgspec.msgpack.encode(datagram)) + UDP_HEADER_BYTES
        self._network.bytes_sent += size
        queue = self._network.queues.get(host)
        if queue is not None:
            await queue.put((self._host, datagram))

    async def receive(self) -> tuple[str, Datagram]:
        """Return the next datagram."""
        return await self._network.queues[self._host].get()


class Listed:
    """The platform's list of all VMs."""

    def __init__(self, records: Sequence[VmRecord]) -> None:
        """Keep the list."""
        self._records = tuple(records)

    async def list_vms(self) -> Result[tuple[VmRecord, ...], PlatformError]:
        """Return the list."""
        return Success(self._records)


class Level:
    """Configuration that is the same everywhere."""

    version = 1
    digest = 0

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Never happens."""


def _make(number: int, network: Network, clock: VirtualClock) -> Membership:
    host = f'10.0.0.{number}'
    speed = 2.1 if number < FAST else 0.36
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
    level = Level()
    return Membership(me, network.connect(host), level, level, clock, ListLog())


async def _start(clock: VirtualClock) -> tuple[Network, list[Membership]]:
    network = Network()
    members = [_make(number, network, clock) for number in range(FAST + SLOW)]
    listed = Listed(
        [
            VmRecord(one.me.vm, one.me.host, leaving=False, speed=one.me.speed)
            for one in members
        ],
    )
    for one in members:
        await curio.spawn(one.run_receiver, daemon=True)
        await curio.spawn(one.run_probes, daemon=True)
        await curio.spawn(MemberDiscovery(one, listed).run, daemon=True)
    await curio.sleep(2)
    for one in members:
        if one.me.speed > 1:
            await one.join()
        else:
            one.standing_by = True
    return network, members


class TestLargeFleetStandingBy(TestCase):
    """Control costs little where most VMs stand by."""

    def test_bytes(self) -> None:
        """A VM sends less than the bound, the start included."""

        async def _run(clock: VirtualClock) -> int:
            network, _ = await _start(clock)
            await curio.sleep(DAY_S)
            return network.bytes_sent

        sent = run_virtual(_run)
        allowed = BYTES_PER_S * DAY_S * (FAST + SLOW)
        self.assertThat(sent, LessThan(allowed))

    def test_all_know_the_fast(self) -> None:
        """Every VM knows those that take requests."""

        async def _run(clock: VirtualClock) -> list[Membership]:
            _, members = await _start(clock)
            await curio.sleep(TRAFFIC_AFTER_S)
            return members

        for one in run_virtual(_run):
            self.assertThat(one.addressable(), HasLength(FAST))

    def test_loss_of_the_fast(self) -> None:
        """VMs that stand by notice when too few fast ones are left."""

        async def _run(clock: VirtualClock) -> list[int]:
            network, members = await _start(clock)
            await curio.sleep(10)
            for one in members[: FAST - 2]:
                network.queues.pop(one.me.host)
            await curio.sleep(NOTICED_S)
            return [len(one.addressable()) for one in members[FAST:]]

        self.assertThat(max(run_virtual(_run)), LessThan(4))

    def test_one_killed(self) -> None:
        """A fast VM that was killed leaves the answers of every VM."""

        async def _run(clock: VirtualClock) -> list[bool]:
            network, members = await _start(clock)
            await curio.sleep(TRAFFIC_AFTER_S)
            network.queues.pop(members[0].me.host)
            await curio.sleep(NOTICED_S)
            killed = members[0].me.vm
            return [one.is_dead(killed) for one in members[1:]]

        self.assertThat(set(run_virtual(_run)), Equals({True}))

    def test_rolling_restart(self) -> None:
        """VMs that stand by stop without everybody being told."""

        async def _run(clock: VirtualClock, leaving: int) -> int:
            network, members = await _start(clock)
            await curio.sleep(TRAFFIC_AFTER_S)
            before = network.bytes_sent
            for one in members[FAST : FAST + leaving]:
                one.leave()
                await curio.sleep(1)
            await curio.sleep(SLOW - leaving)
            return network.bytes_sent - before

        calm = run_virtual(_run, 0)
        rolling = run_virtual(_run, SLOW // 2)
        self.assertThat(rolling, LessThan(1.5 * calm))

    def test_choice_of_the_fast(self) -> None:
        """Only the fast ones of a list are met by one that may stand by."""
        speeds = [*repeat(2.1, FAST), *repeat(0.36, SLOW)]
        records = [VmRecord('v', 'h', False, speed) for speed in speeds]
        self.assertThat(select_fast(records), HasLength(FAST))
