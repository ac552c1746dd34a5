"""Takes copies of the store's kinds from members that are ahead.

The store may serve the operator and other VMs but not this one. Members
compare versions on every gossip datagram; a VM that stays behind reads what
it lacks from the member that has it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import curio
from returns.result import Result, Success

from .._adapters._datagrams import Digest, Member
from .._domain._model import Address
from .._ports import Clock, DecisionLog, Listing
from ..exceptions import DaisydykeError
from ._mirror import KindMirror

# Seconds by which watches of healthy VMs differ at most.
_NORMAL_LAG_S = 1.0


class MemberCopies(Protocol):
    """Reads the copies of another VM."""

    async def fetch(
        self,
        address: Address,
        kind: str,
        after: int,
    ) -> Result[Listing, DaisydykeError]:
        """Read a member's copy of a kind unless it is not newer."""


class MirrorRelay:
    """Notices that this VM is behind, and catches up from a member."""

    def __init__(
        self,
        mirrors: Sequence[KindMirror],
        copies: MemberCopies,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Start level with all members."""
        self._mirrors = mirrors
        self._copies = copies
        self._clock = clock
        self._log = log
        self._following = False
        self._own_version = 0
        self._reached = 0
        self._behind_since: float | None = None
        self._ahead: tuple[Member, int] | None = None
        self._wake = curio.Event()

    @property
    def version(self) -> int:
        """Rises with every change of any mirrored kind."""
        return sum(mirror.changed_at for mirror in self._mirrors)

    @property
    def digest(self) -> int:
        """The version says it all."""
        return 0

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Catch up from a member that has been ahead for too long."""
        if not self._following:
            return
        now = self._clock.monotonic()
        if self.version != self._own_version:
            self._own_version = self.version
            self._behind_since = None
        if digest.version <= max(self._own_version, self._reached):
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= _NORMAL_LAG_S:
            self._ahead = (member, digest.version)
            await self._wake.set()

    async def run(self) -> None:
        """Catch up whenever that is needed, until cancelled.

        A VM that stands by follows nothing and so is behind all others.
        """
        self._following = True
        while True:
            await self._wake.wait()
            if self._ahead is not None:
                await self._catch_up(*self._ahead)
            self._behind_since = None
            self._wake.clear()

    async def _catch_up(self, member: Member, version: int) -> None:
        """Read all kinds from a member that says it has this version.

        A member may count a deletion that this VM never saw, since it listed
        the kind later; then the member has nothing newer.
        """
        address = Address(member.host, member.peer_port)
        for mirror in self._mirrors:
            copied = await self._copies.fetch(
                address,
                mirror.kind,
                mirror.version,
            )
            if not isinstance(copied, Success):
                self._log.record(
                    'relay_failed',
                    member=member.vm,
                    kind=mirror.kind,
                    error=str(copied.failure()),
                )
                return
            await mirror.take(copied.unwrap(), member.vm)
        self._reached = max(self._reached, version)
