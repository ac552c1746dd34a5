"""HTTP/1.1 server by h11: one task for each connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import curio
import h11

from .._domain._model import Address
from .._ports import Clock
from ._clock import RuntimeClock
from ._http_client import HttpRequest, HttpResponse, StreamSocket
from ._sockets import disable_delay

_READ_BYTES = 65536
_MAXIMUM_AHEAD_BYTES = 262144
_BACKLOG = 512
_DRAIN_POLL_S = 0.01
_SWEEP_INTERVAL_S = 0.5
_BODY_LENGTH_FIELDS = frozenset((b'content-length', b'transfer-encoding'))

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """What a client may send, in bytes, and how slowly, in seconds."""

    head_bytes: int = 16384
    body_bytes: int = 65536
    head_timeout: float = 5.0
    idle_timeout: float = 60.0


class _RequestTooLargeError(Exception):
    """The body exceeds the published bound."""


class HttpServer:
    """Serves requests until it is told to drain.

    Parameters:
        handler: answers one request; its errors are its own to map.
        cancel_on_disconnect: cancel the handler of a request whose client
            closes the connection.
        limits: returns the limits for connections and requests from now on.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        cancel_on_disconnect: bool = False,
        limits: Callable[[], HttpLimits] = HttpLimits,
        clock: Clock | None = None,
    ) -> None:
        """Keep the handler; nothing listens yet."""
        self.handler = handler
        self.cancel_on_disconnect = cancel_on_disconnect
        self.limits = limits
        self.clock = clock or RuntimeClock()
        self.closing = False
        self.requests_in_progress = 0
        self._connections: set[_Connection] = set()
        self._tasks: list[curio.Task] = []

    async def start(self, address: Address) -> None:
        """Bind and begin to accept connections.

        Raises:
            OSError: the address is in use.
        """
        listener = curio.tcp_server_socket(
            address.host,
            address.port,
            backlog=_BACKLOG,
        )
        for run in (self._accept(listener), self._sweep()):
            self._tasks.append(await curio.spawn(run, daemon=True))

    def stop_keep_alive(self) -> None:
        """Go on serving, but end each connection with its next response."""
        self.closing = True

    async def drain(self) -> None:
        """Stop listening, finish what is under way, close idle connections."""
        self.closing = True
        for task in self._tasks:
            await task.cancel()
        for connection in tuple(self._connections):
            await connection.close_if_idle()
        while self.requests_in_progress:
            await curio.sleep(_DRAIN_POLL_S)

    async def _accept(self, listener: curio.io.Socket) -> None:
        async with listener:
            while True:
                client, _ = await listener.accept()
                disable_delay(client)
                await curio.spawn(self._serve(client), daemon=True)

    async def _serve(self, client: StreamSocket) -> None:
        connection = _Connection(self, client)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            await client.close()

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(_SWEEP_INTERVAL_S)
            now = self.clock.monotonic()
            for connection in tuple(self._connections):
                await connection.close_if_overdue(now)


