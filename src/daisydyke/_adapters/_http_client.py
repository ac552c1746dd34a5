"""HTTP/1.1 client that uses h11 over curio sockets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import h11

from .._domain._model import Address, HeaderFields
from ..exceptions import ConnectionLostError, ProtocolViolationError
from ._sockets import connect, has_unread

_READ_BYTES = 65536
_MAXIMUM_BODY_BYTES = 1 << 24
# Heads, interim responses, chunk sizes and trailers.
_MAXIMUM_OVERHEAD_BYTES = 65536
# Allows for bodies in small chunks.
_OVERHEAD_PER_BODY_BYTE = 2


class StreamSocket(Protocol):
    """The methods of a curio socket that the adapters use."""

    def fileno(self) -> int:
        """Return the file descriptor."""

    async def recv(self, maxsize: int) -> bytes:
        """Receive up to ``maxsize`` bytes; empty at the end of the stream."""

    async def sendall(self, payload: bytes) -> None:
        """Send all bytes."""

    async def close(self) -> None:
        """Close the socket."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response.

    Parameters:
        body: whole body; a HeldBody is freed while it is sent.
        headers: header fields by lower-case name.
        fields: further header fields that the server sends unchanged.
        content_type: content type that the server sends; None to send none.
    """

    status: int
    body: bytes | bytearray
    headers: dict[str, str] = field(default_factory=dict)
    fields: HeaderFields = ()
    content_type: str | None = 'application/json'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request.

    Parameters:
        target: path with the query string.
        headers: header fields by lower-case name.
        fields: all header fields as the server received them, in order and
            with lower-case names.
        round_trip: seconds that the transport of the request and of its
            response takes, as far as the server knows.
        connecting: seconds that opening the connection took, if this is its
            first request.
    """

    method: str
    target: str
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)
    fields: HeaderFields = ()
    round_trip: float = 0
    connecting: float = 0


class HttpConnection:
    """Connection that carries one request at a time.

    A request opens a new socket if there is none or if the previous request
    did not end with a whole response that permits keep-alive.

    Parameters:
        address: address of the peer.
        detect_dead_peer: whether the connection fails within a few seconds if
            the peer's host stops responding while a response is awaited.
    """

    def __init__(
        self,
        address: Address,
        *,
        detect_dead_peer: bool = False,
    ) -> None:
        """Prepare a connection that is opened by the first request."""
        self._address = address
        self._detect_dead_peer = detect_dead_peer
        self._socket: StreamSocket | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._sent = False
        self._ended = False
        self._received_bytes = 0
        self._body_bytes = 0

    @property
    def reusable(self) -> bool:
        """Whether the next request can use the open socket.

        It cannot after bytes that belong to no request, such as a second copy
        of the previous response.
        """
        return (
            self._socket is not None
            and self._http.our_state is h11.IDLE
            and not self._http.trailing_data[0]
            and not has_unread(self._socket.fileno())
        )

    @property
    def sent(self) -> bool:
        """Whether any byte of the latest request may have been sent."""
        return self._sent

    async def request(self, request: HttpRequest) -> HttpResponse:
        """Send a request and read its whole response.

        Raises:
            ConnectionLostError: the connection failed before the response
                was complete; see ``sent``.
            ProtocolViolationError: the response is not valid HTTP/1.1 or too
                large.
        """
        self._sent = False
        self._ended = False
        try:
            return await self._exchange(request)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        except h11.RemoteProtocolError as error:
            if self._ended:
                raise ConnectionLostError(
                    'connection closed before the response ended'
                ) from error
            raise ProtocolViolationError(str(error)) from error

    async def close(self) -> None:
        """Close the socket if it is open."""
        if self._socket is None:
            return
        stream = self._socket
        self._socket = None
        await stream.close()

    async def connect(self) -> None:
        """Open a new socket, closing the current one if there is one.

        Raises:
            ConnectionLostError: the peer cannot be reached.
        """
        await self.close()
        self._http = h11.Connection(h11.CLIENT)
        self._socket = await connect(
            self._address.host,
            self._address.port,
            detect_dead_peer=self._detect_dead_peer,
        )

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        if not self.reusable:
            await self.connect()
        stream = self._socket
        if stream is None:
            raise ConnectionLostError(
                'connection closed while it was being opened'
            )
        payload = self._encode(request)
        self._received_bytes = 0
        self._body_bytes = 0
        self._sent = True
        await stream.sendall(payload)
        return await self._read(stream)

    def _encode(self, request: HttpRequest) -> bytes:
        headers = [
            ('host', str(self._address)),
            ('content-length', str(len(request.body))),
            *request.headers.items(),
        ]
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _read(self, stream: StreamSocket) -> HttpResponse:
        head = await self._next_event(stream)
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event(stream)
        if not isinstance(head, h11.Response):
            raise ConnectionLostError(
                'connection closed before the response began'
            )
        body = await self._read_body(stream)
        self._start_next_cycle()
        return HttpResponse(head.status_code, body, _decode_headers(head))

    async def _read_body(self, stream: StreamSocket) -> bytes:
        parts: list[bytes] = []
        event = await self._next_event(stream)
        while isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > _MAXIMUM_BODY_BYTES:
                raise ProtocolViolationError('response body too large')
            parts.append(bytes(event.data))
            event = await self._next_event(stream)
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionLostError(
                'connection closed before the response ended'
            )
        return b''.join(parts)

    async def _next_event(self, stream: StreamSocket) -> h11.Event:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._check_overhead()
            received = await stream.recv(_READ_BYTES)
            self._ended = not received
            self._received_bytes += len(received)
            self._http.receive_data(received)
            event = self._http.next_event()
        return event

    def _check_overhead(self) -> None:
        allowed = (
            _MAXIMUM_OVERHEAD_BYTES + self._body_bytes * _OVERHEAD_PER_BODY_BYTE
        )
        if self._received_bytes - self._body_bytes > allowed:
            raise ProtocolViolationError('response without an end')

    def _start_next_cycle(self) -> None:
        states = {self._http.our_state, self._http.their_state}
        if states == {h11.DONE}:
            self._http.start_next_cycle()


def _decode_headers(head: h11.Response) -> dict[str, str]:
    return {
        name.decode('ascii'): text.decode('latin-1')
        for name, text in head.headers
    }
