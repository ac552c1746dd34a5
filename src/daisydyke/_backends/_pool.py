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
_LOSER_LINGER_S = 0.3
_IDLE_MARGIN_S = 0.7
_FRESH_IDLE_S = 1.0


class ConnectionPool:
    """Gives each exchange a connection, an idle one where there is one.

    Parameters:
        make_stream: returns what splits a new connection's bytes.
        limit: connections that this VM may have to one server.
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
        self.opened = 0

    def has_room(self, server: BackendServer) -> bool:
        """Tell whether an exchange could be sent at once."""
        if server.idle:
            return True
        return len(server.connections) < self._limit(server)

    async def submit(self, exchange: Exchange) -> bool:
        """Send an exchange; False if the server has no connection free."""
        server = exchange.server
        connection = self._take_idle(exchange)
        if connection is None and len(server.connections) >= self._limit(
            server,
        ):
            return False
        server.outstanding[exchange.number] = exchange
        if connection is not None:
            await connection.submit(exchange)
            return True
        connection = BackendConnection(
            server,
            self._make_stream(),
            self._clock,
            self._ended,
        )
        server.connections.add(connection)
        self.opened += 1
        await connection.open(exchange)
        return True

    async def abandon(self, exchange: Exchange, *, at_once: bool) -> None:
        """Give up an exchange whose outcome is no longer wanted.

        Parameters:
            at_once: close its connection now rather than wait briefly for
                the reply, after which the connection could be used again.
        """
        exchange.outcomes = None
        now = self._clock.monotonic()
        if exchange.number in exchange.server.outstanding:
            evidence = exchange.server.evidence
            evidence.record_lateness(now - exchange.started, now)
        connection = exchange.connection
        if connection is None or connection.exchange is not exchange:
            return
        if at_once:
            await connection.close()
        else:
            connection.abandoned_until = now + _LOSER_LINGER_S

    async def close_server(self, server: BackendServer) -> None:
        """Close the idle connections of a server that is not used any more."""
        server.gone = True
        for connection in tuple(server.idle):
            await connection.close()
        server.idle.clear()

    async def run(self, servers: Callable[[], list[BackendServer]]) -> None:
        """Close connections that are idle or abandoned for too long."""
        while True:
            await curio.sleep(_SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
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

    def _take_idle(self, exchange: Exchange) -> BackendConnection | None:
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
                idle.append(connection)
                return None
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
            server.evidence.record_answer(now - exchange.started, now)
        else:
            server.evidence.record_failure(now)


def _is_overdue(connection: BackendConnection, now: float) -> bool:
    exchange = connection.exchange
    if exchange is None:
        return connection.idle_until <= now
    if connection.abandoned_until:
        return connection.abandoned_until <= now
    return False
