"""Exchange of one request with one backend server, and its outcome."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from .._requests._model import ExchangeFailure, Reply, RequestEncoder

if TYPE_CHECKING:
    from ._connection import BackendConnection
    from ._server import BackendServer

ExchangeOutcome = Reply | ExchangeFailure


class OutcomeQueue:
    """Outcomes of the exchanges of one caller's request."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._ended: deque[tuple[Exchange, ExchangeOutcome]] = deque()
        self._event = curio.Event()

    async def put(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Add the outcome of an exchange and wake up the waiting task."""
        self._ended.append((exchange, outcome))
        if not self._event.is_set():
            await self._event.set()

    async def wake(self) -> None:
        """Wake up the waiting task without an outcome."""
        await self._event.set()

    async def wait(
        self,
        timeout: float,
    ) -> list[tuple[Exchange, ExchangeOutcome]]:
        """Wait for an outcome and remove all that have arrived.

        Parameters:
            timeout: longest wait in seconds; 0 or less does not wait.

        Returns:
            Ended exchanges with their outcomes; empty after the timeout and
            after ``wake``.
        """
        if not self._ended and timeout > 0:
            await curio.ignore_after(timeout, self._event.wait())
        self._event.clear()
        ended = list(self._ended)
        self._ended.clear()
        return ended


@dataclass(slots=True, eq=False)
class Exchange:
    """Request sent to one backend server.

    Parameters:
        number: identifier that is unique in this process.
        part_index: position of the service or shard in the caller's request.
        encoder: encodes the request when it is sent, since connecting takes
            some of the time that the server may use.
        started_at: monotonic time at which it was handed to the pool.
        deadline: monotonic time from which it must not be sent any more.
        idempotent: whether the request may run more than once.
        bodiless: whether a reply has no body whatever its header says.
        maximum_body: largest body of a reply in bytes.
        outcomes: queue for the outcome; None once it is no longer wanted.
        used_connections: connections that have carried the same request. A
            late duplicate of the reply on them would have the same identifier.
        sent: whether sending has begun, so that the request may have run.
        connection: connection that carries the exchange, once assigned.
        sent_at: monotonic time at which sending began; 0 before.
    """

    number: int
    part_index: int
    request_id: str
    server: BackendServer
    encoder: RequestEncoder
    started_at: float
    deadline: float
    idempotent: bool
    bodiless: bool
    maximum_body: int
    outcomes: OutcomeQueue | None
    used_connections: tuple[BackendConnection, ...] = ()
    sent: bool = False
    connection: BackendConnection | None = None
    sent_at: float = 0
