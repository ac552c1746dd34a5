"""Gossip datagrams between entry VMs, encoded as MessagePack over UDP."""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec

from .._domain._model import Address
from ._udp import UdpMessages


class Status(IntEnum):
    """State of a member; at equal incarnations, the higher value wins."""

    ALIVE = 0
    JOINING = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


class Member(msgspec.Struct, array_like=True, frozen=True):
    """State of a member, as disseminated by gossip.

    Parameters:
        vm: name of the VM.
        host: IP address of the VM.
        domain: failure domain of the VM.
        caller_port: port for callers.
        peer_port: port for connections from other members.
        start: number of the member's process; a later process on the VM has
            a higher one.
        incarnation: number that the member itself increases in order to
            refute a suspicion.
        status: state of the member.
        speed: processing speed of a process on the VM; 1 is a whole core.
    """

    vm: str
    host: str
    domain: str
    caller_port: int
    peer_port: int
    start: int
    incarnation: int
    status: Status
    speed: float = 1


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """Version and digest of a member's state, which members compare."""

    version: int
    digest: int


class Ping(msgspec.Struct, tag=0, array_like=True):
    """Probe that the receiver answers with an Ack.

    Parameters:
        sequence: number that the Ack repeats.
        sender: state of the sender.
        configuration: version and digest of the sender's state.
        updates: states of other members.
    """

    sequence: int
    sender: Member
    configuration: Digest
    updates: list[Member]


class Ack(msgspec.Struct, tag=1, array_like=True):
    """Answer to the Ping with the same sequence number."""

    sequence: int
    sender: Member
    configuration: Digest
    updates: list[Member]


class PingRequest(msgspec.Struct, tag=2, array_like=True):
    """Request to ping a third member on behalf of the sender."""

    sequence: int
    sender: Member
    target_host: str


Datagram: TypeAlias = Ping | Ack | PingRequest

_GOSSIP_DECODER = msgspec.msgpack.Decoder(Datagram)


class UdpGossip(UdpMessages[Datagram]):
    """Sends and receives gossip datagrams on one UDP port."""

    def __init__(self, address: Address) -> None:
        """Bind the socket.

        Raises:
            OSError: the address cannot be bound, such as when it is in use.
        """
        super().__init__(address, _GOSSIP_DECODER)
