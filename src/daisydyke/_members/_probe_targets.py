"""Choice of the member that a VM probes next."""

from __future__ import annotations

import random
from collections.abc import Mapping

from .._adapters._datagrams import Member, Status
from ._speed import select_fast

# A VM that stands by probes once in this number of periods.
_STAND_BY_PERIODS = 3
# A VM that serves probes another one that serves once in this number.
_SERVING_PROBE_PERIODS = 2


class ProbeTargets:
    """Chooses the members that a VM probes, all of them in turn.

    Parameters:
        vm: name of this VM.
        members: all members by VM name, this VM included.
    """

    def __init__(self, vm: str, members: Mapping[str, Member]) -> None:
        """Initialize with an empty round."""
        self._vm = vm
        self._members = members
        self._order: list[str] = []

    def next_serving_by(self, period: int) -> Member | None:
        """Return the target of a VM that serves requests.

        Parameters:
            period: number of the period.

        Returns:
            None if nothing is probed in this period.
        """
        if period % _SERVING_PROBE_PERIODS == 0:
            return self._choose_serving()
        return self._next_of(self._others())

    def next_standing_by(
        self, period: int, *, has_suspects: bool
    ) -> Member | None:
        """Return the target of a VM that stands by, which probes less often.

        Parameters:
            period: number of the period.
            has_suspects: whether members are suspected, so that it probes in
                each period.

        Returns:
            None if nothing is probed in this period.
        """
        if not has_suspects and period % _STAND_BY_PERIODS:
            return None
        return self._next_of(list(select_fast(self._others())))

    def _next_of(self, candidates: list[Member]) -> Member | None:
        """Return the next member of the round; None ends a round."""
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.status is not Status.DEAD:
                return member
        self._order = [member.vm for member in candidates]
        random.shuffle(self._order)
        return None

    def _choose_serving(self) -> Member | None:
        """Choose a VM that serves requests.

        VMs that serve have to learn from each other what has changed, however
        many others stand by.
        """
        serving = [
            member for member in self._others() if member.status is Status.ALIVE
        ]
        return random.choice(serving) if serving else None  # noqa: S311

    def _others(self) -> list[Member]:
        return [
            member for member in self._members.values() if member.vm != self._vm
        ]
