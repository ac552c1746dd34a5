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
_PERCENT = 100
_MAXIMUM_DELAY_IN_MEDIANS = 2
_INITIAL_HEDGE_DELAY_S = 0.03
_MINIMUM_SAMPLES = 100
_SAMPLES_PER_REFRESH = 100
# Used only to round a sample up to the end of its bucket: adding each sample to
# a histogram costs more than sorting the few samples that count.
_BUCKETS = HdrHistogram(
    _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US, _SIGNIFICANT_DIGITS
)


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
        self._current_us: list[int] = []
        self._previous_us: list[int] = []
        self._recorded = 0
        self.hedge_delay = initial_hedge_delay
        self.median = initial_hedge_delay / _MAXIMUM_DELAY_IN_MEDIANS

    def record(self, seconds: float) -> None:
        """Add the latency of a sub-request.

        Parameters:
            seconds: latency; for an abandoned attempt, the time it had taken
                when it was abandoned.
        """
        sample_us = max(_LOWEST_LATENCY_US, int(seconds * _US_PER_S))
        self._current_us.append(min(sample_us, _HIGHEST_LATENCY_US))
        self._recorded += 1
        if (
            self._recorded >= _MINIMUM_SAMPLES
            and self._recorded % _SAMPLES_PER_REFRESH == 0
        ):
            self._refresh()
        if len(self._current_us) >= _SAMPLES_PER_WINDOW:
            self._previous_us = self._current_us
            self._current_us = []

    def _refresh(self) -> None:
        # A multiple of the median caps the delay: where many sub-requests
        # are slow, the percentile itself is the latency of a slow one.
        samples_us = sorted(self._previous_us + self._current_us)
        self.median = _percentile_us(samples_us, _MEDIAN_PERCENTILE) / _US_PER_S
        slow = _percentile_us(samples_us, _HEDGE_PERCENTILE) / _US_PER_S
        self.hedge_delay = min(slow, _MAXIMUM_DELAY_IN_MEDIANS * self.median)


def _percentile_us(samples_us: list[int], percentile: float) -> int:
    """Return a percentile, rounded up as in a histogram.

    Parameters:
        samples_us: samples in ascending order, at least one.
    """
    rank = int(percentile * len(samples_us) / _PERCENT + 0.5)
    sample_us = samples_us[max(1, rank) - 1]
    return int(_BUCKETS.get_highest_equivalent_value(sample_us))
