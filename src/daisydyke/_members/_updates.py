"""Changes of members that are still to be passed on."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .._adapters._datagrams import Member

_PER_DATAGRAM = 6
_RETRANSMIT_FACTOR = 4


@dataclass(slots=True)
class _Update:
    member: Member
    transmissions: int = 0


class UpdateBuffer:
    """The latest change of each member, until it was sent often enough."""

    def __init__(self) -> None:
        """Start empty."""
        self._updates: dict[str, _Update] = {}

    def put(self, member: Member) -> None:
        """Pass a change on, in place of an earlier one of that member."""
        self._updates[member.vm] = _Update(member)

    def take(self, members: int) -> list[Member]:
        """Return the changes for the next datagram, the least sent first.

        Parameters:
            members: how many members there are; a change is sent a number of
                times that grows with its logarithm.
        """
        limit = _RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))
        fresh = sorted(
            self._updates.values(),
            key=lambda update: update.transmissions,
        )[:_PER_DATAGRAM]
        for update in fresh:
            update.transmissions += 1
            if update.transmissions >= limit:
                self._updates.pop(update.member.vm)
        return [one.member for one in fresh]
