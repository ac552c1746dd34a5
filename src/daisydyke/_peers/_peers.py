"""Links to the other entry VMs that are not dead."""

from __future__ import annotations

from collections.abc import Callable

import curio

from .._adapters._datagrams import Digest, Member
from .._adapters._frames import Hello
from .._members._membership import Membership
from .._operations._configuration import Configuration
from .._ports import Clock
from .._queries._catalogue import Catalogue
from ._peer_link import Open, PeerLink

_FOLLOW_MEMBERS_S = 0.25
_LAG_TOLERANCE_S = 1.0


class PeerLinks:
    """A link to every other member that is not dead."""

    def __init__(
        self,
        membership: Callable[[], Membership],
        catalogue: Catalogue,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Open nothing yet; ``membership`` is asked when run."""
        self._membership = membership
        self._catalogue = catalogue
        self._configuration = configuration
        self._clock = clock
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, curio.Task] = {}
        self._lagging_since: dict[str, float] = {}

    def get(self, vm: str) -> PeerLink | None:
        """Return the link to a VM if it is connected."""
        link = self._links.get(vm)
        return link if link and link.connected else None

    async def run(self, open_channel: Open) -> None:
        """Follow the membership until cancelled."""
        while True:
            await self._follow(open_channel)
            await curio.sleep(_FOLLOW_MEMBERS_S)

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Fetch documents from a member that stays ahead of this VM."""
        now = self._clock.monotonic()
        since = self._lagging_since.setdefault(member.vm, now)
        if now - since < _LAG_TOLERANCE_S:
            return
        self._lagging_since.pop(member.vm)
        mine = self._configuration.version
        link = self.get(member.vm)
        if link is not None and digest.version >= mine:
            behind = digest.version > mine
            await link.request_sync(mine if behind else 0)

    async def _follow(self, open_channel: Open) -> None:
        membership = self._membership()
        for member in tuple(membership.members.values()):
            if member.vm == membership.me.vm:
                continue
            link = self._links.get(member.vm)
            gone = membership.is_dead(member.vm)
            if link is not None and (gone or _moved(link.member, member)):
                await self._close(member.vm)
                link = None
            if link is None and not gone:
                await self._open(membership.me, member, open_channel)

    async def _open(
        self,
        me: Member,
        member: Member,
        open_channel: Open,
    ) -> None:
        link = PeerLink(
            member,
            Hello(me.vm, me.start),
            self._catalogue,
            self._configuration,
            self._clock,
        )
        self._links[member.vm] = link
        self._tasks[member.vm] = await curio.spawn(
            link.run(open_channel),
            daemon=True,
        )

    async def _close(self, vm: str) -> None:
        self._links.pop(vm)
        await self._tasks.pop(vm).cancel()


def _moved(known: Member, member: Member) -> bool:
    return (known.host, known.peer_port, known.start) != (
        member.host,
        member.peer_port,
        member.start,
    )
