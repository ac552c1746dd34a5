"""Messages between entry VMs, batched in length-prefixed frames.

A frame is a 4-byte big-endian length and a MessagePack array of messages.
"""

from __future__ import annotations

import struct
from typing import Protocol, TypeAlias

import msgspec

from ..exceptions import ConnectionLostError, ProtocolViolationError
from ._http_client import StreamSocket

_LENGTH = struct.Struct('>I')
_MAXIMUM_FRAME_BYTES = 64_000_000
_READ_BYTES = 262144


class Attempt(msgspec.Struct, array_like=True):
    """A sub-request on one range of one server."""

    sub_id: int
    server_id: str
    start: int
    end: int
    wait_if_cold: bool


class Submit(msgspec.Struct, tag=0, array_like=True):
    """Sub-requests of one request, for servers that the receiver owns.

    Parameters:
        remaining_ms: time left until the deadline when sent.
    """

    request_id: str
    service: str
    snapshot: int
    remaining_ms: int
    parameters: bytes
    idempotency_key: str
    attempts: list[Attempt]


class Cancel(msgspec.Struct, tag=1, array_like=True):
    """The result of a sub-request is no longer wanted."""

    sub_id: int


class Answered(msgspec.Struct, tag=2, array_like=True):
    """Rows of one sub-request."""

    sub_id: int
    instance: str
    rows: bytes


class Failed(msgspec.Struct, tag=3, array_like=True):
    """A sub-request that gave no rows; ``reason`` is a Failure."""

    sub_id: int
    reason: str
    sent: bool


class ServerStateUpdate(msgspec.Struct, tag=4, array_like=True):
    """State of a server that the sender owns."""

    server_id: str
    instance: str
    phase: str
    indexes: dict[int, list[tuple[int, int]]]


class CommitForward(msgspec.Struct, tag=5, array_like=True):
    """A caller's non-idempotent request, for the VM its key names."""

    call_id: int
    body: bytes
    idempotency_key: str
    request_id: str


class CommitReply(msgspec.Struct, tag=6, array_like=True):
    """The response to a CommitForward, as sent to the caller."""

    call_id: int
    status: int
    body: bytes


class SyncRequest(msgspec.Struct, tag=7, array_like=True):
    """Asks for the documents with a platform version above ``after``."""

    after: int


class SyncObjects(msgspec.Struct, tag=8, array_like=True):
    """Documents that answer a SyncRequest: kind, name, version, JSON text."""

    objects: list[tuple[str, str, int, bytes | None]]


class Hello(msgspec.Struct, tag=9, array_like=True):
    """First message on a connection, from the VM that opened it."""

    vm: str
    incarnation: int


Message: TypeAlias = (
    Submit
    | Cancel
    | Answered
    | Failed
    | ServerStateUpdate
    | CommitForward
    | CommitReply
    | SyncRequest
    | SyncObjects
    | Hello
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Message])


class FrameChannel(Protocol):
    """Sends and receives batches of messages."""

    async def send(self, messages: list[Message]) -> None:
        """Send a batch."""

    async def receive(self) -> list[Message]:
        """Receive the next batch."""

    async def close(self) -> None:
        """Close the connection."""


class FrameStream:
    """Frames over a connected socket."""

    def __init__(self, stream: StreamSocket) -> None:
        """Take over the socket."""
        self._socket = stream
        self._buffer = bytearray()

    async def send(self, messages: list[Message]) -> None:
        """Send one frame.

        Raises:
            ConnectionLostError: the connection is gone.
        """
        body = _encoder.encode(messages)
        try:
            await self._socket.sendall(_LENGTH.pack(len(body)) + body)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    async def receive(self) -> list[Message]:
        """Receive one frame.

        Raises:
            ConnectionLostError: the connection is gone.
            ProtocolViolationError: the frame is malformed.
        """
        size = _LENGTH.unpack(await self._read(_LENGTH.size))[0]
        if size > _MAXIMUM_FRAME_BYTES:
            raise ProtocolViolationError('frame too large')
        body = await self._read(size)
        try:
            return _decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise ProtocolViolationError(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        await self._socket.close()

    async def _read(self, size: int) -> bytes:
        while len(self._buffer) < size:
            try:
                received = await self._socket.recv(_READ_BYTES)
            except OSError as error:
                raise ConnectionLostError(str(error)) from error
            if not received:
                raise ConnectionLostError('closed by the peer')
            self._buffer += received
        taken = bytes(self._buffer[:size])
        self._buffer = self._buffer[size:]
        return taken
