"""Choice of the entry VM that should own a backend server."""

from __future__ import annotations

from .._domain._model import Holder, ServerSpec
from .._domain._rendezvous import rank
from .._members._membership import Membership
from .._operations._configuration import Configuration


class OwnerPreference:
    """Selects one VM per server, in the server's failure domain if possible.

    All VMs with the same members and switches select the same VM.

    Parameters:
        configuration: names the VMs and failure domains out of service.
        membership: names the live VMs.
    """

    def __init__(
        self,
        configuration: Configuration,
        membership: Membership,
    ) -> None:
        """Initialize; both sources are read at each call."""
        self._configuration = configuration
        self._membership = membership

    def preferred_vm(self, spec: ServerSpec) -> str | None:
        """Return the VM that should own a server, None if no VM is usable."""
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
        same_domain = [
            member for member in usable if member.domain == spec.domain
        ]
        candidates = [member.vm for member in same_domain or usable]
        ranked = rank(spec.server_id, candidates)
        return ranked[0] if ranked else None

    def successor(self, spec: ServerSpec, holder: Holder) -> Holder | None:
        """Return the process that a holder should hand a server over to.

        Returns:
            None if no VM is preferred, if the holder's own VM is, or if the
            preferred VM is not a member.
        """
        vm = self.preferred_vm(spec)
        member = self._membership.members.get(vm or '')
        if member is None or vm == holder.vm:
            return None
        return Holder(member.vm, member.start)
