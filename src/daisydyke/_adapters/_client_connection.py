"""One client connection of the HTTP server, read by a task of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import curio
import h11

from .._domain._byte_budget import ByteCount
from .._domain._held_body import HeldBody
from ._answer_writer import AnswerWriter, ReadLimits
from ._http_client import HttpRequest, HttpResponse
from ._request_stream import RequestRejectedError, RequestStream
from ._server_state import (
    NO_ROOM,
    CutCause,
    HttpLimits,
    NoAnswerError,
    ServerState,
    make_rejection,
)
from ._sockets import drop_unsent, has_unread, round_trip_time, shut_down

_READ_BYTES = 65536
_MAXIMUM_PIPELINED_BYTES = 262144
_REJECTION_TIMEOUT_S = 1.0
_READ_LIMITS = ReadLimits()
# It promises nothing, since the request may have been run.
_FAILURE = HttpResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR,
    b'{"code":"internal_server_error","outcome":"unknown"}',
)


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
        self.writer = AnswerWriter(client, state.memory.answers, _READ_LIMITS)
        self._state = state
        self._client = client
        self._limits = limits
        self._make_room = make_room
        # Without data in flight, this is the time that the handshake took.
        self._stream = RequestStream(limits, round_trip_time(client))
        self._held = ByteCount(state.memory.requests)
        self._pipelined_bytes = 0
        self._has_dropped = False
        self._answer_task: curio.Task | None = None
        self._reader_task: curio.Task | None = None
        self._stopped = False
        self._cut_cause = CutCause.STOPPED

    @property
    def receiving(self) -> bool:
        """Whether a part of a request has arrived, and the rest has not."""
        return (
            self._stream.incomplete
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
            self._held.release()
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
            and not self._stream.incomplete
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
            if self._stream.incomplete
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

    async def close_if_slow(self) -> None:
        """Close the connection if the client takes its answer too slowly.

        It is called at regular intervals.
        """
        if self.writer.check():
            await self.close_slow_reader()

    async def close_slow_reader(self) -> None:
        """Close the connection, whose client takes its answer slowly."""
        self.writer.discard()
        drop_unsent(self._client)
        await shut_down(self._client)
        await self.close()

    async def close(self, cause: CutCause = CutCause.CLOSED) -> None:
        """Close the connection; what it holds is free at once.

        Parameters:
            cause: why a request in progress gets no whole answer.
        """
        self._held.release()
        await self._stop_reading(cause)

    @property
    def _cause(self) -> CutCause:
        """Why a request in progress gets no whole answer."""
        discarded = self.writer.discarded
        return CutCause.SLOW_READER if discarded else self._cut_cause

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
            await self._reject(NO_ROOM)
            return False
        self._stream.receive(received)
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
            self._stream.receive(received)
        else:
            self._has_dropped = True

    async def _acquire(self, size: int) -> bool:
        """Count received bytes, at the expense of slower clients if needed."""
        while not self._held.try_acquire(size):
            if not await self._make_room(self):
                return False
        return True

    async def _end_answer_task(self, answer_task: curio.Task) -> None:
        if self._state.cancel_on_disconnect:
            await answer_task.cancel()
        else:
            await answer_task.wait()

    async def _parse_or_send_error(self) -> bool:
        """Parse the received data; return whether to go on reading."""
        was_incomplete = self._stream.incomplete
        try:
            going_on = self._stream.parse()
        except RequestRejectedError as error:
            await self._reject(make_rejection(error.status))
            return False
        if going_on and self._stream.incomplete:
            await self._await_rest(was_incomplete)
        return going_on

    async def _await_rest(self, was_incomplete: bool) -> None:
        """Let the client send the rest of a request, within its time-out."""
        if not was_incomplete:
            self.wait_started_at = self._state.clock.monotonic()
        interim = self._stream.encode_interim()
        if interim:
            await self._client.sendall(interim)

    async def _start_answer(self) -> None:
        if self._stream.has_request:
            self._answer_task = await curio.spawn(self._answer_all, daemon=True)

    async def _answer_all(self) -> None:
        """Answer a request, and those that arrive whole until its end."""
        try:
            reusable = await self._answer_in_order()
        except (OSError, NoAnswerError, h11.LocalProtocolError):
            reusable = False
        finally:
            self._answer_task = None
        if not reusable:
            await self._stop_reading()

    async def _answer_in_order(self) -> bool:
        """Answer while there is a request; return whether to go on reading."""
        request = self._stream.take_request()
        while request is not None:
            if not await self._answer(request):
                return False
            request = self._stream.take_request()
        return True

    async def _answer(self, request: HttpRequest) -> bool:
        """Answer a request; return whether the connection stays open."""
        self._state.requests_in_progress += 1
        try:
            await self._respond(request)
        except OSError:
            self._cut_cause = CutCause.CALLER_LEFT
            self._state.unserved.report_cut(request, self._cause, '')
            raise
        except curio.CancelledError:
            self._state.unserved.report_cut(request, self._cause, '')
            raise
        finally:
            self._state.requests_in_progress -= 1
        return await self._begin_next_cycle()

    async def _respond(self, request: HttpRequest) -> None:
        response = await self._call_handler(request)
        try:
            payload = self._encode(request, response)
        except h11.LocalProtocolError as error:
            response = self._fail(request, error)
            payload = self._encode(request, response)
        has_long_body = (
            isinstance(response.body, HeldBody) and request.method != 'HEAD'
        )
        await self.writer.send(
            payload, response.body if has_long_body else None
        )

    async def _call_handler(self, request: HttpRequest) -> HttpResponse:
        try:
            if self._state.memory.is_short:
                self._state.refused_count += 1
                return self._state.unserved.refuse(request)
            return await self._state.handler(request)
        except NoAnswerError:
            raise
        except Exception as error:
            return self._fail(request, error)

    def _fail(self, request: HttpRequest, error: Exception) -> HttpResponse:
        self._state.unserved.report_cut(
            request, CutCause.FAILED, f'{type(error).__name__}: {error}'
        )
        return _FAILURE

    def _encode(self, request: HttpRequest, response: HttpResponse) -> bytes:
        last = self._is_last() or response is _FAILURE
        return self._stream.encode(request, response, last=last)

    def _is_last(self) -> bool:
        """Return whether the connection closes with the next response.

        What has been read behind a request is answered first.
        """
        if self._has_dropped:
            return True
        return self._state.closing and not self._stream.unparsed_bytes

    async def _begin_next_cycle(self) -> bool:
        """Parse what has arrived; return whether the connection stays open."""
        if self._has_dropped or not self._stream.begin_next_cycle():
            return False
        unparsed_bytes = self._stream.unparsed_bytes
        self._held.keep(unparsed_bytes)
        self.wait_started_at = self._state.clock.monotonic()
        if not unparsed_bytes:
            return True
        return await self._parse_or_send_error()

    async def _stop_reading(self, cause: CutCause = CutCause.CLOSED) -> None:
        self._stopped = True
        self._cut_cause = cause
        if self._reader_task is not None:
            await self._reader_task.cancel(blocking=False)

    async def _reject(self, response: HttpResponse) -> None:
        """Send the last response, to a request that is not taken.

        Nothing else ends a connection whose client does not read it.
        """
        if self._stream.can_respond:
            rejection = self._stream.encode_rejection(response)
            await curio.ignore_after(
                _REJECTION_TIMEOUT_S, self._client.sendall(rejection)
            )
