"""Which entry VMs are alive, by the SWIM protocol.

Each VM probes one member in each period, directly and then through others,
whatever the number of members. Changes travel on the probes. Suspected
members refute with a higher incarnation (Das, Gupta, Motivala 2002).
"""

from __future__ import annotations

import random
from itertools import count
from typing import Protocol

import curio
import msgspec

from .._adapters._datagrams import (
    Ack,
    Datagram,
    Digest,
    Member,
    Ping,
    PingRequest,
    Status,
)
from .._ports import Clock, DecisionLog
from ._pending_acks import PendingAcks
from ._speed import select_fast
from ._updates import UpdateBuffer

_PERIOD_S = 0.5
_ACK_TIMEOUT_S = 0.15
_INDIRECT_PROBES = 2
_SUSPICION_S = 2.0
# A VM that stands by probes once in so many periods.
_STAND_BY_PERIODS = 3
# Members that a change is passed on to at once.
_SPREAD_TO = 3


class Datagrams(Protocol):
    """Carries gossip between hosts; may lose or delay it."""

    async def send(self, host: str, datagram: Datagram) -> None:
        """Send without waiting for delivery."""

    async def receive(self) -> tuple[str, Datagram]:
        """Receive the next datagram and its sender's host."""


class DigestSource(Protocol):
    """What members compare to learn that one of them lags."""

    @property
    def version(self) -> int:
        """Version of what is in force on this VM."""

    @property
    def digest(self) -> int:
        """Digest of what is in force on this VM."""


