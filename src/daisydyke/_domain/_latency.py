"""Online latency estimates of sub-requests and the hedge delay they give."""

from __future__ import annotations

from typing import Protocol

from hdrh.histogram import HdrHistogram

_LOWEST_LATENCY_US = 100
_HIGHEST_LATENCY_US = 10_000_000
_SIGNIFICANT_DIGITS = 1
_US_PER_S = 1e6
_SAMPLES_PER_WINDOW = 500
_HEDGE_PERCENTILE = 98.5
_MEDIAN_PERCENTILE = 50
_MAXIMUM_DELAY_IN_MEDIANS = 2
_INITIAL_HEDGE_DELAY_S = 0.03
_MINIMUM_SAMPLES = 100
_SAMPLES_PER_REFRESH = 100


class HedgeTiming(Protocol):
    """Policy for how long to wait before a sub-request is hedged."""

    def delay(self, latency: LatencyEstimate) -> float:
        """Return the delay in seconds; infinity disables hedging.

        Parameters:
            latency: latency estimate of the service.
        """


class EstimatedHedge:
    """Hedges after the delay estimated from recent latencies."""

    def delay(self, latency: LatencyEstimate) -> float:
        """Return the estimated delay in seconds."""
        return latency.hedge_delay


class FixedHedge:
    """Hedges after a constant delay, as a baseline.

    Parameters:
        seconds: delay in seconds; infinity disables hedging.
    """

    def __init__(self, seconds: float) -> None:
        """Initialize with the delay."""
        self._seconds = seconds

    def delay(self, latency: LatencyEstimate) -> float:
        """Return the constant delay in seconds."""
        return self._seconds


class LatencyEstimate:
    """Online estimate of the sub-request latency of one service.

    The samples of the current window and of the previous one count, so that
    an estimate rests on between one and two windows of recent samples.

    ``hedge_delay`` and ``median`` are in seconds. They keep their initial
    values until enough samples are recorded.

    Parameters:
        initial_hedge_delay: hedge delay without samples, in seconds.
    """

    def __init__(
        self, initial_hedge_delay: float = _INITIAL_HEDGE_DELAY_S
    ) -> None:
        """Initialize without samples, with the initial estimates."""
        self._current = _empty_histogram()
        self._previous = _empty_histogram()
        self._recorded = 0
        self.hedge_delay = initial_hedge_delay
        self.median = initial_hedge_delay / _MAXIMUM_DELAY_IN_MEDIANS

    def record(self, seconds: float) -> None:
        """Add the latency of a sub-request.

        Parameters:
            seconds: latency; for an abandoned attempt, the time it had taken
                when it was abandoned.
        """
        self._current.record_value(
            max(_LOWEST_LATENCY_US, int(seconds * _US_PER_S)),
        )
        self._recorded += 1
        if (
            self._recorded >= _MINIMUM_SAMPLES
            and self._recorded % _SAMPLES_PER_REFRESH == 0
        ):
            self._refresh()
        if self._current.get_total_count() >= _SAMPLES_PER_WINDOW:
            self._previous = self._current
            self._current = _empty_histogram()

    def _refresh(self) -> None:
        # A multiple of the median caps the delay: where many sub-requests
        # are slow, the percentile itself is the latency of a slow one.
        merged = _empty_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        self.median = (
            merged.get_value_at_percentile(_MEDIAN_PERCENTILE) / _US_PER_S
        )
        slow = merged.get_value_at_percentile(_HEDGE_PERCENTILE) / _US_PER_S
        self.hedge_delay = min(slow, _MAXIMUM_DELAY_IN_MEDIANS * self.median)


def _empty_histogram() -> HdrHistogram:
    return HdrHistogram(
        _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US, _SIGNIFICANT_DIGITS
    )
