"""Tracks pings that are not acknowledged yet."""

from __future__ import annotations

from itertools import count

import curio

_MAX_PENDING_COUNT = 64


class PendingAcks:
    """Matches acknowledgements with pings by sequence number."""

    def __init__(self) -> None:
        """Initialize without pending pings."""
        self._sequences = count(1)
        self._events: dict[int, curio.Event] = {}

    def add(self) -> int:
        """Register a ping and return its sequence number.

        The oldest ping is dropped when too many are pending.
        """
        sequence = next(self._sequences)
        self._events[sequence] = curio.Event()
        if len(self._events) > _MAX_PENDING_COUNT:
            self._events.pop(next(iter(self._events)))
        return sequence

    async def acknowledge(self, sequence: int) -> None:
        """Mark a ping as acknowledged; ignore unknown sequence numbers."""
        event = self._events.get(sequence)
        if event is not None:
            await event.set()

    async def wait(self, sequence: int, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds for the acknowledgement of a ping.

        Returns:
            Whether the ping is acknowledged; False for one that was dropped
            or never registered.
        """
        event = self._events.get(sequence)
        if event is None:
            return False
        await curio.ignore_after(timeout, event.wait())
        return event.is_set()
