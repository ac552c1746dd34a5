"""HTTP/1.1 server that uses h11, with one reader task per connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import curio
import h11

from .._domain._model import Address
from .._ports import Clock
from ._clock import RuntimeClock
from ._http_client import HttpRequest, HttpResponse
from ._sockets import disable_delay, has_unread

_READ_BYTES = 65536
_MAXIMUM_PIPELINED_BYTES = 262144
_BACKLOG_CONNECTIONS = 512
_DRAIN_POLL_INTERVAL_S = 0.01
# For connections that the kernel has accepted before the drain.
_LAST_ACCEPT_S = 0.02
_ACCEPT_RETRY_INTERVAL_S = 0.05
_TIMEOUT_CHECK_INTERVAL_S = 0.5
_BODY_LENGTH_FIELDS = frozenset((b'content-length', b'transfer-encoding'))

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on requests and connections of clients.

    Parameters:
        head_bytes: largest size of a request head.
        body_bytes: largest size of a request body.
        head_timeout: longest time from the first byte of a request to its
            last one, in seconds.
        idle_timeout: longest time that a connection may wait for a request,
            in seconds.
    """

    head_bytes: int = 16384
    body_bytes: int = 65536
    head_timeout: float = 5.0
    idle_timeout: float = 60.0


class _RequestTooLargeError(Exception):
    """The body is larger than ``HttpLimits.body_bytes``."""


