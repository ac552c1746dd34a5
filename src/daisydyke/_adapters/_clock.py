"""Monotonic clock of the curio runtime."""

from __future__ import annotations

import time


class RuntimeClock:
    """Reads the monotonic clock, which curio also uses for its timers."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary, fixed point in time."""
        return time.monotonic()
