"""Admissions of one customer in the latest window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Admissions that are closer together count as simultaneous, at the later time.
_RESOLUTION_S = 0.02


@dataclass(slots=True)
class _Entry:
    first_at: float
    last_at: float
    count: int


class AdmissionLog:
    """Counts admissions with their times, as far back as the window reaches.

    Parameters:
        window_s: length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        """Initialize without admissions."""
        self._window_s = window_s
        self._entries: deque[_Entry] = deque()

    def add(self, now: float, count: int = 1) -> None:
        """Record admissions at this time."""
        if self._entries and now - self._entries[-1].first_at < _RESOLUTION_S:
            self._entries[-1].last_at = now
            self._entries[-1].count += count
            return
        self._entries.append(_Entry(now, now, count))

    def remove_oldest(self, count: int) -> None:
        """Remove admissions of requests that have not run.

        Removing the oldest ones never allows more than removing those of the
        requests themselves.
        """
        left = count
        while left and self._entries:
            removed = min(left, self._entries[0].count)
            self._entries[0].count -= removed
            left -= removed
            if not self._entries[0].count:
                self._entries.popleft()

    def count(self, now: float) -> int:
        """Return the number of admissions in the window that ends now."""
        self._expire(now)
        return sum(entry.count for entry in self._entries)

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        while self._entries and self._entries[0].last_at < oldest:
            self._entries.popleft()
