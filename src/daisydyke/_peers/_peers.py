"""Maintains the links to the other entry VMs."""

from __future__ import annotations

from collections.abc import Callable

import curio

from .._adapters._datagrams import Digest, Member
from .._adapters._frames import Hello
from .._members._membership import Membership
from .._operations._configuration import Configuration
from .._ports import Clock
from .._queries._catalogue import Catalogue
from ._peer_link import OpenChannel, PeerLink

_MEMBERSHIP_POLL_INTERVAL_S = 0.25
_DIGEST_DIFFERENCE_TOLERANCE_S = 1.0


class PeerLinks:
    """Maintains a link to every other member that is not dead.

    Parameters:
        membership: returns the membership; called only while ``run`` runs,
            since the membership may be created after this object.
        catalogue: updated with the server states received on the links.
        configuration: updated with the documents received on the links.
    """

    def __init__(
        self,
        membership: Callable[[], Membership],
        catalogue: Catalogue,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Initialize without links; ``run`` opens them."""
        self._membership = membership
        self._catalogue = catalogue
        self._configuration = configuration
        self._clock = clock
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, curio.Task] = {}
        self._differs_since: dict[str, float] = {}

    def get(self, vm: str) -> PeerLink | None:
        """Return the link to a VM, or None if it is not connected."""
        link = self._links.get(vm)
        return link if link and link.connected else None

    async def run(self, open_channel: OpenChannel) -> None:
        """Open and close links with the membership, until cancelled.

        Parameters:
            open_channel: opens a channel to a host and a port.
        """
        while True:
            await self._update_links(open_channel)
            await curio.sleep(_MEMBERSHIP_POLL_INTERVAL_S)

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Request documents from a member whose digest keeps differing.

        A member with a higher version is asked for the newer documents. One
        with the same version is asked for all, since a digest does not show
        which documents differ. One with a lower version has to request
        documents itself.
        """
        now = self._clock.monotonic()
        differs_since = self._differs_since.setdefault(member.vm, now)
        if now - differs_since < _DIGEST_DIFFERENCE_TOLERANCE_S:
            return
        self._differs_since.pop(member.vm)
        own_version = self._configuration.version
        link = self.get(member.vm)
        if link is not None and digest.version >= own_version:
            is_behind = digest.version > own_version
            await link.request_sync(own_version if is_behind else 0)

    async def _update_links(self, open_channel: OpenChannel) -> None:
        membership = self._membership()
        for member in tuple(membership.members.values()):
            if member.vm == membership.me.vm:
                continue
            link = self._links.get(member.vm)
            is_dead = membership.is_dead(member.vm)
            if link is not None and (
                is_dead or _is_replaced(link.member, member)
            ):
                await self._close_link(member.vm)
                link = None
            if link is None and not is_dead:
                await self._open_link(membership.me, member, open_channel)

    async def _open_link(
        self,
        local_member: Member,
        member: Member,
        open_channel: OpenChannel,
    ) -> None:
        link = PeerLink(
            member,
            Hello(local_member.vm, local_member.start),
            self._catalogue,
            self._configuration,
            self._clock,
        )
        self._links[member.vm] = link
        self._tasks[member.vm] = await curio.spawn(
            link.run(open_channel),
            daemon=True,
        )

    async def _close_link(self, vm: str) -> None:
        self._links.pop(vm)
        await self._tasks.pop(vm).cancel()


def _is_replaced(linked: Member, member: Member) -> bool:
    """Return whether the process or its address differs from the linked one."""
    return (linked.host, linked.peer_port, linked.start) != (
        member.host,
        member.peer_port,
        member.start,
    )
