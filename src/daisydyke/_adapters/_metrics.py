"""Counters and latency histograms, rendered as text when they are scraped."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client import Metric

_LOWEST_US = 100
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 1
_US_PER_MS = 1000
_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 5000)
_LABEL = 'kind'
_PREFIX = 'daisydyke_'

Gauges = Callable[[], Mapping[str, float]]


class MetricsRegistry:
    """Keeps the daemon's series; a name is ``family`` or ``family.kind``.

    Parameters:
        gauges: returns the values that are read only when scraped.
    """

    def __init__(self, gauges: Gauges) -> None:
        """Start with all counts at zero."""
        self._gauges = gauges
        self._counts: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        self._counts[stat] += count

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""
        histogram = self._histograms.get(stat)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US,
                _HIGHEST_US,
                _SIGNIFICANT_DIGITS,
            )
            self._histograms[stat] = histogram
        histogram.record_value(max(_LOWEST_US, int(delta * _US_PER_MS)))

    def render(self) -> bytes:
        """Return all series in the text format of Prometheus."""
        # The library is large and needed only where somebody scrapes.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all series; called by the library."""
        yield from self._gauge_families()
        yield from self._counter_families()
        yield from self._histogram_families()

    def _gauge_families(self) -> Iterator[Metric]:
        from prometheus_client import metrics_core as core

        for name, reading in self._gauges().items():
            yield core.GaugeMetricFamily(_PREFIX + name, name, reading)

    def _counter_families(self) -> Iterator[Metric]:
        from prometheus_client import metrics_core as core

        for name, stats in _families(self._counts).items():
            family = core.CounterMetricFamily(
                _PREFIX + name,
                name,
                labels=[_LABEL],
            )
            for stat in stats:
                family.add_metric([_kind(stat)], self._counts[stat])
            yield family

    def _histogram_families(self) -> Iterator[Metric]:
        from prometheus_client import metrics_core as core

        for name, stats in _families(self._histograms).items():
            family = core.HistogramMetricFamily(
                _PREFIX + name,
                name,
                labels=[_LABEL],
            )
            for stat in stats:
                histogram = self._histograms[stat]
                buckets = _buckets(histogram)
                family.add_metric([_kind(stat)], buckets, _sum_ms(histogram))
            yield family


def _sum_ms(histogram: HdrHistogram) -> float:
    total = histogram.get_mean_value() * histogram.get_total_count()
    return total / _US_PER_MS


def _families(stats: Mapping[str, object]) -> dict[str, list[str]]:
    families: dict[str, list[str]] = {}
    for stat in sorted(stats):
        family, _, _ = stat.partition('.')
        families.setdefault(family, []).append(stat)
    return families


def _kind(stat: str) -> str:
    _, _, kind = stat.partition('.')
    return kind


def _buckets(histogram: HdrHistogram) -> list[tuple[str, float]]:
    steps = [
        (
            step.value_iterated_to / _US_PER_MS,
            step.count_added_in_this_iter_step,
        )
        for step in histogram.get_recorded_iterator()
    ]
    buckets = [
        (str(bound), float(_count_until(bound, steps))) for bound in _BOUNDS_MS
    ]
    return [*buckets, ('+Inf', float(histogram.get_total_count()))]


def _count_until(bound: int, steps: list[tuple[float, int]]) -> int:
    return sum(count for reached, count in steps if reached <= bound)
