"""Pool of this VM's connections to all backend servers."""

from __future__ import annotations

import math
from collections.abc import Callable

import curio

from .._ports import Clock, DecisionLog
from .._requests._model import ExchangeFailure, FailureReason, Reply
from ._connection import BackendConnection
from ._exchange import Exchange, ExchangeOutcome
from ._reply_stream import ReplyStream
from .._domain._byte_budget import ByteBudget
from ._server import BackendServer

_SWEEP_INTERVAL_S = 0.1
# Idle connections are closed this long before the server would close them.
_KEEP_ALIVE_MARGIN_S = 0.7
_NON_IDEMPOTENT_MAX_IDLE_S = 1.0
_NEVER_USED_MAX_IDLE_S = 3.0


class ConnectionPool:
    """Sends exchanges on idle connections, or on new ones within a limit.

    Parameters:
        make_stream: returns the response parser of a new connection.
        connection_limit: returns the number of connections that this VM may
            have to a server.
        may_send: returns whether a server may be sent requests; checked again
            when a new connection is open.
        reply_memory: bounds the replies that are received or held on all
            connections together.
        free_sockets: returns the number of sockets that may be open for
            connections to all servers together.
        log: gets a record each time that a server violates the protocol.

    Attributes:
        opened_count: connections opened so far.
        open_count: connections that are open now.
        violation_count: violations of the protocol by servers so far.
        loop_lag_s: lag of the event loop, the seconds by which the timer of
            the latest sweep fired late.
        end_at: monotonic time from which all connections are left to the end
            of this process; infinity while the process goes on.
    """

    def __init__(
        self,
        make_stream: Callable[[], ReplyStream],
        connection_limit: Callable[[BackendServer], int],
        may_send: Callable[[BackendServer], bool],
        reply_memory: ByteBudget,
        clock: Clock,
        log: DecisionLog,
        free_sockets: Callable[[], int],
    ) -> None:
        """Initialize without connections."""
        self._make_stream = make_stream
        self._connection_limit = connection_limit
        self._may_send = may_send
        self._memory = reply_memory
        self._clock = clock
        self._log = log
        self._free_sockets = free_sockets
        self.opened_count = 0
        self.open_count = 0
        self.violation_count = 0
        self.loop_lag_s: float = 0
        self.end_at = math.inf

    def can_submit(self, server: BackendServer) -> bool:
        """Return whether an exchange could be sent at once."""
        if server.idle:
            return True
        return self._can_open(server)

    async def submit(self, exchange: Exchange) -> bool:
        """Send an exchange.

        Returns:
            False if nothing was sent, since the server has no idle
            connection and the limit on connections is reached.
        """
        server = exchange.server
        connection = await self._pop_idle(exchange)
        if connection is None and not self._can_open(server):
            return False
        server.outstanding[exchange.number] = exchange
        if connection is not None:
            await connection.submit(exchange)
            return True
        await self._make_connection(server).open(exchange)
        return True

    async def abandon(self, exchange: Exchange) -> None:
        """Cancel an exchange whose outcome is no longer wanted.

        Its connection is closed, since a server drops a request whose
        connection closes. After ``end_at``, the end of the process does that.
        """
        server = exchange.server
        exchange.outcomes = None
        if self._clock.monotonic() >= self.end_at:
            return
        if exchange.number in server.outstanding:
            now = self._clock.monotonic()
            server.evidence.record_minimum_latency(
                now - exchange.started_at,
                now,
            )
        connection = exchange.connection
        if connection is not None and connection.exchange is exchange:
            await connection.close()
            await self._ensure_connection(server)

    async def close_server(self, server: BackendServer) -> None:
        """Mark a server as removed and close its idle connections.

        Open exchanges go on until they end.
        """
        server.removed = True
        for connection in tuple(server.idle):
            await connection.close()
        server.idle.clear()

    def close(self) -> None:
        """Open no more connections but for exchanges."""
        self.end_at = self._clock.monotonic()

    async def run(self, servers: Callable[[], list[BackendServer]]) -> None:
        """Close connections whose idle time has expired, until cancelled.

        Parameters:
            servers: returns the servers whose connections are checked.
        """
        while True:
            due = self._clock.monotonic() + _SWEEP_INTERVAL_S
            await curio.sleep(_SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
            self.loop_lag_s = max(0, now - due)
            expired = [
                connection
                for server in servers()
                for connection in server.connections
                if _is_expired(connection, now)
            ]
            for connection in expired:
                await self._close(connection)

    def may_send(self, server: BackendServer) -> bool:
        """Return whether a server may still be sent requests."""
        return self._may_send(server)

    def handle_violation(
        self, connection: BackendConnection, detail: str
    ) -> None:
        """Count a violation of the protocol as a failure of the server."""
        server = connection.server
        self.violation_count += 1
        server.evidence.record_failure(self._clock.monotonic())
        self._log.record(
            'protocol_violation', server=server.server_id, detail=detail
        )

    def handle_opened_idle(self, connection: BackendConnection) -> None:
        """Keep a connection that was opened without an exchange."""
        now = self._clock.monotonic()
        connection.idle_since = now
        connection.idle_until = now + _NEVER_USED_MAX_IDLE_S
        connection.server.idle.append(connection)

    def handle_ended(
        self,
        connection: BackendConnection,
        exchange: Exchange,
        outcome: ExchangeOutcome,
    ) -> None:
        """Record the outcome of an exchange and keep its connection."""
        server = exchange.server
        server.outstanding.pop(exchange.number, None)
        now = self._clock.monotonic()
        if isinstance(outcome, ExchangeFailure):
            if _is_fault_of_server(exchange, outcome):
                server.evidence.record_failure(now)
            return
        self._record_reply(exchange, outcome, now)
        if outcome.keep_alive > 0 and not server.removed:
            connection.idle_until -= _KEEP_ALIVE_MARGIN_S
            server.idle.append(connection)

    def handle_closed(self) -> None:
        """Count a connection that is being closed."""
        self.open_count -= 1

    def _can_open(self, server: BackendServer) -> bool:
        return (
            len(server.connections) < self._connection_limit(server)
            and self.open_count < self._free_sockets()
        )

    async def _close(self, connection: BackendConnection) -> None:
        if connection in connection.server.idle:
            connection.server.idle.remove(connection)
        await connection.close()

    def _make_connection(self, server: BackendServer) -> BackendConnection:
        connection = BackendConnection(
            server,
            self._make_stream(),
            self._clock,
            self._memory,
            self,
        )
        server.connections.add(connection)
        self.opened_count += 1
        self.open_count += 1
        return connection

    async def _ensure_connection(self, server: BackendServer) -> None:
        """Open an idle connection if the server has no connection left."""
        if server.removed or server.connections:
            return
        if self._clock.monotonic() >= self.end_at:
            return
        await self._make_connection(server).open()

    async def _pop_idle(
        self,
        exchange: Exchange,
    ) -> BackendConnection | None:
        now = self._clock.monotonic()
        idle = exchange.server.idle
        while idle:
            connection = idle.pop()
            if connection.closed or connection.idle_until <= now:
                continue
            if connection in exchange.used_connections:
                # A late duplicate of an earlier reply to the same request
                # could be taken for the new one.
                await connection.close()
                continue
            stale = now - connection.idle_since > _NON_IDEMPOTENT_MAX_IDLE_S
            if stale and not exchange.idempotent:
                # A non-idempotent request must not be lost to a connection
                # that the server is about to close.
                await connection.close()
                continue
            return connection
        return None

    def _record_reply(
        self, exchange: Exchange, reply: Reply, now: float
    ) -> None:
        server = exchange.server
        if reply.cold_for:
            server.cold_until = now + reply.cold_for
        if reply.success:
            server.evidence.record_answer(now - exchange.started_at, now)
        else:
            server.evidence.record_failure(now)
            if reply.is_shed:
                server.shed_at = now


def _is_fault_of_server(exchange: Exchange, failure: ExchangeFailure) -> bool:
    wanted = exchange.outcomes is not None
    return wanted and failure.reason is not FailureReason.NO_MEMORY


def _is_expired(connection: BackendConnection, now: float) -> bool:
    return connection.exchange is None and connection.idle_until <= now
