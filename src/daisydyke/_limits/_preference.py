"""Which entry VM is to own a backend server."""

from __future__ import annotations

from .._domain._model import Holder, ServerSpec
from .._domain._rendezvous import rank
from .._members._membership import Membership
from .._operations._configuration import Configuration


class OwnerPreference:
    """Prefers one VM for each server, a near one where there is one.

    Every VM that sees the same members and switches prefers the same one.
    """

    def __init__(
        self,
        configuration: Configuration,
        membership: Membership,
    ) -> None:
        """Read both whenever asked."""
        self._configuration = configuration
        self._membership = membership

    def preferred(self, spec: ServerSpec) -> str | None:
        """Return the VM that is to own a server, None if there is none."""
        configuration = self._configuration
        members = [
            member
            for member in self._membership.alive()
            if member.vm not in configuration.out_vms
        ]
        usable = [
            member
            for member in members
            if member.domain not in configuration.out_domains
        ]
        near = [member for member in usable if member.domain == spec.domain]
        names = [member.vm for member in near or usable]
        ranked = rank(spec.server_id, names)
        return ranked[0] if ranked else None

    def successor(self, spec: ServerSpec, holder: Holder) -> Holder | None:
        """Return the process that takes a server over from a holder."""
        vm = self.preferred(spec)
        member = self._membership.members.get(vm or '')
        if member is None or vm == holder.vm:
            return None
        return Holder(member.vm, member.start)
