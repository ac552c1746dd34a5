"""Which entry VMs callers are told to use."""

from __future__ import annotations

from .._adapters._datagrams import Status
from .._domain._model import Address
from ._membership import Membership
from ._speed import select_fast

# Seconds; callers of a VM that is gone ask again after this time.
_KEEP_S = 1.0
_ENOUGH_NEAR = 2
_PRESENT = frozenset((Status.ALIVE, Status.JOINING, Status.SUSPECT))


class AddressBook:
    """Addresses of the VMs that take requests, fast and near ones first.

    A request to all shards costs so much of a slow VM's time that it is late
    there; and the fewer VMs send to a server, the more each knows of it.

    Parameters:
        longest_keep: seconds for which callers keep an answer at most.
    """

    def __init__(self, membership: Membership, longest_keep: float) -> None:
        """Read the members whenever asked."""
        self._membership = membership
        self._keep = min(_KEEP_S, longest_keep)

    def addresses(self, domain: str) -> tuple[list[str], float]:
        """Return addresses for a caller and the seconds to keep them."""
        members = select_fast(self._membership.addressable())
        near = [one for one in members if one.domain == domain]
        if len(near) >= _ENOUGH_NEAR:
            members = near
        addresses = [
            str(Address(member.host, member.caller_port)) for member in members
        ]
        return addresses, self._keep

    def should_serve(self) -> bool:
        """Tell whether this VM is to take requests.

        A slow VM stands by while enough fast ones are there.
        """
        present = [
            member
            for member in self._membership.members.values()
            if member.status in _PRESENT
        ]
        return self._membership.me in select_fast(present)

    def sender_count(self) -> int:
        """Return how many VMs share what servers accept.

        VMs that are gone count as well: they may be back before anybody
        notices.
        """
        members = tuple(self._membership.members.values())
        return max(1, len(select_fast(members)))
