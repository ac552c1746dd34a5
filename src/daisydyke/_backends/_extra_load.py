"""Bound on the requests that hedges and retries add to a service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .._ports import Clock

_BUCKETS = 10
_USED_PART = 0.85
_HEDGE_PART = 0.75


@dataclass(frozen=True, slots=True)
class ExtraLoadLimits:
    """Extra requests that all VMs together may send to a service.

    Parameters:
        ratio: extra requests for each request.
        slack: extra requests in each window beside those.
        window: seconds that the bound looks back.
    """

    ratio: float
    slack: float
    window: float


class _Counter:
    """Counts events of the latest window in buckets."""

    def __init__(self, width: float) -> None:
        self._width = width
        self._buckets: deque[tuple[int, int]] = deque()
        self.total = 0

    def add(self, now: float, count: int = 1) -> None:
        """Count events that happen now."""
        index = int(now / self._width)
        if self._buckets and self._buckets[-1][0] == index:
            _, count_before = self._buckets.pop()
            self._buckets.append((index, count_before + count))
        else:
            self._buckets.append((index, count))
        self.total += count

    def expire(self, now: float, buckets: int) -> None:
        """Forget what lies more than ``buckets`` buckets back."""
        oldest = int(now / self._width) - buckets
        while self._buckets and self._buckets[0][0] < oldest:
            self.total -= self._buckets.popleft()[1]


class ExtraLoadBudget:
    """This VM's part of a service's bound.

    Every VM uses the ratio of its own requests and an equal part of the
    slack, so that all VMs together stay within the bound without talking.

    Parameters:
        share: part of the slack that is this VM's, 0 to 1.
    """

    def __init__(
        self,
        bounds: ExtraLoadLimits,
        clock: Clock,
        share: Callable[[], float],
    ) -> None:
        """Start with an empty window."""
        self._bounds = bounds
        self._clock = clock
        self._share = share
        width = bounds.window / _BUCKETS
        self._requests = _Counter(width)
        self._extra = _Counter(width)

    def record_request(self) -> None:
        """Count a request's first arrival."""
        self._requests.add(self._clock.monotonic())

    def try_acquire_hedge(self) -> bool:
        """Count a hedge if it fits; part of the bound is kept for retries."""
        return self._take(_HEDGE_PART)

    def try_acquire_retry(self) -> bool:
        """Count a retry if it fits."""
        return self._take(1)

    def _take(self, part: float) -> bool:
        now = self._clock.monotonic()
        # The window of requests is the shorter one and that of extra
        # requests the longer one, so that rounding never exceeds the bound.
        self._requests.expire(now, _BUCKETS - 1)
        self._extra.expire(now, _BUCKETS + 1)
        allowed = (
            self._bounds.ratio * self._requests.total
            + self._bounds.slack * self._share()
        )
        if self._extra.total + 1 > allowed * part * _USED_PART:
            return False
        self._extra.add(now)
        return True