class _Connection:
    """One client connection and the request on it.

    The task that reads goes on reading while a request is answered, so that
    it sees the client leave; the request is answered by a task of its own.
    """

    def __init__(self, server: HttpServer, client: StreamSocket) -> None:
        self._server = server
        self._client = client
        self._limits = server.limits()
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.head_bytes,
        )
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._answering: curio.Task | None = None
        self._reader: curio.Task | None = None
        self._quiet_since = server.clock.monotonic()
        self._partial = False

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        self._reader = await curio.current_task()
        try:
            await self._read()
        except (OSError, curio.CancelledError):
            return
        finally:
            if self._answering is not None:
                await self._leave(self._answering)

    async def close_if_idle(self) -> None:
        """End the connection unless a request is under way."""
        if self._answering is None and self._reader is not None:
            await self._reader.cancel(blocking=False)

    async def close_if_overdue(self, now: float) -> None:
        """End the connection of a client that is idle or slow for too long."""
        limits = self._limits
        allowed = limits.head_timeout if self._partial else limits.idle_timeout
        if now - self._quiet_since > allowed:
            await self.close_if_idle()

    async def _read(self) -> None:
        ahead = 0
        while True:
            received = await self._client.recv(_READ_BYTES)
            if not received:
                return
            self._http.receive_data(received)
            if self._answering is None:
                ahead = 0
                if not await self._advance():
                    return
            else:
                ahead += len(received)
                if ahead > _MAXIMUM_AHEAD_BYTES:
                    return

    async def _leave(self, answering: curio.Task) -> None:
        if self._server.cancel_on_disconnect:
            await answering.cancel()
        else:
            await answering.join()

    async def _advance(self) -> bool:
        """Parse what was received; tells whether to go on reading."""
        try:
            return await self._parse()
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint)
        except _RequestTooLargeError:
            await self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        return False

    async def _parse(self) -> bool:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._await_more()
                return True
            if isinstance(event, h11.Request):
                _check_framing(event)
                self._head = event
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._add_to_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._begin()
                return True
            else:
                return False

    def _add_to_body(self, piece: bytes) -> None:
        self._body.extend(piece)
        if len(self._body) > self._limits.body_bytes:
            raise _RequestTooLargeError

    async def _await_more(self) -> None:
        waiting = bool(self._http.trailing_data[0]) or self._head is not None
        if waiting and not self._partial:
            self._quiet_since = self._server.clock.monotonic()
        self._partial = waiting
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE,
                headers=[],
            )
            await self._client.sendall(self._http.send(interim))

    async def _begin(self) -> None:
        head = self._head
        if head is None:
            return
        self._head = None
        self._partial = False
        request = _to_request(head, bytes(self._body))
        self._server.requests_in_progress += 1
        self._answering = await curio.spawn(
            self._answer(request),
            daemon=True,
        )

    async def _answer(self, request: HttpRequest) -> None:
        try:
            response = await self._server.handler(request)
            payload = encode_response(
                self._http,
                response,
                last=self._server.closing,
            )
            await self._client.sendall(payload)
        except OSError:
            await self._stop_reading()
            return
        finally:
            self._server.requests_in_progress -= 1
            self._answering = None
        await self._next()

    async def _next(self) -> None:
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._server.closing
        )
        if not reusable:
            await self._stop_reading()
            return
        self._http.start_next_cycle()
        self._quiet_since = self._server.clock.monotonic()
        if self._http.trailing_data[0] and not await self._advance():
            await self._stop_reading()

    async def _stop_reading(self) -> None:
        if self._reader is not None:
            await self._reader.cancel(blocking=False)

    async def _refuse(self, status: int) -> None:
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        reason = HTTPStatus(status).phrase.lower().replace(' ', '_')
        body = f'{{"code":"{reason}","outcome":"not_run"}}'.encode()
        refusal = HttpResponse(status, body)
        await self._client.sendall(
            encode_response(self._http, refusal, last=True),
        )


def _check_framing(head: h11.Request) -> None:
    """Refuse a body with two lengths, which others may read differently.

    Raises:
        RemoteProtocolError: both are there.
    """
    names = {name for name, _ in head.headers}
    if names.issuperset(_BODY_LENGTH_FIELDS):
        raise h11.RemoteProtocolError('length and transfer coding together')


def _to_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {
        name.decode('ascii'): text.decode('latin-1')
        for name, text in head.headers
    }
    return HttpRequest(
        head.method.decode('ascii'),
        head.target.decode('latin-1'),
        body,
        headers,
        tuple(head.headers),
    )


def encode_response(
    http: h11.Connection,
    response: HttpResponse,
    *,
    last: bool,
) -> bytes:
    """Encode a response, and end the connection with it if it is the last.

    A client that asked for the connection to be closed is told so by h11.
    """
    headers: list[tuple[str | bytes, str | bytes]] = [
        ('content-length', str(len(response.body))),
        *response.headers.items(),
        *response.fields,
    ]
    if response.content_type:
        headers.append(('content-type', response.content_type))
    if last:
        headers.append(('connection', 'close'))
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [http.send(head)]
    if response.body:
        parts.append(http.send(h11.Data(data=response.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)
