"""The connections of this VM to all backend servers."""

from __future__ import annotations

from collections.abc import Callable

import curio

from .._ports import Clock
from .._requests._model import ExchangeFailure, Reply
from ._connection import BackendConnection, ReplyStream
from ._exchange import Exchange, ExchangeOutcome
from ._server import BackendServer

_SWEEP_INTERVAL_S = 0.1
_IDLE_MARGIN_S = 0.7
_FRESH_IDLE_S = 1.0
_UNUSED_IDLE_S = 3.0


class ConnectionPool:
    """Gives each exchange a connection, an idle one where there is one.

    Parameters:
        make_stream: returns what splits a new connection's bytes.
        limit: connections that this VM may have to one server.

    Attributes:
        opened_count: connections opened so far.
        loop_lag_s: seconds by which the latest timer fired late.
    """

    def __init__(
        self,
        make_stream: Callable[[], ReplyStream],
        limit: Callable[[BackendServer], int],
        clock: Clock,
    ) -> None:
        """Start with no connection."""
        self._make_stream = make_stream
        self._limit = limit
        self._clock = clock
        self.opened_count = 0
        self.loop_lag_s: float = 0

    def has_room(self, server: BackendServer) -> bool:
        """Tell whether an exchange could be sent at once."""
        if server.idle:
            return True
        return len(server.connections) < self._limit(server)

    async def submit(self, exchange: Exchange) -> bool:
        """Send an exchange; False if the server has no connection free."""
        server = exchange.server
        connection = await self._take_idle(exchange)
        if connection is None and len(server.connections) >= self._limit(
            server,
        ):
            return False
        server.outstanding[exchange.number] = exchange
        if connection is not None:
            await connection.submit(exchange)
            return True
        await self._make_connection(server).open(exchange)
        return True

    async def abandon(self, exchange: Exchange) -> None:
        """Cancel an exchange whose outcome is no longer wanted.

        A server drops a request whose connection is closed.
        """
        server = exchange.server
        exchange.outcomes = None
        if exchange.number in server.outstanding:
            now = self._clock.monotonic()
            server.evidence.record_lateness(now - exchange.started_at, now)
        connection = exchange.connection
        if connection is not None and connection.exchange is exchange:
            await connection.close()
            await self._replace(server)

    async def close_server(self, server: BackendServer) -> None:
        """Close the idle connections of a server that is not used any more."""
        server.gone = True
        for connection in tuple(server.idle):
            await connection.close()
        server.idle.clear()

    async def run(self, servers: Callable[[], list[BackendServer]]) -> None:
        """Close connections that have been idle for too long."""
        while True:
            due = self._clock.monotonic() + _SWEEP_INTERVAL_S
            await curio.sleep(_SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
            self.loop_lag_s = max(0, now - due)
            overdue = [
                connection
                for server in servers()
                for connection in server.connections
                if _is_overdue(connection, now)
            ]
            for connection in overdue:
                await self._close(connection)

    async def _close(self, connection: BackendConnection) -> None:
        if connection in connection.server.idle:
            connection.server.idle.remove(connection)
        await connection.close()

    def _make_connection(self, server: BackendServer) -> BackendConnection:
        connection = BackendConnection(
            server,
            self._make_stream(),
            self._clock,
            self._ended,
            self._opened_idle,
        )
        server.connections.add(connection)
        self.opened_count += 1
        return connection

    async def _replace(self, server: BackendServer) -> None:
        """Open a connection in place of the last one that was closed."""
        if server.gone or server.connections:
            return
        await self._make_connection(server).open()

    def _opened_idle(self, connection: BackendConnection) -> None:
        now = self._clock.monotonic()
        connection.idle_since = now
        connection.idle_until = now + _UNUSED_IDLE_S
        connection.server.idle.append(connection)

    async def _take_idle(
        self,
        exchange: Exchange,
    ) -> BackendConnection | None:
        now = self._clock.monotonic()
        idle = exchange.server.idle
        while idle:
            connection = idle.pop()
            if connection.closed or connection.idle_until <= now:
                continue
            stale = now - connection.idle_since > _FRESH_IDLE_S
            if stale and not exchange.idempotent:
                # A request that must not be repeated goes on a connection
                # that the server is not about to close.
                await connection.close()
                continue
            return connection
        return None

    def _ended(
        self,
        connection: BackendConnection,
        exchange: Exchange,
        outcome: ExchangeOutcome,
    ) -> None:
        server = exchange.server
        server.outstanding.pop(exchange.number, None)
        now = self._clock.monotonic()
        if isinstance(outcome, ExchangeFailure):
            if exchange.outcomes is not None:
                server.evidence.record_failure(now)
            return
        self._learn(server, exchange, outcome)
        if outcome.keep_alive > 0 and not server.gone:
            connection.idle_until -= _IDLE_MARGIN_S
            server.idle.append(connection)

    def _learn(
        self,
        server: BackendServer,
        exchange: Exchange,
        reply: Reply,
    ) -> None:
        now = self._clock.monotonic()
        if reply.cold_for:
            server.cold_until = now + reply.cold_for
        if reply.success:
            server.evidence.record_answer(now - exchange.started_at, now)
        else:
            server.evidence.record_failure(now)


def _is_overdue(connection: BackendConnection, now: float) -> bool:
    return connection.exchange is None and connection.idle_until <= now
