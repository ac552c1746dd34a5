"""Membership of entry VMs by the SWIM protocol (Das, Gupta, Motivala 2002).

Each VM probes one member per period, directly and then through other members,
so that its load does not depend on the number of members. Updates are
piggybacked on pings and acknowledgements. A suspected member refutes the
suspicion with a higher incarnation.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
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
from .._ports import Clock, DecisionLog, VmRecord
from ._pending_acks import PendingAcks
from ._probe_targets import ProbeTargets
from ._suspicions import Suspicions
from ._updates import UpdateBuffer

_PROBE_PERIOD_S = 0.5
_ACK_TIMEOUT_S = 0.15
_INDIRECT_PROBE_COUNT = 2
# Members that are pinged at once to pass on an update.
_URGENT_PING_COUNT = 3


class DatagramTransport(Protocol):
    """Unreliable transport of gossip datagrams between hosts."""

    async def send(self, host: str, datagram: Datagram) -> None:
        """Send a datagram without waiting for its delivery."""

    async def receive(self) -> tuple[str, Datagram]:
        """Return the next datagram and its sender's host."""


class DigestSource(Protocol):
    """Version and digest of the objects in force, which members compare."""

    @property
    def version(self) -> int:
        """Version of the objects in force on this VM."""

    @property
    def digest(self) -> int:
        """Digest of the objects in force on this VM."""


class DigestMismatchHandler(Protocol):
    """Handles members whose digest differs from this VM's."""

    async def on_digest_mismatch(self, member: Member, digest: Digest) -> None:
        """Handle a datagram whose digest differs from this VM's.

        Parameters:
            member: sender of the datagram.
            digest: digest that the datagram carries.
        """


