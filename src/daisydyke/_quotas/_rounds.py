"""Requests of this VM for tokens, one at a time for each customer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio


@dataclass(slots=True)
class _Round:
    """Callers' requests that share one request for tokens.

    Parameters:
        count: number of callers' requests.
        granted: tokens granted for them.
    """

    count: int = 0
    granted: int = 0
    finished: curio.Event = field(default_factory=curio.Event)


class TokenRounds:
    """Gathers the requests that arrive while another one is on its way.

    Parameters:
        ask: asks for a number of tokens; returns how many were granted.
    """

    def __init__(self, ask: Callable[[int], Awaitable[int]]) -> None:
        """Initialize without requests."""
        self._ask = ask
        self._is_asking = False
        self._next: _Round | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is on its way or waits."""
        return not self._is_asking

    async def take(self) -> bool:
        """Ask for one token; return whether it was granted."""
        if self._next is None:
            self._next = _Round()
        joined = self._next
        position = joined.count
        joined.count += 1
        if not self._is_asking:
            # In a task of its own, which no caller that leaves cancels.
            self._is_asking = True
            await curio.spawn(self._run, daemon=True)
        await joined.finished.wait()
        return position < joined.granted

    async def _run(self) -> None:
        try:
            while self._next is not None:
                await self._finish_next(self._next)
        finally:
            self._is_asking = False
            await self._refuse_next()

    async def _refuse_next(self) -> None:
        """Refuse callers whose round will not be asked for, after an error."""
        left = self._next
        self._next = None
        if left is not None:
            await left.finished.set()

    async def _finish_next(self, current: _Round) -> None:
        self._next = None
        try:
            current.granted = await self._ask(current.count)
        finally:
            await current.finished.set()
