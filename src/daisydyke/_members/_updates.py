"""Buffers membership updates for dissemination by gossip."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .._adapters._datagrams import Member

_MAX_UPDATES_PER_DATAGRAM = 6
_RETRANSMIT_FACTOR = 4


@dataclass(slots=True)
class _Update:
    member: Member
    transmissions: int = 0


class UpdateBuffer:
    """Latest update of each member, until it is sent often enough."""

    def __init__(self) -> None:
        """Initialize without updates."""
        self._updates: dict[str, _Update] = {}

    def put(self, member: Member) -> None:
        """Add an update; it replaces an earlier one of the same member."""
        self._updates[member.vm] = _Update(member)

    def next_batch(self, member_count: int) -> list[Member]:
        """Return the updates for the next datagram, the least sent first.

        Each returned update counts as sent once more.

        Parameters:
            member_count: number of members. The number of times that an
                update is sent grows with its logarithm.
        """
        limit = _RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))
        batch = sorted(
            self._updates.values(),
            key=lambda update: update.transmissions,
        )[:_MAX_UPDATES_PER_DATAGRAM]
        for update in batch:
            update.transmissions += 1
            if update.transmissions >= limit:
                self._updates.pop(update.member.vm)
        return [sent.member for sent in batch]
