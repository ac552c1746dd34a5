"""Connection to a backend server, read by a task of its own."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

import curio

from .._adapters._sockets import connect
from .._ports import Clock
from .._requests._model import ExchangeFailure, FailureReason, Reply
from ..exceptions import ConnectionLostError, ProtocolViolationError
from ._exchange import Exchange, ExchangeOutcome
from ._server import BackendServer

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0


class ReplyStream(Protocol):
    """Incremental parser of the responses on one connection."""

    def expect(self, *, bodiless: bool) -> None:
        """Prepare for the reply to the next request.

        Parameters:
            bodiless: whether the reply has no body whatever its header says.
        """

    def feed(self, received: bytes) -> list[Reply]:
        """Return the replies that these bytes complete.

        Raises:
            ProtocolViolationError: the bytes are not a valid response.
        """

    def finish(self) -> Reply | None:
        """Return the reply that the end of the stream completes, if any."""


OnEnded = Callable[['BackendConnection', Exchange, ExchangeOutcome], None]
OnOpenedIdle = Callable[['BackendConnection'], None]


class BackendConnection:
    """Connection to a backend server that carries one exchange at a time.

    The reading task runs as long as the connection. It therefore detects
    that the server closes an idle connection, or sends bytes that belong to
    no request, before the connection is reused.

    Parameters:
        replies: parses the bytes received.
        on_ended: called with each exchange that ends and its outcome, before
            the outcome is put into the exchange's queue.
        on_opened_idle: called when a connection is open that was opened
            without an exchange.

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
        on_ended: OnEnded,
        on_opened_idle: OnOpenedIdle,
    ) -> None:
        """Initialize without connecting; ``open`` connects."""
        self.server = server
        self.exchange: Exchange | None = None
        self.idle_until: float = math.inf
        self.idle_since: float = 0
        self._replies = replies
        self._clock = clock
        self._on_ended = on_ended
        self._on_opened_idle = on_opened_idle
        self._socket: curio.io.Socket | None = None
        self._task: curio.Task | None = None
        self._closed = False

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
        except OSError:
            await self.close()

    async def close(self) -> None:
        """Close the connection; an open exchange fails."""
        if self._closed:
            return
        await self._end(FailureReason.CLOSED)
        if self._task is not None:
            await self._task.cancel(blocking=False)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or accepts no more exchanges."""
        return self._closed

    def _assign(self, exchange: Exchange) -> None:
        self.exchange = exchange
        exchange.connection = self
        self._replies.expect(bodiless=exchange.bodiless)

    async def _send(self, exchange: Exchange) -> None:
        if self._socket is None:
            raise ConnectionLostError('closed before the request was sent')
        exchange.sent = True
        await self._socket.sendall(exchange.payload)

    async def _run(self) -> None:
        reason = FailureReason.CLOSED
        try:
            reason = await self._connect_and_read()
        except (OSError, ConnectionLostError):
            reason = FailureReason.CLOSED
        except ProtocolViolationError:
            reason = FailureReason.GARBLED
        finally:
            await self._end(reason)
            if self._socket is not None:
                await self._socket.close()

    async def _connect_and_read(self) -> FailureReason:
        address = self.server.record.address
        async with curio.ignore_after(_CONNECT_TIMEOUT_S):
            self._socket = await connect(address.host, address.port)
        if self._socket is None:
            return FailureReason.CONNECT
        if self.exchange is None:
            self._on_opened_idle(self)
        else:
            await self._send(self.exchange)
        while True:
            received = await self._socket.recv(_READ_BYTES)
            if not received:
                await self._deliver_last()
                return FailureReason.CLOSED
            for reply in self._replies.feed(received):
                if not await self._deliver(reply):
                    return FailureReason.GARBLED

    async def _deliver_last(self) -> None:
        last = self._replies.finish()
        if last is not None:
            await self._deliver(last)

    async def _deliver(self, reply: Reply) -> bool:
        """Deliver a reply; return whether to continue reading."""
        exchange = self.exchange
        if exchange is None:
            return False
        if reply.request_id and reply.request_id != exchange.request_id:
            # A duplicate response to an earlier request; the response to the
            # open exchange may still follow.
            return True
        if reply.keep_alive <= 0:
            self._closed = True
        self._set_idle(reply.keep_alive)
        self._on_ended(self, exchange, reply)
        if exchange.outcomes is not None:
            await exchange.outcomes.put(exchange, reply)
        return not self._closed

    def _set_idle(self, keep_alive: float) -> None:
        now = self._clock.monotonic()
        self.exchange = None
        self.idle_since = now
        self.idle_until = now + keep_alive

    async def _end(self, reason: FailureReason) -> None:
        self._closed = True
        self.server.connections.discard(self)
        exchange = self.exchange
        if exchange is None:
            return
        self.exchange = None
        failure = ExchangeFailure(
            reason if exchange.sent else FailureReason.CONNECT,
            may_have_run=exchange.sent,
        )
        self._on_ended(self, exchange, failure)
        if exchange.outcomes is not None:
            await exchange.outcomes.put(exchange, failure)
