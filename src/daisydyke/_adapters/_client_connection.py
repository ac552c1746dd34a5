"""One client connection of the HTTP server, read by a task of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio
import h11

from ._http_client import HttpRequest, HttpResponse
from ._http_messages import check_framing, encode_response, decode_request
from ._server_state import CutCause, HttpLimits, NoAnswerError, ServerState
from ._sockets import has_unread, round_trip_time, shut_down

_READ_BYTES = 65536
_MAXIMUM_PIPELINED_BYTES = 262144
_RETRY_AFTER_S = 1
# It promises nothing, since the request may have been run.
_FAILURE = HttpResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR,
    b'{"code":"internal_server_error","outcome":"unknown"}',
)


class _RequestTooLargeError(Exception):
    """The body is larger than ``HttpLimits.body_bytes``."""


# Closes another connection that has been receiving a request for long, to
# free its bytes; returns whether there was one.
MakeRoom = Callable[['ClientConnection'], Awaitable[bool]]


class ClientConnection:
    """Client connection with at most one request in progress.

    Each request is answered by a task of its own while the reader task goes
    on reading, so that it detects when the client closes the connection.
    While there is an answer task, it alone parses what was received and sends
    on the socket, and the socket stays open; otherwise the reader task does.
    """

    def __init__(
        self,
        state: ServerState,
        client: curio.io.Socket,
        limits: HttpLimits,
        make_room: MakeRoom,
    ) -> None:
        """Initialize for a connection that has just been accepted."""
        self.wait_started_at = state.clock.monotonic()
        self._state = state
        self._client = client
        self._limits = limits
        self._make_room = make_room
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )
        self._head: h11.Request | None = None
        self._asks_for_head = False
        self._next_request: HttpRequest | None = None
        self._body = bytearray()
        self._held_bytes = 0
        self._pipelined_bytes = 0
        self._has_dropped = False
        self._answer_task: curio.Task | None = None
        self._reader_task: curio.Task | None = None
        self._request_incomplete = False
        self._stopped = False
        self._cut_cause = CutCause.STOPPED
        # Without data in flight, this is the time that the handshake took.
        self._round_trip_s = round_trip_time(client)
        self._connecting_s = self._round_trip_s

    @property
    def receiving(self) -> bool:
        """Whether a part of a request has arrived, and the rest has not."""
        return (
            self._request_incomplete
            and self._answer_task is None
            and not self._stopped
        )

    async def run(self) -> None:
        """Serve requests until the connection is closed."""
        self._reader_task = await curio.current_task()
        try:
            await self._read()
        except OSError:
            self._cut_cause = CutCause.CALLER_LEFT
        except curio.CancelledError:
            return
        finally:
            self._hold(0)
            if self._answer_task is not None:
                await self._end_answer_task(self._answer_task)

    async def close_if_idle(self) -> bool:
        """Close the connection if no byte of a request has arrived.

        Returns:
            Whether the connection is being closed.
        """
        idle = (
            self._answer_task is None
            and not self._stopped
            and not self._request_incomplete
            and not has_unread(self._client.fileno())
        )
        if idle:
            await shut_down(self._client)
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
        if (
            self._answer_task is not None
            or now - self.wait_started_at <= timeout
        ):
            return
        # A process that is late may not have read what has arrived. Whoever
        # sends on and on meets the limits on sizes.
        if not has_unread(self._client.fileno()):
            await shut_down(self._client)
            await self._stop_reading()

    async def close(self, cause: CutCause = CutCause.CLOSED) -> None:
        """Close the connection; what it holds is free at once.

        Parameters:
            cause: why a request in progress gets no whole answer.
        """
        self._hold(0)
        await self._stop_reading(cause)

    async def _read(self) -> None:
        going_on = not self._stopped
        while going_on:
            # Nothing refers to what was received while more is awaited.
            going_on = await self._handle(await self._client.recv(_READ_BYTES))

    async def _handle(self, received: bytes) -> bool:
        """Handle received bytes; return whether to go on reading."""
        if not received:
            self._cut_cause = CutCause.CALLER_LEFT
        if self._stopped or not received:
            # What is handled while the connection closes would be cut off.
            return False
        if self._answer_task is not None:
            await self._keep_for_later(received)
            return True
        if not await self._acquire(len(received)):
            await self._send_error(HTTPStatus.SERVICE_UNAVAILABLE)
            return False
        self._http.receive_data(received)
        self._pipelined_bytes = 0
        if not await self._parse_or_send_error():
            return False
        await self._start_answer()
        return True

    async def _keep_for_later(self, received: bytes) -> None:
        """Keep what arrives behind a request in progress, within limits.

        Beyond them it is dropped, and the connection closes after the answer.
        """
        self._pipelined_bytes += len(received)
        within_limits = (
            not self._has_dropped
            and self._pipelined_bytes <= _MAXIMUM_PIPELINED_BYTES
            and await self._acquire(len(received))
        )
        if within_limits:
            self._http.receive_data(received)
        else:
            self._has_dropped = True

    async def _acquire(self, size: int) -> bool:
        """Count received bytes, at the expense of slower clients if needed."""
        while not self._state.request_bytes.try_acquire(size):
            if not await self._make_room(self):
                return False
        self._held_bytes += size
        return True

    def _hold(self, size: int) -> None:
        """Release all bytes but these."""
        if size < self._held_bytes:
            self._state.request_bytes.release(self._held_bytes - size)
            self._held_bytes = size

    async def _end_answer_task(self, answer_task: curio.Task) -> None:
        if self._state.cancel_on_disconnect:
            await answer_task.cancel()
        else:
            await answer_task.wait()

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
        if self._head is None:
            # h11 does not tell the method of a request that it rejects.
            unparsed = self._http.trailing_data[0]
            self._asks_for_head = unparsed.startswith(b'HEAD ')
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                await self._handle_incomplete_request()
                return True
            if isinstance(event, h11.Request):
                self._head = event
                check_framing(event)
                self._body.clear()
            elif isinstance(event, h11.Data):
                self._append_to_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._take_request()
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
            self.wait_started_at = self._state.clock.monotonic()
        self._request_incomplete = incomplete
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE,
                headers=[],
            )
            await self._client.sendall(self._http.send(interim))

    def _take_request(self) -> None:
        head = self._head
        if head is None:
            return
        self._head = None
        self._asks_for_head = False
        self._request_incomplete = False
        self._next_request = decode_request(
            head, bytes(self._body), self._round_trip_s, self._connecting_s
        )
        self._body = bytearray()
        self._connecting_s = 0

    async def _start_answer(self) -> None:
        if self._next_request is not None:
            self._answer_task = await curio.spawn(self._answer_all, daemon=True)

    async def _answer_all(self) -> None:
        """Answer a request, and those that arrive whole until its end."""
        reusable = True
        try:
            while reusable and self._next_request is not None:
                request = self._next_request
                self._next_request = None
                reusable = await self._answer(request)
        except (OSError, NoAnswerError, h11.LocalProtocolError):
            reusable = False
        finally:
            self._answer_task = None
        if not reusable:
            await self._stop_reading()

    async def _answer(self, request: HttpRequest) -> bool:
        """Answer a request; return whether the connection stays open."""
        self._state.requests_in_progress += 1
        try:
            await self._respond(request)
        except OSError:
            self._state.report_cut(request, CutCause.CALLER_LEFT, '')
            raise
        except curio.CancelledError:
            self._state.report_cut(request, self._cut_cause, '')
            raise
        finally:
            self._state.requests_in_progress -= 1
        return await self._begin_next_cycle()

    async def _respond(self, request: HttpRequest) -> None:
        response = await self._call_handler(request)
        try:
            payload = self._encode(request, response)
        except h11.LocalProtocolError as error:
            payload = self._encode(request, self._fail(request, error))
        await self._client.sendall(payload)

    async def _call_handler(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._state.handler(request)
        except NoAnswerError:
            raise
        except Exception as error:
            return self._fail(request, error)

    def _fail(self, request: HttpRequest, error: Exception) -> HttpResponse:
        self._state.report_cut(
            request, CutCause.FAILED, f'{type(error).__name__}: {error}'
        )
        return _FAILURE

    def _encode(self, request: HttpRequest, response: HttpResponse) -> bytes:
        return encode_response(
            self._http,
            response,
            last=self._is_last() or response is _FAILURE,
            bodiless=request.method == 'HEAD',
        )

    def _is_last(self) -> bool:
        """Return whether the connection closes with the next response.

        What has been read behind a request is answered first.
        """
        if self._has_dropped:
            return True
        return self._state.closing and not self._http.trailing_data[0]

    async def _begin_next_cycle(self) -> bool:
        """Parse what has arrived; return whether the connection stays open."""
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._has_dropped
        )
        if not reusable:
            return False
        self._http.start_next_cycle()
        self._hold(len(self._http.trailing_data[0]))
        self.wait_started_at = self._state.clock.monotonic()
        if not self._http.trailing_data[0]:
            return True
        return await self._parse_or_send_error()

    async def _stop_reading(self, cause: CutCause = CutCause.CLOSED) -> None:
        self._stopped = True
        self._cut_cause = cause
        if self._reader_task is not None:
            await self._reader_task.cancel(blocking=False)

    async def _send_error(self, status: int) -> None:
        if self._http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        reason = HTTPStatus(status).phrase.lower().replace(' ', '_')
        body = f'{{"code":"{reason}","outcome":"not_run"}}'.encode()
        if self._head is None and self._asks_for_head:
            body = b''
        headers = {}
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers['retry-after'] = str(_RETRY_AFTER_S)
        error_response = HttpResponse(status, body, headers)
        await self._client.sendall(
            encode_response(
                self._http,
                error_response,
                last=True,
                bodiless=self._head is not None
                and self._head.method == b'HEAD',
            ),
        )
