"""Request rate limit of a backend server after a cold start."""

from __future__ import annotations

from .._ports import Clock

_GROWTH_FACTOR = 1.5
_GROWTH_INTERVAL_S = 0.5
_LOW_DEMAND_GROWTH_INTERVAL_S = 2.0
_WARM_RATE_FACTOR = 30
_BURST_TOKENS = 1.0
_ROUNDING_TOKENS = 1e-6


class Ramp:
    """Token bucket whose rate grows while a server warms up.

    The rate grows by half after each interval in which the server answered
    requests and refused none; the interval is longer while demand is low. A
    refusal halves the rate, a sign of a cold start resets it to the cold
    rate. The server counts as warm, without a limit, once the rate reaches a
    fixed multiple of the cold rate.

    Parameters:
        cold_rate: requests per second that a cold server can handle.
        warm: whether the server is known to be warm already.
    """

    def __init__(
        self,
        cold_rate: float,
        clock: Clock,
        *,
        warm: bool = False,
    ) -> None:
        """Initialize with the cold rate, without a limit if ``warm``."""
        self._clock = clock
        self._cold_rate = cold_rate
        self._rate = cold_rate
        self._warm = warm
        self._tokens = _BURST_TOKENS
        self._refilled_at = clock.monotonic()
        self._interval_started_at = self._refilled_at
        self._answer_count = 0
        self._demand_count = 0

    @property
    def warm(self) -> bool:
        """Whether the server is warm, that is, its rate is not limited."""
        return self._warm

    @property
    def rate(self) -> float:
        """Requests per second allowed while the server is not warm."""
        return self._rate

    def reset(self) -> None:
        """Return to the cold rate with an empty bucket."""
        self._rate = self._cold_rate
        self._warm = False
        self._tokens = 0
        self._refilled_at = self._clock.monotonic()
        self._start_interval(self._refilled_at)

    def back_off(self) -> None:
        """Halve the rate after a refusal.

        For a warm server, which has no rate, the rate of answers in the
        current interval is halved. The rate never falls below the cold rate.
        """
        now = self._clock.monotonic()
        if self._warm:
            elapsed = max(now - self._interval_started_at, _GROWTH_INTERVAL_S)
            self._rate = self._answer_count / elapsed
        self._rate = max(self._cold_rate, self._rate / 2)
        self._warm = False
        self._tokens = 0
        self._refilled_at = now
        self._start_interval(now)

    def seconds_until_token(self, share: float = 1) -> float:
        """Return the seconds until the next request may be sent.

        Parameters:
            share: part of the server's limit that this VM holds; the rest is
                held by another VM, which applies its own ramp.
        """
        if self._warm:
            return 0
        self._refill(share)
        missing = 1 - self._tokens
        return (
            missing / (self._rate * share) if missing > _ROUNDING_TOKENS else 0
        )

    def take_token(self, share: float = 1) -> bool:
        """Take the token for one request; return whether there was one.

        Parameters:
            share: part of the server's limit that this VM holds; the rest is
                held by another VM, which applies its own ramp.
        """
        if self._warm:
            return True
        self._refill(share)
        if self._tokens < 1 - _ROUNDING_TOKENS:
            return False
        self._tokens -= 1
        return True

    def record_demand(self) -> None:
        """Count an incoming request, whether or not it may be sent."""
        self._demand_count += 1

    def record_answer(self) -> None:
        """Count an answered request; raise the rate if an interval is over.

        Demand counts as low if fewer requests came in the interval than half
        of what the rate allows.
        """
        self._answer_count += 1
        now = self._clock.monotonic()
        elapsed = now - self._interval_started_at
        if elapsed < _GROWTH_INTERVAL_S:
            return
        if self._warm:
            self._start_interval(now)
            return
        has_demand = self._demand_count >= self._rate * elapsed / 2
        if not has_demand and elapsed < _LOW_DEMAND_GROWTH_INTERVAL_S:
            return
        self._rate *= _GROWTH_FACTOR
        self._warm = self._rate >= self._cold_rate * _WARM_RATE_FACTOR
        self._start_interval(now)

    def _start_interval(self, now: float) -> None:
        self._answer_count = 0
        self._demand_count = 0
        self._interval_started_at = now

    def _refill(self, share: float) -> None:
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * self._rate * share
        self._tokens = min(_BURST_TOKENS, self._tokens + earned)
        self._refilled_at = now
