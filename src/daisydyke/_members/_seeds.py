"""How a VM finds the others: by the platform's list."""

from __future__ import annotations

import random
from collections.abc import Sequence

import curio

from .._adapters._datagrams import Status
from .._ports import Platform, VmRecord
from ._membership import Membership
from ._speed import select_fast

_INTERVAL_S = 5.0
_STAND_BY_INTERVAL_S = 20.0
# VMs beside the wanted ones that one which stands by meets, so that news
# reaches all of them.
_STAND_BY_CONTACTS = 3


class MemberDiscovery:
    """Pings VMs that are listed and not yet members.

    Parameters:
        hosts: tried beside the platform's list, so that a VM that starts
            while the platform is down finds the others.
    """

    def __init__(
        self,
        membership: Membership,
        platform: Platform,
        hosts: Sequence[str] = (),
    ) -> None:
        """Ping nobody yet."""
        self._membership = membership
        self._platform = platform
        self._hosts = hosts

    async def run(self) -> None:
        """Look for new VMs until cancelled."""
        while True:
            outcome = await self._platform.list_vms()
            listed = self._to_meet(outcome.value_or(()))
            known = {
                member.host
                for member in self._membership.members.values()
                if member.status is not Status.DEAD
            }
            for host in (*listed, *self._hosts):
                if host not in known:
                    await self._membership.ping(host)
            await self._pause()

    async def _pause(self) -> None:
        if not self._membership.standing_by:
            await curio.sleep(_INTERVAL_S)
            return
        joined = self._membership.joined.wait()
        await curio.ignore_after(_STAND_BY_INTERVAL_S, joined)

    def _to_meet(self, records: Sequence[VmRecord]) -> list[str]:
        """Return the hosts of the VMs that this one has to know.

        One that may stand by meets those that are then wanted and a few
        others.
        """
        if self._membership.me.status is not Status.JOINING:
            return [record.address for record in records]
        wanted = {record.address for record in select_fast(records)}
        others = [
            record.address for record in records if record.address not in wanted
        ]
        contacts = min(_STAND_BY_CONTACTS, len(others))
        return [*wanted, *random.sample(others, contacts)]