class Membership:
    """Members known to this VM, itself included.

    Parameters:
        me: the entry of this VM.
        transport: carries the datagrams.
        configuration: supplies the digest sent with pings and
            acknowledgements.
        mismatch_handler: called when a datagram carries another digest.
        clock: measures periods and suspicions.
        log: gets a record for each change of a member's status.

    Attributes:
        standing_by: whether this VM stands by, without serving requests; it
            then probes less often.
        joined: set once this VM serves requests.
        listed: entries of the platform's VM list when it was read last.
        generation: counts changes of members' entries.
    """

    def __init__(
        self,
        me: Member,
        transport: DatagramTransport,
        configuration: DigestSource,
        mismatch_handler: DigestMismatchHandler,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Initialize with this VM as the only member."""
        self._me = me
        self._transport = transport
        self._configuration = configuration
        self._mismatch_handler = mismatch_handler
        self._clock = clock
        self._log = log
        self._members: dict[str, Member] = {me.vm: me}
        self._suspicions = Suspicions(clock)
        self._updates = UpdateBuffer()
        self._acks = PendingAcks()
        self._indirect_pings: dict[int, tuple[str, int]] = {}
        self._targets = ProbeTargets(me.vm, self._members)
        self.standing_by = False
        self._has_urgent_update = False
        self._serving_vms: set[str] = set()
        self.joined = curio.Event()
        self.listed: Sequence[VmRecord] = ()
        self.generation = 0

    @property
    def me(self) -> Member:
        """Entry of this VM as sent to other members."""
        return self._me

    @property
    def members(self) -> dict[str, Member]:
        """All members by VM name, including dead ones."""
        return self._members

    def alive(self) -> list[Member]:
        """Return the members that may get work, including suspected ones."""
        return [
            member
            for member in self._members.values()
            if member.status in {Status.ALIVE, Status.SUSPECT}
        ]

    def addressable(self) -> list[Member]:
        """Return the members whose addresses callers may get."""
        return [
            member
            for member in self._members.values()
            if member.status is Status.ALIVE
        ]

    def is_dead(self, vm: str) -> bool:
        """Return whether a VM is unknown or considered dead."""
        member = self._members.get(vm)
        return member is None or member.status is Status.DEAD

    async def join(self) -> None:
        """Announce that this VM serves requests from now on."""
        self.standing_by = False
        await self.joined.set()
        if self._me.status is Status.JOINING:
            self._set_me(Status.ALIVE, self._me.incarnation + 1)

    def leave(self) -> None:
        """Announce that this VM takes no new requests."""
        self._set_me(Status.LEAVING, self._me.incarnation + 1)

    async def run_probes(self) -> None:
        """Probe one member per period until cancelled."""
        for period in count():
            started = self._clock.monotonic()
            self._confirm_suspicions()
            await self._remind_suspects()
            target = self._next_target(period)
            if target is not None:
                await self._probe(target)
            spent = self._clock.monotonic() - started
            await curio.sleep(max(0, _PROBE_PERIOD_S - spent))

    async def run_receiver(self) -> None:
        """Receive and handle datagrams until cancelled."""
        while True:
            host, datagram = await self._transport.receive()
            await self._handle(host, datagram)

    async def ping(self, host: str) -> int:
        """Ping a host and return the sequence number of the ping."""
        return await self._ping(host, self._next_updates())

    async def _ping(self, host: str, updates: list[Member]) -> int:
        sequence = self._acks.add()
        ping = Ping(sequence, self._me, self._own_digest(), updates)
        await self._transport.send(host, ping)
        return sequence

    def _set_me(self, status: Status, incarnation: int) -> None:
        self._me = msgspec.structs.replace(
            self._me,
            status=status,
            incarnation=incarnation,
        )
        self._adopt(self._me)

    def _next_target(self, period: int) -> Member | None:
        if not self.standing_by:
            return self._targets.next_serving_by(period)
        return self._targets.next_standing_by(
            period, has_suspects=self._suspicions.has_any
        )

    async def _probe(self, target: Member) -> None:
        sequence = await self.ping(target.host)
        if await self._acks.wait(sequence, _ACK_TIMEOUT_S):
            return
        helpers = [
            member
            for member in self.alive()
            if member.vm not in {target.vm, self._me.vm}
        ]
        helper_count = min(_INDIRECT_PROBE_COUNT, len(helpers))
        for helper in random.sample(helpers, helper_count):
            request = PingRequest(sequence, self._me, target.host)
            await self._transport.send(helper.host, request)
        if not await self._acks.wait(sequence, _ACK_TIMEOUT_S):
            self._suspect(target)

    async def _handle(self, host: str, datagram: Datagram) -> None:
        self._merge_sender(datagram.sender)
        if isinstance(datagram, PingRequest):
            sequence = await self.ping(datagram.target_host)
            self._indirect_pings[sequence] = (host, datagram.sequence)
            return
        for member in datagram.updates:
            self._merge(member)
        if isinstance(datagram, Ping):
            await self._acknowledge(host, datagram.sequence)
        else:
            await self._receive_ack(datagram)
        if datagram.configuration != self._own_digest():
            await self._mismatch_handler.on_digest_mismatch(
                datagram.sender, datagram.configuration
            )
        if self._has_urgent_update:
            await self._send_urgent_updates()

    async def _send_urgent_updates(self) -> None:
        """Ping some members at once if any has not joined.

        Members that stand by probe less often, so that updates would spread
        slowly on probes alone.
        """
        self._has_urgent_update = False
        others = [
            member
            for member in self._members.values()
            if member.status is not Status.DEAD and member.vm != self._me.vm
        ]
        if all(other.status is not Status.JOINING for other in others):
            return
        ping_count = min(_URGENT_PING_COUNT, len(others))
        for member in random.sample(others, ping_count):
            await self.ping(member.host)

    async def _acknowledge(self, host: str, sequence: int) -> None:
        ack = Ack(sequence, self._me, self._own_digest(), self._next_updates())
        await self._transport.send(host, ack)

    async def _receive_ack(self, ack: Ack) -> None:
        await self._acks.acknowledge(ack.sequence)
        requester = self._indirect_pings.pop(ack.sequence, None)
        if requester is not None:
            await self._acknowledge(*requester)

    def _merge_sender(self, sender: Member) -> None:
        known = self._members.get(sender.vm)
        if known is None or known.status is Status.DEAD:
            # The sender may be a new process that does not know the tombstone
            # of its VM; the tombstone is sent so that the process refutes it.
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
        # Only VMs that serve requests, or served them until now, are of
        # interest to all members; in a large fleet, most others stand by.
        serves = member.status is Status.ALIVE
        is_disseminated = serves or member.vm in self._serving_vms
        if serves:
            self._serving_vms.add(member.vm)
        elif member.status is Status.JOINING:
            self._serving_vms.discard(member.vm)
        if is_disseminated:
            self._updates.put(member)
        if member.status is Status.SUSPECT:
            self._suspicions.add(member.vm)
        else:
            self._suspicions.discard(member.vm)
        self.generation += 1
        if known is None or known.status is not member.status:
            self._has_urgent_update = self._has_urgent_update or is_disseminated
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

    def _confirm_suspicions(self) -> None:
        for vm in self._suspicions.confirmed():
            known = self._members[vm]
            self._adopt(msgspec.structs.replace(known, status=Status.DEAD))

    async def _remind_suspects(self) -> None:
        """Tell suspected members directly, so that they can refute in time."""
        for vm in self._suspicions.take_due_reminders():
            suspect = self._members[vm]
            await self._ping(suspect.host, [suspect])

    def _next_updates(self) -> list[Member]:
        return self._updates.next_batch(len(self._members))

    def _own_digest(self) -> Digest:
        return Digest(self._configuration.version, self._configuration.digest)


def _supersedes(claim: Member, known: Member) -> bool:
    return (claim.incarnation, claim.status) > (
        known.incarnation,
        known.status,
    )
