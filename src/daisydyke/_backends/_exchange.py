"""One request sent to one backend server, and where its outcome goes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from .._requests._model import ExchangeFailure, Reply

if TYPE_CHECKING:
    from ._connection import BackendConnection
    from ._server import BackendServer

ExchangeOutcome = Reply | ExchangeFailure


class OutcomeQueue:
    """Outcomes that one request's dispatcher waits for."""

    def __init__(self) -> None:
        """Start empty."""
        self._ended: deque[tuple[Exchange, ExchangeOutcome]] = deque()
        self._event = curio.Event()

    async def put(self, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        """Add the one outcome of an exchange."""
        self._ended.append((exchange, outcome))
        if not self._event.is_set():
            await self._event.set()

    async def wait(
        self,
        timeout: float,
    ) -> list[tuple[Exchange, ExchangeOutcome]]:
        """Return what has ended; empty after ``timeout`` seconds."""
        if not self._ended and timeout > 0:
            await curio.ignore_after(timeout, self._event.wait())
        self._event.clear()
        ended = list(self._ended)
        self._ended.clear()
        return ended


@dataclass(slots=True, eq=False)
class Exchange:
    """A request on its way to a server.

    Parameters:
        number: unique in this process.
        part_index: position of the shard in the caller's request.
        payload: the encoded request.
        started_at: monotonic time at which it was given to a connection.
        bodiless: whether a reply has no body whatever its header says.
        outcomes: None once the outcome is no longer wanted.
    """

    number: int
    part_index: int
    request_id: str
    server: BackendServer
    payload: bytes
    started_at: float
    idempotent: bool
    bodiless: bool
    outcomes: OutcomeQueue | None
    sent: bool = False
    connection: BackendConnection | None = None
