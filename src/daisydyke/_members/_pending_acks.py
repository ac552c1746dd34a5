"""Pings that have not been acknowledged yet."""

from __future__ import annotations

from itertools import count

import curio

_MAXIMUM_PENDING = 64


class PendingAcks:
    """Sequence numbers of pings and who waits for their answers."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self._numbers = count(1)
        self._events: dict[int, curio.Event] = {}

    def add(self) -> int:
        """Return the number of a new ping; the oldest ones are forgotten."""
        sequence = next(self._numbers)
        self._events[sequence] = curio.Event()
        if len(self._events) > _MAXIMUM_PENDING:
            self._events.pop(next(iter(self._events)))
        return sequence

    async def acknowledge(self, sequence: int) -> None:
        """Note the answer to a ping."""
        event = self._events.get(sequence)
        if event is not None:
            await event.set()

    async def wait(self, sequence: int, timeout: float) -> bool:
        """Wait for an answer; False if none came in ``timeout`` seconds."""
        event = self._events.get(sequence)
        if event is None:
            return False
        await curio.ignore_after(timeout, event.wait())
        return event.is_set()
