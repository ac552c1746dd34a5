"""HTTP/1.1 requests on one connection, by h11 over curio sockets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import h11

from .._domain._model import Address, HeaderFields
from ..exceptions import ConnectionLostError, ProtocolViolationError
from ._sockets import connect

_READ_BYTES = 65536
_MAXIMUM_BODY_BYTES = 1 << 24


class StreamSocket(Protocol):
    """The part of a curio socket that HTTP needs."""

    async def recv(self, maxsize: int) -> bytes:
        """Receive up to ``maxsize`` bytes; empty at the end."""

    async def sendall(self, payload: bytes) -> None:
        """Send all bytes."""

    async def close(self) -> None:
        """Close the socket."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response; header names are lower case.

    Parameters:
        fields: further header fields, sent as they are.
        content_type: None for a response without one of its own.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    fields: HeaderFields = ()
    content_type: str | None = 'application/json'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; ``target`` is the path with its query string.

    Parameters:
        fields: all header fields as received, with lower-case names.
    """

    method: str
    target: str
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)
    fields: HeaderFields = ()


class HttpConnection:
    """One connection, one request at a time.

    Parameters:
        address: peer; connected to on first use.
        detect_dead_peer: whether a peer whose host falls silent is noticed
            within seconds while a response is waited for.

    A connection on which a request has not ended well is not reused:
    ``reusable`` tells.
    """

    def __init__(
        self,
        address: Address,
        *,
        detect_dead_peer: bool = False,
    ) -> None:
        """Connect later."""
        self._address = address
        self._detect_silence = detect_dead_peer
        self._socket: StreamSocket | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._sent = False

    @property
    def reusable(self) -> bool:
        """Whether the next request can go over the open socket."""
        return self._socket is not None and self._http.our_state is h11.IDLE

    @property
    def sent(self) -> bool:
        """Whether a byte of the latest request may have left this VM."""
        return self._sent

    async def request(self, request: HttpRequest) -> HttpResponse:
        """Send a request and read its whole response.

        Raises:
            ConnectionLostError: no whole response came; see ``sent``.
            ProtocolViolationError: the peer does not speak HTTP/1.1.
        """
        self._sent = False
        try:
            return await self._exchange(request)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        except h11.RemoteProtocolError as error:
            raise ProtocolViolationError(str(error)) from error

    async def close(self) -> None:
        """Close the socket if it is open."""
        if self._socket is None:
            return
        stream = self._socket
        self._socket = None
        await stream.close()

    async def connect(self) -> None:
        """Open a new socket.

        Raises:
            ConnectionLostError: the peer cannot be reached.
        """
        await self.close()
        self._http = h11.Connection(h11.CLIENT)
        self._socket = await connect(
            self._address.host,
            self._address.port,
            detect_dead_peer=self._detect_silence,
        )

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        if not self.reusable:
            await self.connect()
        stream = self._socket
        if stream is None:
            raise ConnectionLostError('closed while connecting')
        payload = self._encode(request)
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
            raise ConnectionLostError('closed before the response began')
        body = await self._read_body(stream)
        self._finish_cycle()
        return HttpResponse(head.status_code, body, _names(head))

    async def _read_body(self, stream: StreamSocket) -> bytes:
        parts: list[bytes] = []
        size = 0
        event = await self._next_event(stream)
        while isinstance(event, h11.Data):
            size += len(event.data)
            if size > _MAXIMUM_BODY_BYTES:
                raise ProtocolViolationError('response body too large')
            parts.append(bytes(event.data))
            event = await self._next_event(stream)
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionLostError('closed before the response ended')
        return b''.join(parts)

    async def _next_event(self, stream: StreamSocket) -> h11.Event:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await stream.recv(_READ_BYTES))
            event = self._http.next_event()
        return event

    def _finish_cycle(self) -> None:
        states = {self._http.our_state, self._http.their_state}
        if states == {h11.DONE}:
            self._http.start_next_cycle()


def _names(head: h11.Response) -> dict[str, str]:
    return {
        name.decode('ascii'): text.decode('latin-1')
        for name, text in head.headers
    }
