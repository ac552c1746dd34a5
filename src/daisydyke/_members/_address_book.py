"""Selects the entry VM addresses that callers get."""

from __future__ import annotations

from dataclasses import dataclass

from .._adapters._datagrams import Status
from .._domain._model import Address
from ._membership import Membership
from ._speed import select_fast

# Also bounds how long callers keep the address of a VM that is gone.
_ADDRESS_TTL_S = 2.0
_MIN_LOCAL_VM_COUNT = 2
_RUNNING_STATUSES = frozenset((Status.ALIVE, Status.JOINING, Status.SUSPECT))


@dataclass(frozen=True, slots=True)
class _NamedVm:
    vm: str
    speed: float


class AddressBook:
    """Addresses of the VMs that serve requests.

    Only fast VMs serve, as long as there are enough of them: a request to all
    shards costs so much CPU time that a slow VM answers it late. Fewer senders
    also means that each sees more of a server's load.

    Parameters:
        membership: the members to select from.
        max_ttl: upper bound in seconds on how long callers keep an answer.
    """

    def __init__(self, membership: Membership, max_ttl: float) -> None:
        """Initialize; answers expire after at most ``max_ttl``."""
        self._membership = membership
        self._ttl_s = min(_ADDRESS_TTL_S, max_ttl)
        self._selected_generation = -1
        self._sender_count = 1
        self._peer_hosts: list[str] = []

    def addresses(self, domain: str) -> tuple[list[str], float]:
        """Select the addresses for a caller.

        Parameters:
            domain: the caller's failure domain. Only its VMs are returned if
                it has enough of them.

        Returns:
            Addresses as ``host:port``, and how many seconds to keep them.
        """
        members = select_fast(self._membership.addressable())
        local = [nearby for nearby in members if nearby.domain == domain]
        if len(local) >= _MIN_LOCAL_VM_COUNT:
            members = local
        addresses = [
            str(Address(member.host, member.caller_port)) for member in members
        ]
        return addresses, self._ttl_s

    def peer_hosts(self) -> list[str]:
        """Return the hosts of the other VMs that serve requests."""
        self._select_anew()
        return self._peer_hosts

    def serving_vms(self) -> list[str]:
        """Return the names of all VMs that serve requests, sorted.

        Those that are dead or not members yet count as well, since they may
        serve requests without this VM's knowledge. Empty until this VM knows
        any other, or has read the list of VMs.
        """
        members = self._membership.members
        listed = self._membership.listed
        if not listed and len(members) == 1:
            return []
        speeds = {record.name: record.speed for record in listed}
        for member in members.values():
            speeds[member.vm] = member.speed
        vms = tuple(_NamedVm(*entry) for entry in speeds.items())
        return sorted(fast.vm for fast in select_fast(vms))

    def host_of(self, vm: str) -> str | None:
        """Return the host of a member; None if it is unknown."""
        member = self._membership.members.get(vm)
        return member.host if member else None

    def should_serve(self) -> bool:
        """Return whether this VM has to serve requests.

        A slow VM stands by while enough fast ones are running.
        """
        running = [
            member
            for member in self._membership.members.values()
            if member.status in _RUNNING_STATUSES
        ]
        return self._membership.me in select_fast(running)

    def sender_count(self) -> int:
        """Return the number of VMs that share the limits of the servers.

        Dead VMs count as well, since a VM may send requests again before the
        other VMs notice its return.
        """
        self._select_anew()
        return self._sender_count

    def _select_anew(self) -> None:
        """Select the peers and senders, unless no member has changed.

        They are asked for with each choice of a server, and a selection goes
        through all members.
        """
        generation = self._membership.generation
        if generation == self._selected_generation:
            return
        self._selected_generation = generation
        members = tuple(self._membership.members.values())
        self._sender_count = max(1, len(select_fast(members)))
        own_name = self._membership.me.vm
        self._peer_hosts = [
            member.host
            for member in select_fast(self._membership.addressable())
            if member.vm != own_name
        ]
