"""Which backend servers this VM owns, by leases in the platform.

A lease names a holder, which may use the rest of the server's slots while
its session is valid, and a floor, which may use the floor slots whatever
becomes of the platform. A VM takes over the rest after it has fenced the
holder's session; it takes the floor only from a process that has given it
up or is known to have ended.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import curio

from .._domain._model import Lease, ServerSpec, ServiceSpec, floor_slots
from .._members._membership import Membership
from .._operations._configuration import Configuration
from .._ports import Clock, DecisionLog, Platform
from .._settings._daemon import LeaseSettings
from ._fencing import Fencing
from ._gate import Allowance, ServerGate
from ._lease_writer import RETRY_S, LeaseWriter
from ._preference import OwnerPreference
from ._session import Session

_RECONCILE_S = 0.25
_CHECKS_PER_RECONCILE = 10
_SETTLE_S = 3.0
_REBALANCE_INTERVAL_S = 1.0

GateFactory = Callable[[ServiceSpec, ServerSpec, Allowance], ServerGate]


@dataclass(frozen=True, slots=True)
class OwnershipDependencies:
    """What ownership works with."""

    platform: Platform
    configuration: Configuration
    membership: Membership
    session: Session
    fencing: Fencing
    clock: Clock
    log: DecisionLog
    settings: LeaseSettings


class Ownership:
    """Claims, holds, takes over and hands over backend servers."""

    def __init__(
        self, ports: OwnershipDependencies, make_gate: GateFactory
    ) -> None:
        """Own nothing yet."""
        self._ports = ports
        self._make_gate = make_gate
        self._writer = LeaseWriter(
            ports.platform,
            ports.configuration,
            ports.log,
        )
        self._preference = OwnerPreference(
            ports.configuration,
            ports.membership,
        )
        self._started_at = ports.clock.monotonic()
        self._released: dict[str, int] = {}
        self._rebalanced_at = self._started_at
        self._leaving = False
        self._out: set[str] = set()
        self.gates: dict[str, ServerGate] = {}

    async def run(self) -> None:
        """Follow leases, documents and members until cancelled."""
        while True:
            if not self._leaving:
                await self.reconcile()
            await self._wait_for_change()

    async def reconcile(self) -> None:
        """Bring gates and leases in line with what is in force."""
        wanted: set[str] = set()
        for service, spec in self._all_servers():
            wanted.add(spec.server_id)
            await self._reconcile_server(service, spec)
        for server_id in tuple(self.gates):
            if server_id not in wanted:
                await self._drop_gate(server_id)
        self._reset_returned()

    async def hand_over_all(self) -> None:
        """Hand every server over; what the platform refuses is kept."""
        self._leaving = True
        async with curio.TaskGroup() as group:
            for _, spec in self._all_servers():
                lease = self._lease_of(spec.server_id)
                if lease is not None and self._is_mine(lease):
                    await group.spawn(self._hand_over(spec, lease))

    def allowance(self, service: ServiceSpec, spec: ServerSpec) -> int:
        """Slots of a server that this VM may use at this moment."""
        lease = self._lease_of(spec.server_id)
        if lease is None:
            return 0
        if spec.domain in self._ports.configuration.out_domains:
            return 0
        floor = floor_slots(service.slots)
        allowed = 0
        if self._floor_is_mine(lease):
            allowed += floor
        session = self._ports.session
        if lease.holder == session.holder and session.valid():
            allowed += service.slots - floor
        return allowed

    async def _wait_for_change(self) -> None:
        # A server that is handed over has no owner until its gate is open.
        seen = self._ports.configuration.generation
        for _ in range(_CHECKS_PER_RECONCILE):
            await curio.sleep(_RECONCILE_S / _CHECKS_PER_RECONCILE)
            if self._ports.configuration.generation != seen:
                return

    def _all_servers(self) -> list[tuple[ServiceSpec, ServerSpec]]:
        services = tuple(self._ports.configuration.services.values())
        return [
            (service, spec) for service in services for spec in service.servers
        ]

    def _lease_of(self, server_id: str) -> Lease | None:
        lease = self._ports.configuration.leases.get(server_id)
        if lease is None:
            return None
        if lease.version <= self._released.get(server_id, 0):
            return None
        return lease

    def _floor_is_mine(self, lease: Lease) -> bool:
        me = self._ports.session.holder
        if lease.floor.vm != me.vm:
            return False
        return lease.floor == me or self._settled()

    def _settled(self) -> bool:
        # An earlier process on this VM has ended: this one has its ports.
        # Its last requests may still be running.
        age = self._ports.clock.monotonic() - self._started_at
        return age >= self._ports.settings.longest_request_s

    def _is_mine(self, lease: Lease) -> bool:
        vm = self._ports.session.holder.vm
        return vm in {lease.holder.vm, lease.floor.vm}

    async def _reconcile_server(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
    ) -> None:
        lease = self._lease_of(spec.server_id)
        if lease is None:
            await self._drop_gate(spec.server_id)
            if spec.server_id not in self._ports.configuration.leases:
                await self._claim(spec)
            return
        if self._is_mine(lease):
            await self._reconcile_mine(service, spec, lease)
            return
        await self._drop_gate(spec.server_id)
        await self._consider_takeover(spec, lease)

    async def _reconcile_mine(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
        lease: Lease,
    ) -> None:
        session = self._ports.session
        if lease.holder.vm != session.holder.vm:
            # Another VM took the rest while this one was silent.
            if self._settled():
                await self._give_up_floor(spec, lease)
            return
        if spec.server_id not in self.gates:
            await self._open_gate(service, spec)
        if session.valid() and lease.holder != session.holder:
            await self._renew_holder(lease)
        elif lease.floor.vm == session.holder.vm:
            await self._rebalance(spec, lease)
        else:
            await self._consider_floor(lease)

    def _reset_returned(self) -> None:
        out = set(self._ports.configuration.out_domains)
        for gate in self.gates.values():
            if gate.domain in self._out - out:
                gate.reset_ramp('domain_returned')
        self._out = out

    async def _open_gate(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
    ) -> None:
        gate = self._make_gate(
            service,
            spec,
            lambda: self.allowance(service, spec),
        )
        self.gates[spec.server_id] = gate
        await gate.start()
        self._ports.log.record('gate_opened', server=spec.server_id)

    async def _drop_gate(self, server_id: str) -> None:
        gate = self.gates.pop(server_id, None)
        if gate is not None:
            await gate.stop()
            self._ports.log.record('gate_closed', server=server_id)

    async def _claim(self, spec: ServerSpec) -> None:
        age = self._ports.clock.monotonic() - self._started_at
        session = self._ports.session
        if age < _SETTLE_S or not session.valid():
            return
        if self._preference.preferred(spec) == session.holder.vm:
            lease = Lease(spec.server_id, session.holder, session.holder, 0)
            await self._writer.write(lease, 'claim')

    async def _renew_holder(self, lease: Lease) -> None:
        # The lease is of an earlier process or a fenced session of this VM.
        if not self._settled():
            return
        holder = self._ports.session.holder
        floor = holder if lease.floor.vm == holder.vm else lease.floor
        renewed = Lease(lease.server_id, holder, floor, lease.version)
        await self._writer.write(renewed, 'reclaim')

    async def _consider_takeover(self, spec: ServerSpec, lease: Lease) -> None:
        membership = self._ports.membership
        session = self._ports.session
        if not membership.is_dead(lease.holder.vm) or not session.valid():
            return
        if self._preference.preferred(spec) != session.holder.vm:
            return
        if not await self._ports.fencing.is_fenced(lease.holder):
            return
        floor = lease.floor
        if self._ports.fencing.has_ended(floor):
            floor = session.holder
        taken = Lease(lease.server_id, session.holder, floor, lease.version)
        await self._writer.write(taken, 'takeover')

    async def _consider_floor(self, lease: Lease) -> None:
        if self._ports.fencing.has_ended(lease.floor):
            holder = self._ports.session.holder
            whole = Lease(lease.server_id, holder, holder, lease.version)
            await self._writer.write(whole, 'take_floor')

    async def _give_up_floor(self, spec: ServerSpec, lease: Lease) -> None:
        self._released[spec.server_id] = lease.version
        await self._drop_gate(spec.server_id)
        given = Lease(
            lease.server_id,
            lease.holder,
            lease.holder,
            lease.version,
        )
        await curio.spawn(
            self._writer.write_until_known(given, 'give_up_floor'),
            daemon=True,
        )

    async def _rebalance(self, spec: ServerSpec, lease: Lease) -> None:
        now = self._ports.clock.monotonic()
        if now - self._rebalanced_at < _REBALANCE_INTERVAL_S:
            return
        if now - self._started_at < _SETTLE_S:
            return
        if not self._ports.session.valid():
            return
        if self._preference.preferred(spec) != self._ports.session.holder.vm:
            self._rebalanced_at = now
            await self._hand_over(spec, lease)

    async def _hand_over(self, spec: ServerSpec, lease: Lease) -> None:
        holder = self._ports.session.holder
        successor = self._preference.successor(spec, holder)
        if successor is None:
            return
        self._released[spec.server_id] = lease.version
        await self._drop_gate(spec.server_id)
        while not self._settled():
            await curio.sleep(RETRY_S)
        given = Lease(lease.server_id, successor, successor, lease.version)
        await self._writer.write_until_known(given, 'hand_over')
