"""Scenario: the store turns one serving VM of a large fleet away."""

from __future__ import annotations

from collections.abc import Sequence

import curio
from returns.result import Result, Success
from testtools import TestCase
from testtools.matchers import LessThan

from daisydyke._adapters._datagrams import Member, Status
from daisydyke._domain._model import Address
from daisydyke._members._membership import Membership
from daisydyke._mirror._mirror import KindMirror
from daisydyke._mirror._relay import MirrorRelay
from daisydyke._mirror._store_health import StoreHealth
from daisydyke._ports import Listing
from tests.fakes import RecordingLog
from tests.gateway.test_mirror import listing
from tests.gateway.world import RecordingSink, ScriptedStore
from tests.load.test_large_fleet_standing_by import Network
from tests.virtual_time import VirtualClock, run_virtual

SERVING_VMS = 8
STANDING_BY_VMS = 92
# Bound on the time until a change is in force on every VM that serves.
APPLY_LIMIT_S = 6.0
# Until the order in which VMs probe each other is random.
SETTLED_S = 20
TRIALS = 10


class Copies:
    """Reads the mirrors of other VMs without delay."""

    def __init__(self, mirrors: dict[str, KindMirror]) -> None:
        """Initialize with the mirrors by host."""
        self._mirrors = mirrors

    async def fetch(
        self, address: Address, kind: str, after: int
    ) -> Result[Listing, Exception]:
        """Return the mirror of another VM."""
        return Success(self._mirrors[address.host].listing())


class Fleet:
    """VMs of which a few serve and hold mirrors.

    Attributes:
        mirrors: mirrors of the serving VMs by host.
    """

    def __init__(self, clock: VirtualClock) -> None:
        """Initialize without tasks."""
        self.mirrors: dict[str, KindMirror] = {}
        self._clock = clock
        self._network = Network()
        self._copies = Copies(self.mirrors)

    async def start(self) -> None:
        """Start all VMs and let them find each other."""
        vms = [
            await self._start_vm(number)
            for number in range(SERVING_VMS + STANDING_BY_VMS)
        ]
        first_host = vms[0].me.host
        for membership in vms[1:]:
            await membership.ping(first_host)
        for membership in vms[:SERVING_VMS]:
            await membership.join()
        for serving in vms[:SERVING_VMS]:
            await _ping_all(serving, vms)
        await curio.sleep(SETTLED_S)

    async def _start_vm(self, number: int) -> Membership:
        serves = number < SERVING_VMS
        host = f'10.0.0.{number}'
        mirrors = [self._make_mirror()] if serves else []
        relay = MirrorRelay(mirrors, self._copies, RecordingLog())
        membership = Membership(
            _make_member(number, host, 2.1 if serves else 0.36),
            self._network.connect(host),
            relay,
            relay,
            self._clock,
            RecordingLog(),
        )
        membership.standing_by = not serves
        for run in (membership.run_receiver, membership.run_probes):
            await curio.spawn(run, daemon=True)
        if serves:
            self.mirrors[host] = mirrors[0]
            await curio.spawn(relay.run, daemon=True)
        return membership

    def _make_mirror(self) -> KindMirror:
        log = RecordingLog()
        return KindMirror(
            'kind',
            ScriptedStore(),
            RecordingSink(),
            StoreHealth(self._clock, log),
            log,
            0.1,
        )


def _make_member(number: int, host: str, speed: float) -> Member:
    return Member(
        f'vm-{number}', host, 'north', 80, 81, 1, 1, Status.JOINING, speed
    )


async def _ping_all(sender: Membership, vms: Sequence[Membership]) -> None:
    for other in vms:
        if other is not sender:
            await sender.ping(other.me.host)


async def _lag(clock: VirtualClock) -> float:
    """Return the seconds until a VM that is turned away has a change."""
    fleet = Fleet(clock)
    await fleet.start()
    behind, *others = fleet.mirrors.values()
    changed_at = clock.now
    for mirror in others:
        await mirror.apply_listing(listing(9, a='2'), 'store')
    while behind.version < 9:
        await curio.sleep(0.05)
    return clock.now - changed_at


class TestTurnedAwayInALargeFleet(TestCase):
    """A serving VM learns what changed from those that know."""

    def test_change_is_in_force_in_time(self) -> None:
        """VMs that stand by do not delay what serving VMs tell each other."""
        for trial in range(TRIALS):
            self.assertThat(run_virtual(_lag), LessThan(APPLY_LIMIT_S), trial)