class HttpServer:
    """Accepts connections and serves requests until it is drained.

    Parameters:
        handler: answers one request; it must map errors to responses itself,
            since the server does not handle them.
        cancel_on_disconnect: whether the handler of a request is cancelled if
            the client closes the connection.
        limits: returns the limits of a new connection.
        clock: clock for the time-outs; that of the runtime by default.

    Attributes:
        closing: whether each connection is closed with its next response.
        requests_in_progress: number of requests that are being answered.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        cancel_on_disconnect: bool = False,
        limits: Callable[[], HttpLimits] = HttpLimits,
        clock: Clock | None = None,
    ) -> None:
        """Initialize without listening; ``start`` binds the socket."""
        self.handler = handler
        self.cancel_on_disconnect = cancel_on_disconnect
        self.limits = limits
        self.clock = clock or RuntimeClock()
        self.closing = False
        self.requests_in_progress = 0
        self._connections: set[_Connection] = set()
        self._listener: curio.io.Socket | None = None
        self._accept_task: curio.Task | None = None

    async def start(self, address: Address) -> None:
        """Bind the socket and start to accept connections.

        Raises:
            OSError: the address cannot be bound, such as when it is in use.
        """
        self._listener = curio.tcp_server_socket(
            address.host,
            address.port,
            backlog=_BACKLOG_CONNECTIONS,
        )
        self._accept_task = await curio.spawn(
            self._accept(self._listener), daemon=True
        )
        await curio.spawn(self._close_overdue_connections, daemon=True)

    def stop_keep_alive(self) -> None:
        """Close each connection with its next response; keep accepting."""
        self.closing = True

    async def drain(self) -> None:
        """Stop listening, close idle connections and await all others.

        Requests that have arrived in part, or that wait to be read, are
        answered as well.
        """
        self.closing = True
        await self._stop_listening()
        while self._connections:
            for connection in tuple(self._connections):
                await connection.close_if_idle()
            await curio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _stop_listening(self) -> None:
        if self._listener is None or self._accept_task is None:
            return
        await self._accept_task.cancel()
        await curio.ignore_after(_LAST_ACCEPT_S, self._accept(self._listener))
        await self._listener.close()

    async def _accept(self, listener: curio.io.Socket) -> None:
        while True:
            try:
                client, _ = await listener.accept()
            except OSError:
                # The client has gone, or no file descriptor is free.
                await self._close_longest_idle()
                await curio.sleep(_ACCEPT_RETRY_INTERVAL_S)
                continue
            disable_delay(client)
            await curio.spawn(self._serve_connection(client), daemon=True)

    async def _close_longest_idle(self) -> None:
        connections = sorted(self._connections, key=_wait_started_at)
        for connection in connections:
            if await connection.close_if_idle():
                return

    async def _serve_connection(self, client: curio.io.Socket) -> None:
        connection = _Connection(self, client)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            await client.close()

    async def _close_overdue_connections(self) -> None:
        while True:
            await curio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            now = self.clock.monotonic()
            for connection in tuple(self._connections):
                await connection.close_if_overdue(now)


class _Connection:
    """Client connection with at most one request in progress.

    Each request is answered by a task of its own while the reader task goes
    on reading, so that it detects when the client closes the connection.
    """

    def __init__(self, server: HttpServer, client: curio.io.Socket) -> None:
        self._server = server
        self._client = client
        self._limits = server.limits()
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.head_bytes,
        )
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._answer_task: curio.Task | None = None
        self._reader_task: curio.Task | None = None
        self.wait_started_at = server.clock.monotonic()
        self._request_incomplete = False

    async def run(self) -> None:
        """Serve requests until the connection is closed."""
        self._reader_task = await curio.current_task()
        try:
            await self._read()
        except (OSError, curio.CancelledError):
            return
        finally:
            if self._answer_task is not None:
                await self._end_answer_task(self._answer_task)

    async def close_if_idle(self) -> bool:
        """Close the connection if no byte of a request has arrived.

        Returns:
            Whether the connection is being closed.
        """
        idle = (
            self._answer_task is None
            and not self._request_incomplete
            and not has_unread(self._client.fileno())
        )
        if idle:
            await self._stop_reading()
        return idle

    async def close_if_overdue(self, now: float) -> None:
        """Close the connection if a time-out of its limits has passed."""
        limits = self._limits
        timeout = (
            limits.head_timeout
            if self._request_incomplete
            else limits.idle_timeout
        )
        overdue = now - self.wait_started_at > timeout
        if overdue and self._answer_task is None:
            await self._stop_reading()

    async def _read(self) -> None:
        pipelined_bytes = 0
        while True:
            received = await self._client.recv(_READ_BYTES)
            if not received:
                return
            self._http.receive_data(received)
            if self._answer_task is None:
                pipelined_bytes = 0
                if not await self._parse_or_send_error():
                    return
            else:
                pipelined_bytes += len(received)
                if pipelined_bytes > _MAXIMUM_PIPELINED_BYTES:
                    return

    async def _end_answer_task(self, answer_task: curio.Task) -> None:
        if self._server.cancel_on_disconnect:
            await answer_task.cancel()
        else:
            await answer_task.join()

    async def _parse_or_send_error(self) -> bool:
        """Parse the received data; return whether to go on reading."""
        try:
            return await self._parse()
        except h11.RemoteProtocolError as error:
            await self._send_error(error.error_status_hint)
        except _RequestTooLargeError:
            await self._send_error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        return False

    async def _parse(self) -> bool:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._handle_incomplete_request()
                return True
            if isinstance(event, h11.Request):
                _check_framing(event)
                self._head = event
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._append_to_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                await self._start_answer()
                return True
            else:
                return False

    def _append_to_body(self, chunk: bytes) -> None:
        self._body.extend(chunk)
        if len(self._body) > self._limits.body_bytes:
            raise _RequestTooLargeError

    async def _handle_incomplete_request(self) -> None:
        incomplete = bool(self._http.trailing_data[0]) or self._head is not None
        if incomplete and not self._request_incomplete:
            self.wait_started_at = self._server.clock.monotonic()
        self._request_incomplete = incomplete
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE,
                headers=[],
            )
            await self._client.sendall(self._http.send(interim))

    async def _start_answer(self) -> None:
        head = self._head
        if head is None:
            return
        self._head = None
        self._request_incomplete = False
        request = _to_request(head, bytes(self._body))
        self._server.requests_in_progress += 1
        self._answer_task = await curio.spawn(
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
                bodiless=request.method == 'HEAD',
            )
            await self._client.sendall(payload)
        except OSError:
            await self._stop_reading()
            return
        finally:
            self._server.requests_in_progress -= 1
            self._answer_task = None
        await self._finish_exchange()

    async def _finish_exchange(self) -> None:
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._server.closing
        )
        if not reusable:
            await self._stop_reading()
            return
        self._http.start_next_cycle()
        self.wait_started_at = self._server.clock.monotonic()
        if (
            self._http.trailing_data[0]
            and not await self._parse_or_send_error()
        ):
            await self._stop_reading()

    async def _stop_reading(self) -> None:
        if self._reader_task is not None:
            await self._reader_task.cancel(blocking=False)

    async def _send_error(self, status: int) -> None:
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        reason = HTTPStatus(status).phrase.lower().replace(' ', '_')
        body = f'{{"code":"{reason}","outcome":"not_run"}}'.encode()
        error_response = HttpResponse(status, body)
        await self._client.sendall(
            encode_response(self._http, error_response, last=True),
        )


def _wait_started_at(connection: _Connection) -> float:
    return connection.wait_started_at


def _check_framing(head: h11.Request) -> None:
    """Reject a request whose end other implementations may see elsewhere.

    That permits request smuggling: a request with both a content length and
    a transfer coding, or one that asks for a tunnel.

    Raises:
        RemoteProtocolError: the request is rejected.
    """
    if head.method == b'CONNECT':
        raise h11.RemoteProtocolError(
            'CONNECT is not supported',
            error_status_hint=HTTPStatus.NOT_IMPLEMENTED,
        )
    names = {name for name, _ in head.headers}
    if names.issuperset(_BODY_LENGTH_FIELDS):
        raise h11.RemoteProtocolError(
            'request with both content-length and transfer-encoding',
        )


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
    bodiless: bool = False,
) -> bytes:
    """Encode a response as the next message on a connection.

    h11 adds the header field that closes the connection if the client has
    asked for that.

    Parameters:
        http: protocol state of the connection, which is advanced.
        response: response to encode.
        last: whether the connection is closed after the response.
        bodiless: whether the body is left out, as in an answer to HEAD.
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
    if response.body and not bodiless:
        parts.append(http.send(h11.Data(data=response.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b''.join(part for part in parts if part)
