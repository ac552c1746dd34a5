"""Discovers VMs that are not members yet."""

from __future__ import annotations

import random
from collections.abc import Sequence

import curio

from .._adapters._datagrams import Status
from .._ports import Platform, VmRecord
from ._membership import Membership
from ._speed import select_fast

_DISCOVERY_INTERVAL_S = 5.0
_STAND_BY_DISCOVERY_INTERVAL_S = 20.0
# A VM that may stand by also pings this many slow VMs, so that updates reach
# all of them.
_SLOW_CONTACT_COUNT = 3


class MemberDiscovery:
    """Pings VMs that are listed by the platform and not yet members.

    Parameters:
        membership: sends the pings and holds the known members.
        platform: lists the VMs.
        hosts: further hosts to ping, so that a VM that starts while the
            platform is down finds the others.
    """

    def __init__(
        self,
        membership: Membership,
        platform: Platform,
        hosts: Sequence[str] = (),
    ) -> None:
        """Initialize; ``run`` sends the pings."""
        self._membership = membership
        self._platform = platform
        self._hosts = hosts

    async def run(self) -> None:
        """Ping new VMs at intervals until cancelled."""
        while True:
            outcome = await self._platform.list_vms()
            self._membership.listed = outcome.value_or(self._membership.listed)
            listed = self._select_hosts(outcome.value_or(()))
            member_hosts = {
                member.host
                for member in self._membership.members.values()
                if member.status is not Status.DEAD
            }
            for host in (*listed, *self._hosts):
                if host not in member_hosts:
                    await self._membership.ping(host)
            await self._pause()

    async def _pause(self) -> None:
        if not self._membership.standing_by:
            await curio.sleep(_DISCOVERY_INTERVAL_S)
            return
        joined = self._membership.joined.wait()
        await curio.ignore_after(_STAND_BY_DISCOVERY_INTERVAL_S, joined)

    def _select_hosts(self, records: Sequence[VmRecord]) -> list[str]:
        """Return the hosts of the VMs that this VM has to know.

        A VM that has not joined may have to stand by. It needs only the fast
        VMs, which serve requests then, and a few slow ones.
        """
        if self._membership.me.status is not Status.JOINING:
            return [record.address for record in records]
        fast = {record.address for record in select_fast(records)}
        slow = [
            record.address for record in records if record.address not in fast
        ]
        contact_count = min(_SLOW_CONTACT_COUNT, len(slow))
        return [*fast, *random.sample(slow, contact_count)]
