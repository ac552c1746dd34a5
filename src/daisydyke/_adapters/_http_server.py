"""HTTP/1.1 server that uses h11, with one reader task per connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import curio

from .._domain._byte_budget import PeerMemory
from .._domain._model import Address
from .._ports import Clock
from ._client_connection import ClientConnection
from ._server_state import (
    CutCause,
    Handler,
    HttpLimits,
    ServerState,
    UnservedRequests,
)
from ._clock import RuntimeClock
from ._sockets import (
    SHORT_SEND_BUFFER_BYTES,
    bound_send_buffer,
    disable_delay,
    has_unread,
)

_BACKLOG_CONNECTIONS = 512
# Connections accepted in a row before other tasks have a turn.
_ACCEPTS_PER_TURN = 8
_DRAIN_POLL_INTERVAL_S = 0.01
# For connections that the kernel has accepted before the drain.
_LAST_ACCEPT_S = 0.02
_ACCEPT_RETRY_INTERVAL_S = 0.05
_TIMEOUT_CHECK_INTERVAL_S = 0.5
_ANSWER_BYTES = 1 << 24


@dataclass(frozen=True, slots=True)
class HttpCapacity:
    """Limits on what all clients together may occupy.

    At a limit, the client that has been idle for the longest time gives way,
    or else the one that has been sending a request for the longest time.

    Parameters:
        connections: largest number of open connections.
        request_bytes: largest size of all requests that are being received or
            answered.
    """

    connections: int = 1024
    request_bytes: int = 1 << 24


class HttpServer:
    """Accepts connections and serves requests until it is drained.

    Parameters:
        handler: answers one request; it must map errors to responses itself,
            since the server does not handle them.
        cancel_on_disconnect: whether the handler of a request is cancelled if
            the client closes the connection.
        limits: returns the limits of a new connection.
        capacity: limits on all connections together.
        memory: account of what peers make the process hold; one of its own
            by default.
        unserved: takes the requests that the handler does not answer; by
            default they are not recorded.
        clock: clock for the time-outs; that of the runtime by default.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        cancel_on_disconnect: bool = False,
        limits: Callable[[], HttpLimits] = HttpLimits,
        capacity: HttpCapacity | None = None,
        memory: PeerMemory | None = None,
        unserved: UnservedRequests | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Initialize without listening; ``start`` binds the socket."""
        self._capacity = capacity or HttpCapacity()
        self._state = ServerState(
            handler,
            cancel_on_disconnect,
            clock or RuntimeClock(),
            memory or _make_memory(self._capacity),
            unserved=unserved or UnservedRequests(),
        )
        self._state.memory.free_with(self._discard_slowest_answer)
        self._limits = limits
        self._connections: set[ClientConnection] = set()
        self._accepted_count = 0
        self._listener: curio.io.Socket | None = None
        self._accept_task: curio.Task | None = None

    @property
    def requests_in_progress(self) -> int:
        """Number of requests that are being answered."""
        return self._state.requests_in_progress

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def held_bytes(self) -> int:
        """Size of all requests that are being received or answered."""
        return self._state.memory.requests.held

    @property
    def held_answer_bytes(self) -> int:
        """Size of all replies being received and answers being sent."""
        return self._state.memory.answers.held

    @property
    def refused_count(self) -> int:
        """Number of requests refused so far for lack of memory."""
        return self._state.refused_count

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
        self._state.closing = True

    async def drain(self) -> None:
        """Stop listening, close idle connections and await all others.

        Requests that have arrived in part, or that wait to be read, are
        answered as well.
        """
        self._state.closing = True
        await self._accept_last()
        await self.stop_listening()
        while self._connections:
            for connection in tuple(self._connections):
                await connection.close_if_idle()
            await curio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def cut(self) -> None:
        """End and report the requests in progress, as the process ends.

        The server must have ``cancel_on_disconnect``.
        """
        for connection in tuple(self._connections):
            await connection.close(CutCause.STOPPED)
        while self._state.requests_in_progress:
            await curio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._accept_task is not None:
            await self._accept_task.cancel()
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    @property
    def _is_full(self) -> bool:
        return len(self._connections) >= self._capacity.connections

    async def _accept_last(self) -> None:
        """Accept the connections that the kernel has accepted already."""
        if self._listener is None or self._accept_task is None:
            return
        await curio.sleep(_LAST_ACCEPT_S)
        # It may not have had a turn since, and closing the listener resets
        # the connections that wait.
        await self._accept_task.cancel()
        await self._accept_waiting(self._listener)

    async def _accept_waiting(self, listener: curio.io.Socket) -> None:
        for _ in range(_BACKLOG_CONNECTIONS):
            if not has_unread(listener.fileno()):
                return
            try:
                client, _ = await listener.accept()
            except OSError:
                # No file descriptor is free.
                return
            await self._serve(client)
            await self._let_others_run()

    async def _accept(self, listener: curio.io.Socket) -> None:
        while True:
            try:
                client, _ = await listener.accept()
            except OSError:
                # The client has gone, or no file descriptor is free.
                await self._free_connection()
                await curio.sleep(_ACCEPT_RETRY_INTERVAL_S)
                continue
            await self._serve(client)
            await self._let_others_run()

    async def _let_others_run(self) -> None:
        """Give other tasks a turn, however many connections wait.

        While no more connections are allowed, each newcomer takes a look at
        all others.
        """
        self._accepted_count += 1
        if self._is_full or self._accepted_count % _ACCEPTS_PER_TURN == 0:
            await curio.sleep(0)

    async def _serve(self, client: curio.io.Socket) -> None:
        if self._is_full and not await self._free_connection():
            # All others are being answered.
            await client.close()
            return
        disable_delay(client)
        bound_send_buffer(client, SHORT_SEND_BUFFER_BYTES)
        connection = ClientConnection(
            self._state, client, self._limits(), self._close_slowest
        )
        self._connections.add(connection)
        await curio.spawn(self._run(connection, client), daemon=True)

    async def _run(
        self, connection: ClientConnection, client: curio.io.Socket
    ) -> None:
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            await client.close()

    async def _free_connection(self) -> bool:
        return (
            await self._close_longest_idle()
            or await self._close_slowest()
            or await self._close_slowest_reader()
        )

    async def _close_longest_idle(self) -> bool:
        connections = sorted(self._connections, key=_wait_started_at)
        for connection in connections:
            if await connection.close_if_idle():
                return True
        return False

    async def _close_slowest(
        self, newcomer: ClientConnection | None = None
    ) -> bool:
        """Close the connection that has been receiving for the longest time.

        Parameters:
            newcomer: connection that stays open, for which room is made.

        Returns:
            Whether there was one.
        """
        receiving = [
            connection
            for connection in self._connections
            if connection.receiving and connection is not newcomer
        ]
        if not receiving:
            return False
        await min(receiving, key=_wait_started_at).close()
        return True

    async def _close_slowest_reader(self) -> bool:
        """Close the connection that takes its answer slowest.

        Returns:
            Whether there was one that takes it slowly.
        """
        slow = [one for one in self._connections if one.writer.reads_slowly]
        if not slow:
            return False
        await max(slow, key=_slowness).close_slow_reader()
        return True

    def _discard_slowest_answer(self) -> bool:
        """Free the long answer that is taken slowest, if one is slow."""
        slow = [
            connection
            for connection in self._connections
            if connection.writer.holds_body and connection.writer.reads_slowly
        ]
        if not slow:
            return False
        max(slow, key=_slowness).writer.discard()
        return True

    async def _close_overdue_connections(self) -> None:
        while True:
            await curio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            now = self._state.clock.monotonic()
            for connection in tuple(self._connections):
                await connection.close_if_overdue(now)
                await connection.close_if_slow()
            while self._state.memory.is_short:
                if not await self._close_slowest_reader():
                    break


def _make_memory(capacity: HttpCapacity) -> PeerMemory:
    return PeerMemory(
        capacity.request_bytes + _ANSWER_BYTES,
        capacity.request_bytes,
        _ANSWER_BYTES,
    )


def _slowness(connection: ClientConnection) -> tuple[int, int]:
    return connection.writer.slowness


def _wait_started_at(connection: ClientConnection) -> float:
    return connection.wait_started_at
