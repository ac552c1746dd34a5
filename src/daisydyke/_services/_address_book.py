"""Which entry VMs callers are told to use."""

from __future__ import annotations

from .._domain._model import Address
from ._membership import Membership

# Seconds; callers of a VM that is gone ask again after this time.
_KEEP_S = 1.0
_ENOUGH_NEAR = 2


class AddressBook:
    """Addresses of the VMs that take requests, near ones first.

    Parameters:
        longest_keep: seconds for which callers keep an answer at most.
    """

    def __init__(self, membership: Membership, longest_keep: float) -> None:
        """Read the members whenever asked."""
        self._membership = membership
        self._keep = min(_KEEP_S, longest_keep)

    def addresses(self, domain: str) -> tuple[list[str], float]:
        """Return addresses for a caller and the seconds to keep them."""
        members = self._membership.addressable()
        near = [one for one in members if one.domain == domain]
        if len(near) >= _ENOUGH_NEAR:
            members = near
        addresses = [
            str(Address(member.host, member.caller_port)) for member in members
        ]
        return addresses, self._keep
