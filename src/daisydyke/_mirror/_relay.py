"""Updates mirrors from other members when the store fails.

The store may be reachable for the operator and other VMs but not for this VM.
Members compare versions on pings and acknowledgements; a VM that stays behind
reads the missing objects from a member that has them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import curio
from returns.result import Result, Success

from .._adapters._datagrams import Digest, Member
from .._domain._model import Address
from .._ports import DecisionLog, Listing
from ..exceptions import DaisydykeError
from ._mirror import KindMirror

# Upper bound on the lag between watches of healthy VMs.
_MAX_NORMAL_LAG_S = 1.0


class PeerMirrorReader(Protocol):
    """Reads the mirrors of another VM."""

    async def fetch(
        self,
        address: Address,
        kind: str,
        after: int,
    ) -> Result[Listing, DaisydykeError]:
        """Read a member's mirror of a kind.

        Parameters:
            address: where the member serves its mirrors.
            kind: kind of the objects.
            after: version up to which this VM is current.

        Returns:
            A listing, without objects if its version is not above ``after``.
        """


class MirrorRelay:
    """Detects that this VM is behind other members and catches up.

    Parameters:
        mirrors: the mirrors to update.
        peer_mirrors: reads the mirrors of other members.
        log: gets a record for each failed read.
    """

    def __init__(
        self,
        mirrors: Sequence[KindMirror],
        peer_mirrors: PeerMirrorReader,
        log: DecisionLog,
    ) -> None:
        """Initialize with no member ahead of this VM."""
        self._mirrors = mirrors
        self._peer_mirrors = peer_mirrors
        self._log = log
        self._is_running = False
        self._caught_up_version = 0
        self._ahead: tuple[Member, int] | None = None
        self._wake = curio.Event()

    @property
    def version(self) -> int:
        """Version that rises with every change of any mirrored kind."""
        return sum(mirror.last_change_version for mirror in self._mirrors)

    @property
    def digest(self) -> int:
        """Always 0, since the version alone identifies the state."""
        return 0

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Catch up if this VM remains behind for too long."""
        if not self._is_running or not self._is_behind(digest.version):
            return
        if self._ahead is None:
            self._ahead = (member, digest.version)
            await self._wake.set()

    async def run(self) -> None:
        """Catch up whenever needed, until cancelled.

        Digests are ignored until this runs: a VM that stands by runs no
        mirrors and is therefore always behind.
        """
        self._is_running = True
        while True:
            await self._wake.wait()
            self._wake.clear()
            await curio.sleep(_MAX_NORMAL_LAG_S)
            if self._ahead is not None and self._is_behind(self._ahead[1]):
                await self._catch_up(*self._ahead)
            self._ahead = None

    def _is_behind(self, version: int) -> bool:
        return version > max(self.version, self._caught_up_version)

    async def _catch_up(self, member: Member, version: int) -> None:
        """Read all kinds from a member that reported this version.

        The member may have nothing newer: its version also counts deletions
        that this VM missed because it listed the kind after them.
        """
        address = Address(member.host, member.peer_port)
        for mirror in self._mirrors:
            outcome = await self._peer_mirrors.fetch(
                address,
                mirror.kind,
                mirror.version,
            )
            if not isinstance(outcome, Success):
                self._log.record(
                    'relay_failed',
                    member=member.vm,
                    kind=mirror.kind,
                    error=str(outcome.failure()),
                )
                return
            await mirror.apply_listing(outcome.unwrap(), member.vm)
        self._caught_up_version = max(self._caught_up_version, version)
