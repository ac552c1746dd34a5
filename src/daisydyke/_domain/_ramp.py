"""How much a backend server may be given after a cold start."""

from __future__ import annotations

from .._ports import Clock

_GROWTH = 1.5
_GROWTH_INTERVAL_S = 0.5
_LIGHT_GROWTH_INTERVAL_S = 2.0
_WARM_RATE_MULTIPLE = 30
_BURST = 1.0
_ROUNDING = 1e-6


class Ramp:
    """Rate limit that rises with answered requests from a cold start.

    The rate grows by half for each interval in which the server answered and
    refused nothing; an interval is longer while little is asked of it. A
    refusal halves what the server is given, a sign of a cold start sets it
    back to the cold rate.

    Parameters:
        cold_rate: requests a second that a cold server can bear.
    """

    def __init__(
        self,
        cold_rate: float,
        clock: Clock,
        *,
        warm: bool = False,
    ) -> None:
        """Start cold unless the server is known to be warm."""
        self._clock = clock
        self._cold_rate = cold_rate
        self._rate = cold_rate
        self._warm = warm
        self._tokens = _BURST
        self._filled_at = clock.monotonic()
        self._grown_at = self._filled_at
        self._answered = 0
        self._demand = 0

    @property
    def warm(self) -> bool:
        """Whether the rate is no longer limited."""
        return self._warm

    @property
    def rate(self) -> float:
        """Requests a second allowed while not warm."""
        return self._rate

    def reset(self) -> None:
        """Go back to the cold rate; no token is left over."""
        self._rate = self._cold_rate
        self._warm = False
        self._tokens = 0
        self._filled_at = self._clock.monotonic()
        self._start_interval(self._filled_at)

    def back_off(self) -> None:
        """Halve the rate, from what was answered lately if it was warm."""
        now = self._clock.monotonic()
        if self._warm:
            elapsed = max(now - self._grown_at, _GROWTH_INTERVAL_S)
            self._rate = self._answered / elapsed
        self._rate = max(self._cold_rate, self._rate / 2)
        self._warm = False
        self._tokens = 0
        self._filled_at = now
        self._start_interval(now)

    def seconds_until_token(self, share: float = 1) -> float:
        """Seconds until the next request may be sent."""
        if self._warm:
            return 0
        self._fill(share)
        missing = 1 - self._tokens
        return missing / (self._rate * share) if missing > _ROUNDING else 0

    def take_token(self, share: float = 1) -> bool:
        """Take the right to send one request; tells whether there was one.

        Parameters:
            share: part of the server's limit that this VM holds; another VM
                ramps the other part.
        """
        if self._warm:
            return True
        self._fill(share)
        if self._tokens < 1 - _ROUNDING:
            return False
        self._tokens -= 1
        return True

    def record_demand(self) -> None:
        """Note a request that came, whether or not it may be sent."""
        self._demand += 1

    def record_answer(self) -> None:
        """Note an answered request, and grow when an interval went well."""
        self._answered += 1
        now = self._clock.monotonic()
        elapsed = now - self._grown_at
        if elapsed < _GROWTH_INTERVAL_S:
            return
        if self._warm:
            self._start_interval(now)
            return
        used = self._demand >= self._rate * elapsed / 2
        if not used and elapsed < _LIGHT_GROWTH_INTERVAL_S:
            return
        self._rate *= _GROWTH
        self._warm = self._rate >= self._cold_rate * _WARM_RATE_MULTIPLE
        self._start_interval(now)

    def _start_interval(self, now: float) -> None:
        self._answered = 0
        self._demand = 0
        self._grown_at = now

    def _fill(self, share: float) -> None:
        now = self._clock.monotonic()
        gained = (now - self._filled_at) * self._rate * share
        self._tokens = min(_BURST, self._tokens + gained)
        self._filled_at = now