class ConfigurationLag(Protocol):
    """Told when a member's configuration differs from this VM's."""

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Note a member whose digest differs."""


class Membership:
    """The members that this VM knows, itself included.

    Attributes:
        standing_by: whether this VM is not to take work for now; it then
            probes less.
        joined: set once this VM takes work.
        generation: rises with every change of a member's status.
    """

    def __init__(
        self,
        me: Member,
        datagrams: Datagrams,
        configuration: DigestSource,
        lag: ConfigurationLag,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Start knowing only this VM."""
        self._me = me
        self._datagrams = datagrams
        self._configuration = configuration
        self._lag = lag
        self._clock = clock
        self._log = log
        self._members: dict[str, Member] = {me.vm: me}
        self._suspected_at: dict[str, float] = {}
        self._updates = UpdateBuffer()
        self._acks = PendingAcks()
        self._relays: dict[int, tuple[str, int]] = {}
        self._order: list[str] = []
        self.standing_by = False
        self._has_news = False
        self._serving: set[str] = set()
        self.joined = curio.Event()
        self.generation = 0

    @property
    def me(self) -> Member:
        """This VM as others see it."""
        return self._me

    @property
    def members(self) -> dict[str, Member]:
        """All members by VM name, the dead included."""
        return self._members

    def alive(self) -> list[Member]:
        """Members that may be given work, those only suspected included."""
        return [
            member
            for member in self._members.values()
            if member.status in {Status.ALIVE, Status.SUSPECT}
        ]

    def addressable(self) -> list[Member]:
        """Members that callers may be sent to."""
        return [
            member
            for member in self._members.values()
            if member.status is Status.ALIVE
        ]

    def is_dead(self, vm: str) -> bool:
        """Tell whether a VM is unknown or held to be dead."""
        member = self._members.get(vm)
        return member is None or member.status is Status.DEAD

    async def join(self) -> None:
        """Tell the others that this VM takes work from now on."""
        self.standing_by = False
        await self.joined.set()
        if self._me.status is Status.JOINING:
            self._set_me(Status.ALIVE, self._me.incarnation + 1)

    def leave(self) -> None:
        """Tell the others that this VM takes no new work."""
        self._set_me(Status.LEAVING, self._me.incarnation + 1)

    async def run_probes(self) -> None:
        """Probe one member in each period until cancelled."""
        for period in count():
            started = self._clock.monotonic()
            self._expire_suspicions()
            target = self._next_target() if self._is_due(period) else None
            if target is not None:
                await self._probe(target)
            spent = self._clock.monotonic() - started
            await curio.sleep(max(0, _PERIOD_S - spent))

    async def run_receiver(self) -> None:
        """Answer datagrams until cancelled."""
        while True:
            host, datagram = await self._datagrams.receive()
            await self._handle(host, datagram)

    async def ping(self, host: str) -> int:
        """Ping a host; returns the sequence number of its answer."""
        sequence = self._acks.add()
        ping = Ping(sequence, self._me, self._my_digest(), self._take_updates())
        await self._datagrams.send(host, ping)
        return sequence

    def _is_due(self, period: int) -> bool:
        if self.standing_by and not self._suspected_at:
            return period % _STAND_BY_PERIODS == 0
        return True

    def _set_me(self, status: Status, incarnation: int) -> None:
        self._me = msgspec.structs.replace(
            self._me,
            status=status,
            incarnation=incarnation,
        )
        self._adopt(self._me)

    def _next_target(self) -> Member | None:
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.status is not Status.DEAD:
                return member
        others = [one for one in self._members.values() if one != self._me]
        if self.standing_by:
            others = list(select_fast(others))
        self._order = [member.vm for member in others]
        random.shuffle(self._order)
        return None

    async def _probe(self, target: Member) -> None:
        sequence = await self.ping(target.host)
        if await self._acks.wait(sequence, _ACK_TIMEOUT_S):
            return
        helpers = [
            member
            for member in self.alive()
            if member.vm not in {target.vm, self._me.vm}
        ]
        asked = min(_INDIRECT_PROBES, len(helpers))
        for helper in random.sample(helpers, asked):
            request = PingRequest(sequence, self._me, target.host)
            await self._datagrams.send(helper.host, request)
        if not await self._acks.wait(sequence, _ACK_TIMEOUT_S):
            self._suspect(target)

    async def _handle(self, host: str, datagram: Datagram) -> None:
        self._hear_from(datagram.sender)
        if isinstance(datagram, PingRequest):
            sequence = await self.ping(datagram.target_host)
            self._relays[sequence] = (host, datagram.sequence)
            return
        for member in datagram.updates:
            self._merge(member)
        if isinstance(datagram, Ping):
            await self._acknowledge(host, datagram.sequence)
        else:
            await self._receive_ack(datagram)
        if datagram.configuration != self._my_digest():
            await self._lag.on_digest_mismatch(
                datagram.sender, datagram.configuration
            )
        if self._has_news:
            await self._spread()

    async def _spread(self) -> None:
        """Pass news on at once where VMs stand by, which probe seldom."""
        self._has_news = False
        others = [
            member
            for member in self._members.values()
            if member.status is not Status.DEAD and member.vm != self._me.vm
        ]
        if all(one.status is not Status.JOINING for one in others):
            return
        contacts = min(_SPREAD_TO, len(others))
        for member in random.sample(others, contacts):
            await self.ping(member.host)

    async def _acknowledge(self, host: str, sequence: int) -> None:
        ack = Ack(sequence, self._me, self._my_digest(), self._take_updates())
        await self._datagrams.send(host, ack)

    async def _receive_ack(self, ack: Ack) -> None:
        await self._acks.acknowledge(ack.sequence)
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            await self._acknowledge(*relay)

    def _hear_from(self, sender: Member) -> None:
        known = self._members.get(sender.vm)
        if known is None or known.status is Status.DEAD:
            # It may be a tombstone's new process that does not know of it.
            self._merge(sender)
            if known is not None and known.incarnation >= sender.incarnation:
                self._updates.put(known)
            return
        self._merge(sender)

    def _merge(self, member: Member) -> None:
        if member.vm == self._me.vm:
            self._refute(member)
            return
        known = self._members.get(member.vm)
        if known is not None and not _supersedes(member, known):
            return
        self._adopt(member)

    def _refute(self, claim: Member) -> None:
        if _supersedes(claim, self._me):
            self._set_me(self._me.status, claim.incarnation + 1)

    def _adopt(self, member: Member) -> None:
        known = self._members.get(member.vm)
        self._members[member.vm] = member
        # Only what VMs do that take work, or have taken it until now, concerns
        # everybody; on a large fleet most of the others stand by.
        serves = member.status is Status.ALIVE
        concerns_all = serves or member.vm in self._serving
        if serves:
            self._serving.add(member.vm)
        elif member.status is Status.JOINING:
            self._serving.discard(member.vm)
        if concerns_all:
            self._updates.put(member)
        if member.status is Status.SUSPECT:
            self._suspected_at[member.vm] = self._clock.monotonic()
        else:
            self._suspected_at.pop(member.vm, None)
        if known is None or known.status is not member.status:
            self.generation += 1
            self._has_news = self._has_news or concerns_all
            self._log.record(
                'member',
                member=member.vm,
                status=member.status.name.lower(),
                incarnation=member.incarnation,
            )

    def _suspect(self, target: Member) -> None:
        known = self._members[target.vm]
        if known.status < Status.SUSPECT:
            self._adopt(msgspec.structs.replace(known, status=Status.SUSPECT))

    def _expire_suspicions(self) -> None:
        now = self._clock.monotonic()
        for vm, since in tuple(self._suspected_at.items()):
            if now - since >= _SUSPICION_S:
                known = self._members[vm]
                self._adopt(msgspec.structs.replace(known, status=Status.DEAD))

    def _take_updates(self) -> list[Member]:
        return self._updates.take(len(self._members))

    def _my_digest(self) -> Digest:
        return Digest(self._configuration.version, self._configuration.digest)


def _supersedes(claim: Member, known: Member) -> bool:
    return (claim.incarnation, claim.status) > (
        known.incarnation,
        known.status,
    )
