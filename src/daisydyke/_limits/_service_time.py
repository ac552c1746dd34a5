"""Mean time that a backend server takes for a sub-request."""

from __future__ import annotations

_SMOOTHING_FACTOR = 0.1
_INITIAL_MEAN_S = 0.005


class ServiceTime:
    """Exponentially smoothed mean of service times.

    Attributes:
        mean_s: the mean in seconds.
    """

    def __init__(self) -> None:
        """Initialize with a typical service time."""
        self.mean_s = _INITIAL_MEAN_S

    def record(self, duration_s: float) -> None:
        """Take the time of a sub-request that was answered."""
        self.mean_s += _SMOOTHING_FACTOR * (duration_s - self.mean_s)
