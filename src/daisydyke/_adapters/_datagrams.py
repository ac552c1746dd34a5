"""Gossip datagrams between entry VMs, as MessagePack."""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import curio
import msgspec

from .._domain._model import Address

_MAXIMUM_DATAGRAM_BYTES = 1400


class Status(IntEnum):
    """State of a member; of equal incarnations the higher status wins."""

    ALIVE = 0
    JOINING = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


class Member(msgspec.Struct, array_like=True, frozen=True):
    """What members tell each other about a member.

    Parameters:
        incarnation: raised by the member itself, to refute a suspicion.
        start: identifies the process among those of its VM; rises.
        speed: how fast a process runs there, 1 for a whole core.
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
    """Identifies the configuration in force at a member."""

    version: int
    digest: int


class Ping(msgspec.Struct, tag=0, array_like=True):
    """Asks the receiver for an Ack."""

    sequence: int
    sender: Member
    configuration: Digest
    updates: list[Member]


class Ack(msgspec.Struct, tag=1, array_like=True):
    """Answers a Ping with the same sequence number."""

    sequence: int
    sender: Member
    configuration: Digest
    updates: list[Member]


class PingRequest(msgspec.Struct, tag=2, array_like=True):
    """Asks the receiver to ping a third member for the sender."""

    sequence: int
    sender: Member
    target_host: str


Datagram: TypeAlias = Ping | Ack | PingRequest

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


class UdpGossip:
    """Sends and receives datagrams on one UDP port."""

    def __init__(self, address: Address) -> None:
        """Bind the socket.

        Raises:
            OSError: the address is in use.
        """
        self._port = address.port
        self._socket = curio.socket.socket(
            curio.socket.AF_INET,
            curio.socket.SOCK_DGRAM,
        )
        self._socket.bind((address.host, address.port))
        self.bytes_sent = 0

    async def send(self, host: str, datagram: Datagram) -> None:
        """Send one datagram; a lost one is not noticed."""
        payload = _encoder.encode(datagram)
        self.bytes_sent += len(payload)
        try:
            await self._socket.sendto(payload, (host, self._port))
        except OSError:
            return

    async def receive(self) -> tuple[str, Datagram]:
        """Receive the next well-formed datagram and its sender's host."""
        while True:
            payload, source = await self._socket.recvfrom(
                _MAXIMUM_DATAGRAM_BYTES,
            )
            datagram = _decode(payload)
            if datagram is not None:
                return source[0], datagram


def _decode(payload: bytes) -> Datagram | None:
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return None
