"""Ownership of backend servers through leases in the platform.

A server's slots are divided into floor slots and remaining slots. A lease
names a floor process, which may use the floor slots even while the platform
is unavailable, and a holder, which may use the remaining slots while its
session is valid. A VM takes over the remaining slots after it has fenced the
holder's session. It takes over the floor slots only from a process that has
given them up or is known to have ended.
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
from ._lease_writer import RETRY_INTERVAL_S, LeaseWriter
from ._preference import OwnerPreference
from ._session import Session

_RECONCILE_INTERVAL_S = 0.25
_CHECKS_PER_RECONCILE = 10
_MEMBERSHIP_SETTLE_S = 3.0
_REBALANCE_INTERVAL_S = 1.0

GateFactory = Callable[[ServiceSpec, ServerSpec, Allowance], ServerGate]


@dataclass(frozen=True, slots=True)
class OwnershipDependencies:
    """Dependencies of ``Ownership``.

    Parameters:
        platform: store of the leases.
        configuration: documents in force, leases included.
        membership: tells whether a VM is considered dead.
        session: this VM's session.
        fencing: fences holders and detects ended processes.
        settings: durations of sessions and requests.
    """

    platform: Platform
    configuration: Configuration
    membership: Membership
    session: Session
    fencing: Fencing
    clock: Clock
    log: DecisionLog
    settings: LeaseSettings


class Ownership:
    """Claims, holds, takes over and hands over backend servers.

    Parameters:
        make_gate: creates the gate of a server that this VM owns.

    Attributes:
        gates: open gates by server identifier.
    """

    def __init__(
        self, dependencies: OwnershipDependencies, make_gate: GateFactory
    ) -> None:
        """Initialize with no open gates."""
        self._dependencies = dependencies
        self._make_gate = make_gate
        self._writer = LeaseWriter(
            dependencies.platform,
            dependencies.configuration,
            dependencies.log,
        )
        self._preference = OwnerPreference(
            dependencies.configuration,
            dependencies.membership,
        )
        self._started_at = dependencies.clock.monotonic()
        self._released_versions: dict[str, int] = {}
        self._rebalanced_at = self._started_at
        self._leaving = False
        self._last_out_domains: set[str] = set()
        self.gates: dict[str, ServerGate] = {}

    async def run(self) -> None:
        """Reconcile periodically and after changes until cancelled.

        Reconciliation stops once ``hand_over_all`` has been called.
        """
        while True:
            if not self._leaving:
                await self.reconcile()
            await self._wait_for_change()

    async def reconcile(self) -> None:
        """Update gates and leases to match the documents in force."""
        configured_ids: set[str] = set()
        for service, spec in self._all_servers():
            configured_ids.add(spec.server_id)
            await self._reconcile_server(service, spec)
        for server_id in tuple(self.gates):
            if server_id not in configured_ids:
                await self._close_gate(server_id)
        self._reset_returned_domains()

    async def hand_over_all(self) -> None:
        """Hand over every server held by this VM.

        A server without a successor stays with this VM. A write that fails
        with a version conflict is not repeated.
        """
        self._leaving = True
        async with curio.TaskGroup() as group:
            for _, spec in self._all_servers():
                lease = self._lease_of(spec.server_id)
                if lease is not None and self._names_this_vm(lease):
                    await group.spawn(self._hand_over(spec, lease))

    def allowance(self, service: ServiceSpec, spec: ServerSpec) -> int:
        """Return how many slots of a server this VM may use at present."""
        lease = self._lease_of(spec.server_id)
        if lease is None:
            return 0
        if spec.domain in self._dependencies.configuration.out_domains:
            return 0
        floor = floor_slots(service.slots)
        allowed_slots = 0
        if self._may_use_floor(lease):
            allowed_slots += floor
        session = self._dependencies.session
        if lease.holder == session.holder and session.valid():
            allowed_slots += service.slots - floor
        return allowed_slots

    async def _wait_for_change(self) -> None:
        # Returns early on a change: a server that is being handed over is not
        # served until the new owner opens its gate.
        seen = self._dependencies.configuration.generation
        for _ in range(_CHECKS_PER_RECONCILE):
            await curio.sleep(_RECONCILE_INTERVAL_S / _CHECKS_PER_RECONCILE)
            if self._dependencies.configuration.generation != seen:
                return

    def _all_servers(self) -> list[tuple[ServiceSpec, ServerSpec]]:
        services = tuple(self._dependencies.configuration.services.values())
        return [
            (service, spec) for service in services for spec in service.servers
        ]

    def _lease_of(self, server_id: str) -> Lease | None:
        lease = self._dependencies.configuration.leases.get(server_id)
        if lease is None:
            return None
        if lease.version <= self._released_versions.get(server_id, 0):
            return None
        return lease

    def _may_use_floor(self, lease: Lease) -> bool:
        current_holder = self._dependencies.session.holder
        if lease.floor_holder.vm != current_holder.vm:
            return False
        return (
            lease.floor_holder == current_holder
            or self._earlier_process_drained()
        )

    def _earlier_process_drained(self) -> bool:
        # An earlier process on this VM has ended, since this process has
        # bound its ports, but its last requests may still be running.
        age = self._dependencies.clock.monotonic() - self._started_at
        return age >= self._dependencies.settings.longest_request_s

    def _names_this_vm(self, lease: Lease) -> bool:
        vm = self._dependencies.session.holder.vm
        return vm in {lease.holder.vm, lease.floor_holder.vm}

    async def _reconcile_server(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
    ) -> None:
        lease = self._lease_of(spec.server_id)
        if lease is None:
            await self._close_gate(spec.server_id)
            if spec.server_id not in self._dependencies.configuration.leases:
                await self._claim(spec)
            return
        if self._names_this_vm(lease):
            await self._reconcile_leased(service, spec, lease)
            return
        await self._close_gate(spec.server_id)
        await self._take_over_if_fenced(spec, lease)

    async def _reconcile_leased(
        self,
        service: ServiceSpec,
        spec: ServerSpec,
        lease: Lease,
    ) -> None:
        session = self._dependencies.session
        if lease.holder.vm != session.holder.vm:
            # Another VM took over the remaining slots while this VM was
            # unresponsive.
            if self._earlier_process_drained():
                await self._give_up_floor(spec, lease)
            return
        if spec.server_id not in self.gates:
            await self._open_gate(service, spec)
        if session.valid() and lease.holder != session.holder:
            await self._reclaim(lease)
        elif lease.floor_holder.vm == session.holder.vm:
            await self._rebalance(spec, lease)
        else:
            await self._take_floor_if_ended(lease)

    def _reset_returned_domains(self) -> None:
        out_domains = set(self._dependencies.configuration.out_domains)
        for gate in self.gates.values():
            if gate.domain in self._last_out_domains - out_domains:
                gate.reset_ramp('domain_returned')
        self._last_out_domains = out_domains

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
        self._dependencies.log.record('gate_opened', server=spec.server_id)

    async def _close_gate(self, server_id: str) -> None:
        gate = self.gates.pop(server_id, None)
        if gate is not None:
            await gate.stop()
            self._dependencies.log.record('gate_closed', server=server_id)

    async def _claim(self, spec: ServerSpec) -> None:
        age = self._dependencies.clock.monotonic() - self._started_at
        session = self._dependencies.session
        if age < _MEMBERSHIP_SETTLE_S or not session.valid():
            return
        if self._preference.preferred_vm(spec) == session.holder.vm:
            lease = Lease(spec.server_id, session.holder, session.holder, 0)
            await self._writer.write(lease, 'claim')

    async def _reclaim(self, lease: Lease) -> None:
        # The lease names an earlier process or a fenced session of this VM.
        if not self._earlier_process_drained():
            return
        holder = self._dependencies.session.holder
        floor = (
            holder if lease.floor_holder.vm == holder.vm else lease.floor_holder
        )
        updated = Lease(lease.server_id, holder, floor, lease.version)
        await self._writer.write(updated, 'reclaim')

    async def _take_over_if_fenced(
        self, spec: ServerSpec, lease: Lease
    ) -> None:
        membership = self._dependencies.membership
        session = self._dependencies.session
        if not membership.is_dead(lease.holder.vm) or not session.valid():
            return
        if self._preference.preferred_vm(spec) != session.holder.vm:
            return
        if not await self._dependencies.fencing.ensure_fenced(lease.holder):
            return
        floor = lease.floor_holder
        if self._dependencies.fencing.has_ended(floor):
            floor = session.holder
        updated = Lease(lease.server_id, session.holder, floor, lease.version)
        await self._writer.write(updated, 'takeover')

    async def _take_floor_if_ended(self, lease: Lease) -> None:
        if self._dependencies.fencing.has_ended(lease.floor_holder):
            holder = self._dependencies.session.holder
            updated = Lease(lease.server_id, holder, holder, lease.version)
            await self._writer.write(updated, 'take_floor')

    async def _give_up_floor(self, spec: ServerSpec, lease: Lease) -> None:
        self._released_versions[spec.server_id] = lease.version
        await self._close_gate(spec.server_id)
        updated = Lease(
            lease.server_id,
            lease.holder,
            lease.holder,
            lease.version,
        )
        await curio.spawn(
            self._writer.write_until_outcome_known(updated, 'give_up_floor'),
            daemon=True,
        )

    async def _rebalance(self, spec: ServerSpec, lease: Lease) -> None:
        now = self._dependencies.clock.monotonic()
        if now - self._rebalanced_at < _REBALANCE_INTERVAL_S:
            return
        if now - self._started_at < _MEMBERSHIP_SETTLE_S:
            return
        if not self._dependencies.session.valid():
            return
        if (
            self._preference.preferred_vm(spec)
            != self._dependencies.session.holder.vm
        ):
            self._rebalanced_at = now
            await self._hand_over(spec, lease)

    async def _hand_over(self, spec: ServerSpec, lease: Lease) -> None:
        holder = self._dependencies.session.holder
        successor = self._preference.successor(spec, holder)
        if successor is None:
            return
        self._released_versions[spec.server_id] = lease.version
        await self._close_gate(spec.server_id)
        while not self._earlier_process_drained():
            await curio.sleep(RETRY_INTERVAL_S)
        updated = Lease(lease.server_id, successor, successor, lease.version)
        await self._writer.write_until_outcome_known(updated, 'hand_over')
