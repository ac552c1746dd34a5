"""Connection to a backend server, read by a task of its own."""

from __future__ import annotations

import math
from dataclasses import replace

import curio

from .._adapters._sockets import connect, send_now
from .._ports import Clock
from .._requests._model import ExchangeFailure, FailureReason, Reply
from ..exceptions import ConnectionLostError, ProtocolViolationError
from .._domain._byte_budget import ByteBudget, ByteCount
from .._domain._held_body import HeldBody
from ._connection_owner import ConnectionOwner
from ._exchange import Exchange
from ._reply_matcher import ReplyMatcher
from ._reply_stream import ReplyStream
from ._server import BackendServer

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0
# A shorter request fits in the buffers of most sockets.
_LONG_REQUEST_BYTES = 65536


class _NoMemoryError(Exception):
    """There is no room for a long request, or for more bytes of replies."""


class BackendConnection:
    """Connection to a backend server that carries one exchange at a time.

    The reading task runs as long as the connection and alone closes the
    socket. It detects that the server closes an idle connection, or sends
    bytes that belong to no request, before the connection is reused. A
    connection that received more than the reply to its exchange is not
    reused.

    What the socket does not accept of a request at once is sent by a task of
    its own, so that neither the reading task nor the caller's request waits
    for a server that does not read.

    Parameters:
        replies: parses the bytes received.
        memory: bounds the replies that are received or held, and what is
            left to send of requests.
        owner: receives the events of the connection.

    Attributes:
        exchange: open exchange, None while the connection is idle.
        idle_until: monotonic time after which an idle connection must not be
            used.
        idle_since: monotonic time at which the connection became idle.
    """

    def __init__(
        self,
        server: BackendServer,
        replies: ReplyStream,
        clock: Clock,
        memory: ByteBudget,
        owner: ConnectionOwner,
    ) -> None:
        """Initialize without connecting; ``open`` connects."""
        self.server = server
        self.exchange: Exchange | None = None
        self.idle_until: float = math.inf
        self.idle_since: float = 0
        self._replies = replies
        self._clock = clock
        self._memory = memory
        self._owner = owner
        self._socket: curio.io.Socket | None = None
        self._task: curio.Task | None = None
        self._sending_task: curio.Task | None = None
        self._closed = False
        self._received = ByteCount(memory)
        self._unsent = ByteCount(memory)
        self._matcher = ReplyMatcher()

    async def open(self, exchange: Exchange | None = None) -> None:
        """Connect in the background and send the exchange, if there is one.

        Without an exchange, the connection is idle once it is open.
        """
        if exchange is not None:
            self._assign(exchange)
        self._task = await curio.spawn(self._run(), daemon=True)

    async def submit(self, exchange: Exchange) -> None:
        """Send an exchange on the open, idle connection.

        If it cannot be sent, the connection closes and the exchange fails.
        """
        self._assign(exchange)
        try:
            await self._send(exchange)
        except (OSError, ConnectionLostError):
            await self.close()
        except _NoMemoryError:
            await self.close(FailureReason.NO_MEMORY)

    async def close(self, reason: FailureReason = FailureReason.CLOSED) -> None:
        """Close the connection; an open exchange fails."""
        if self._closed:
            return
        await self._end(reason)
        if self._task is not None:
            await self._task.cancel(blocking=False)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or accepts no more exchanges."""
        return self._closed

    def _assign(self, exchange: Exchange) -> None:
        self.exchange = exchange
        exchange.connection = self
        self._replies.expect(
            bodiless=exchange.bodiless,
            maximum_body=exchange.maximum_body,
        )

    async def _send(self, exchange: Exchange) -> None:
        if self._socket is None:
            raise ConnectionLostError('closed before the request was sent')
        # Connecting, or a pause of this process, may have taken so long that
        # the request is late or the server is about to leave.
        remaining = exchange.deadline - self._clock.monotonic()
        if remaining <= 0 or not self._owner.may_send(self.server):
            raise ConnectionLostError('no longer allowed to send the request')
        payload = exchange.encoder(self.server.server_id, remaining)
        if len(payload) > _LONG_REQUEST_BYTES:
            self._reserve(len(payload))
        exchange.sent = True
        exchange.sent_at = self._clock.monotonic()
        written = send_now(self._socket, payload)
        unsent_bytes = len(payload) - written
        if unsent_bytes or self._unsent.held:
            self._count_unsent(unsent_bytes)
        if unsent_bytes:
            self._sending_task = await curio.spawn(
                self._send_rest(self._socket, payload[written:]), daemon=True
            )

    def _reserve(self, size: int) -> None:
        """Count a request before it is sent, while it can be refused."""
        if not self._unsent.try_acquire(size):
            raise _NoMemoryError

    def _count_unsent(self, size: int) -> None:
        """Count what the socket has not accepted of a request."""
        self._unsent.keep(size)
        if self._unsent.held < size:
            self._unsent.acquire(size - self._unsent.held)

    async def _send_rest(self, stream: curio.io.Socket, rest: bytes) -> None:
        try:
            await stream.sendall(rest)
        except OSError:
            # The reading task learns of it, after a reply that may have
            # arrived before.
            return
        self._sending_task = None
        self._unsent.release()

    async def _run(self) -> None:
        reason = FailureReason.CLOSED
        try:
            reason = await self._connect_and_read()
        except (OSError, ConnectionLostError):
            reason = FailureReason.CLOSED
        except _NoMemoryError:
            reason = FailureReason.NO_MEMORY
        except ProtocolViolationError as error:
            reason = FailureReason.GARBLED
            self._owner.handle_violation(self, str(error))
        finally:
            await self._end(reason)
            await self._close_socket()

    async def _close_socket(self) -> None:
        """Close the socket once no task waits for it.

        The event loop would keep the registration of a waiting task, and fail
        when the next socket gets the same descriptor.
        """
        async with curio.disable_cancellation():
            if self._sending_task is not None:
                await self._sending_task.cancel()
            self._unsent.release()
            if self._socket is not None:
                await self._socket.close()

    async def _connect_and_read(self) -> FailureReason:
        address = self.server.record.address
        async with curio.ignore_after(_CONNECT_TIMEOUT_S):
            self._socket = await connect(address.host, address.port)
        if self._socket is None:
            return FailureReason.CONNECT
        if self.exchange is None:
            self._owner.handle_opened_idle(self)
        else:
            await self._send(self.exchange)
        # Nothing refers to what was received while more is awaited.
        while await self._handle(await self._socket.recv(_READ_BYTES)):
            if self._closed:
                break
        return FailureReason.CLOSED

    async def _handle(self, received: bytes) -> bool:
        """Handle received bytes; return whether the stream goes on."""
        if self._closed:
            return False
        if received:
            self._count_received(received)
            await self._deliver(self._replies.feed(received))
            return True
        last = self._replies.finish()
        await self._deliver([] if last is None else [last])
        return False

    def _count_received(self, received: bytes) -> None:
        if self.exchange is None:
            raise ProtocolViolationError('bytes without a request')
        if not self._received.try_acquire(len(received)):
            raise _NoMemoryError

    def _hand_over(self, body: bytes | bytearray) -> None:
        """Let a long body count until it is freed, and release the rest."""
        if isinstance(body, HeldBody):
            self._received.keep(len(body))
            body.attach(self._received)
            self._received = ByteCount(self._memory)
        else:
            self._received.release()

    async def _deliver(self, replies: list[Reply]) -> None:
        """Deliver the reply to the open exchange, if it is among these."""
        for position, reply in enumerate(replies, start=1):
            if not self._matcher.belongs(reply, self.exchange):
                # The reply to the open exchange may still follow.
                continue
            followed = position < len(replies) or self._replies.has_excess
            await self._end_with_reply(reply, followed=followed)
            return

    async def _end_with_reply(self, reply: Reply, *, followed: bool) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        if followed:
            self._owner.handle_violation(self, 'bytes after the reply')
        if followed or not self._is_reusable(reply):
            reply = replace(reply, keep_alive=0)
        self._closed = self._closed or reply.keep_alive <= 0
        self._hand_over(reply.body)
        self._set_idle(reply.keep_alive)
        self._owner.handle_ended(self, exchange, reply)
        if exchange.outcomes is not None:
            await exchange.outcomes.put(exchange, reply)

    def _is_reusable(self, reply: Reply) -> bool:
        """Return whether the next request would be read as such.

        A server that has answered before it has read the whole request would
        take the next one for the rest of it.
        """
        sent_whole = self._sending_task is None
        return (
            sent_whole
            and bool(reply.request_id)
            and not self._matcher.has_foreign
        )

    def _set_idle(self, keep_alive: float) -> None:
        now = self._clock.monotonic()
        self.exchange = None
        self.idle_since = now
        self.idle_until = now + keep_alive

    async def _end(self, reason: FailureReason) -> None:
        self._closed = True
        if self in self.server.connections:
            self.server.connections.remove(self)
            self._owner.handle_closed()
        self._replies.close()
        self._received.release()
        exchange = self.exchange
        if exchange is None:
            return
        self.exchange = None
        if not exchange.sent and reason is not FailureReason.NO_MEMORY:
            reason = FailureReason.CONNECT
        failure = ExchangeFailure(reason, may_have_run=exchange.sent)
        self._owner.handle_ended(self, exchange, failure)
        if exchange.outcomes is not None:
            await exchange.outcomes.put(exchange, failure)
