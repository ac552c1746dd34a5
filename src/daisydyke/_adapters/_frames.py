"""Messages between entry VMs, batched in length-prefixed frames.

A frame is the length of its body as a 4-byte big-endian integer, followed by
the body, a MessagePack array of messages.
"""

from __future__ import annotations

import struct
from typing import Protocol, TypeAlias

import msgspec

from .._decoding import DECODING_ERRORS
from ..exceptions import (
    ConnectionLostError,
    ProtocolViolationError,
)
from ._http_client import StreamSocket

_LENGTH_PREFIX = struct.Struct('>I')
_MAXIMUM_FRAME_BYTES = 64_000_000
_READ_BYTES = 262144


class Attempt(msgspec.Struct, array_like=True):
    """Sub-request for one key range on one server.

    Parameters:
        sub_id: identifier of the sub-request, assigned by the sender.
        start: first key of the range.
        end: key after the last one of the range.
        wait_if_cold: wait until the ramp of a cold server admits the
            sub-request, deadline permitting, instead of being refused.
    """

    sub_id: int
    server_id: str
    start: int
    end: int
    wait_if_cold: bool


class Submit(msgspec.Struct, tag=0, array_like=True):
    """Sub-requests of one request for servers that the receiver owns.

    Parameters:
        snapshot: index version to use.
        remaining_ms: time from sending until the deadline.
        parameters: JSON text of the request's parameters.
        idempotency_key: empty for a search.
    """

    request_id: str
    service: str
    snapshot: int
    remaining_ms: int
    parameters: bytes
    idempotency_key: str
    attempts: list[Attempt]


class Cancel(msgspec.Struct, tag=1, array_like=True):
    """Cancellation of a sub-request."""

    sub_id: int


class Answered(msgspec.Struct, tag=2, array_like=True):
    """Rows of a sub-request, as the JSON text of an array."""

    sub_id: int
    instance: str
    rows: bytes


class Failed(msgspec.Struct, tag=3, array_like=True):
    """Failure of a sub-request.

    Parameters:
        reason: value of a Failure.
        sent: whether the server may have received the request.
    """

    sub_id: int
    reason: str
    sent: bool


class ServerStateUpdate(msgspec.Struct, tag=4, array_like=True):
    """State of a server that the sender owns.

    Parameters:
        phase: value of a ServerPhase.
        indexes: key ranges that the server serves, by index version.
    """

    server_id: str
    instance: str
    phase: str
    indexes: dict[int, list[tuple[int, int]]]


class CommitForward(msgspec.Struct, tag=5, array_like=True):
    """Non-idempotent request, forwarded to the VM assigned to its key."""

    call_id: int
    body: bytes
    idempotency_key: str
    request_id: str


class CommitReply(msgspec.Struct, tag=6, array_like=True):
    """Response to a CommitForward, to be sent to the caller unchanged."""

    call_id: int
    status: int
    body: bytes


class SyncRequest(msgspec.Struct, tag=7, array_like=True):
    """Request for the documents with a platform version above ``after``."""

    after: int


class SyncObjects(msgspec.Struct, tag=8, array_like=True):
    """Answer to a SyncRequest.

    Parameters:
        objects: kind, name, version and JSON text of each document; the text
            is None if the document is deleted.
    """

    objects: list[tuple[str, str, int, bytes | None]]


class Hello(msgspec.Struct, tag=9, array_like=True):
    """First message on a connection, sent by the VM that opened it."""

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
    """Channel for batches of messages."""

    async def send(self, messages: list[Message]) -> None:
        """Send a batch.

        Raises:
            ConnectionLostError: the connection has failed or is closed.
        """

    async def receive(self) -> list[Message]:
        """Wait for the next batch.

        Raises:
            ConnectionLostError: the connection has failed or is closed.
            ProtocolViolationError: the peer has sent malformed data.
        """

    async def close(self) -> None:
        """Close the connection."""


class FrameStream:
    """FrameChannel over a connected socket.

    Parameters:
        stream: connected socket, which is closed together with the channel.
    """

    def __init__(self, stream: StreamSocket) -> None:
        """Initialize with an empty receive buffer."""
        self._socket = stream
        self._buffer = bytearray()

    async def send(self, messages: list[Message]) -> None:
        """Send messages as one frame.

        Raises:
            ConnectionLostError: the socket has failed.
        """
        body = _encoder.encode(messages)
        try:
            await self._socket.sendall(_LENGTH_PREFIX.pack(len(body)) + body)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    async def receive(self) -> list[Message]:
        """Wait for the messages of the next frame.

        Raises:
            ConnectionLostError: the socket has failed or the peer has closed
                the connection.
            ProtocolViolationError: the frame is malformed or too large.
        """
        size = _LENGTH_PREFIX.unpack(
            await self._read_exactly(_LENGTH_PREFIX.size)
        )[0]
        if size > _MAXIMUM_FRAME_BYTES:
            raise ProtocolViolationError('frame too large')
        body = await self._read_exactly(size)
        try:
            return _decoder.decode(body)
        except DECODING_ERRORS as error:
            raise ProtocolViolationError(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        await self._socket.close()

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            try:
                received = await self._socket.recv(_READ_BYTES)
            except OSError as error:
                raise ConnectionLostError(str(error)) from error
            if not received:
                raise ConnectionLostError('connection closed by the peer')
            self._buffer += received
        chunk = bytes(self._buffer[:size])
        self._buffer = self._buffer[size:]
        return chunk
