"""Budget for the requests that hedges and retries add to a service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .._ports import Clock

_BUCKET_COUNT = 10
_USED_SHARE = 0.85
_HEDGE_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class ExtraLoadLimits:
    """Limit on the extra requests that all VMs together send to a service.

    Parameters:
        ratio: extra requests allowed per request.
        slack: extra requests allowed in each window in addition to those.
        window_s: length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class _Bucket:
    index: int
    count: int


class _WindowCounter:
    """Counts the events of a sliding window in buckets of equal width.

    Parameters:
        width_s: width of a bucket in seconds.
    """

    def __init__(self, width_s: float) -> None:
        self._width_s = width_s
        self._buckets: deque[_Bucket] = deque()
        self.total = 0

    def add(self, now: float, count: int = 1) -> None:
        """Count events in the bucket of the current time."""
        index = int(now / self._width_s)
        if self._buckets and self._buckets[-1].index == index:
            self._buckets[-1].count += count
        else:
            self._buckets.append(_Bucket(index, count))
        self.total += count

    def expire(self, now: float, bucket_count: int) -> None:
        """Drop events more than ``bucket_count`` buckets old."""
        oldest = int(now / self._width_s) - bucket_count
        while self._buckets and self._buckets[0].index < oldest:
            self.total -= self._buckets.popleft().count


class ExtraLoadBudget:
    """This VM's budget of hedges and retries for one service.

    Every VM applies the ratio to its own requests and uses an equal share of
    the slack, so that all VMs together stay within the limit without
    exchanging messages.

    Parameters:
        limits: limit that all VMs together have to meet.
        slack_share: returns this VM's share of the slack, 0 to 1.
    """

    def __init__(
        self,
        limits: ExtraLoadLimits,
        clock: Clock,
        slack_share: Callable[[], float],
    ) -> None:
        """Initialize with an empty window."""
        self._limits = limits
        self._clock = clock
        self._slack_share = slack_share
        width_s = limits.window_s / _BUCKET_COUNT
        self._requests = _WindowCounter(width_s)
        self._extra = _WindowCounter(width_s)

    def record_request(self) -> None:
        """Count a request; its hedges and retries do not count as requests."""
        self._requests.add(self._clock.monotonic())

    def may_hedge(self) -> bool:
        """Return whether a hedge is within the budget, without counting it."""
        return self._may_acquire(_HEDGE_SHARE)

    def try_acquire_hedge(self) -> bool:
        """Return whether a hedge is within the budget, and count it if so.

        Hedges may use only a share of the budget; the rest is reserved for
        retries.
        """
        return self._try_acquire(_HEDGE_SHARE)

    def try_acquire_retry(self) -> bool:
        """Return whether a retry is within the budget, and count it if so."""
        return self._try_acquire(1)

    def _try_acquire(self, budget_share: float) -> bool:
        if not self._may_acquire(budget_share):
            return False
        self._extra.add(self._clock.monotonic())
        return True

    def _may_acquire(self, budget_share: float) -> bool:
        now = self._clock.monotonic()
        # Requests are counted over a shorter window than extra requests, so
        # that rounding to buckets never exceeds the limit.
        self._requests.expire(now, _BUCKET_COUNT - 1)
        self._extra.expire(now, _BUCKET_COUNT + 1)
        allowed = (
            self._limits.ratio * self._requests.total
            + self._limits.slack * self._slack_share()
        )
        return self._extra.total + 1 <= allowed * budget_share * _USED_SHARE
