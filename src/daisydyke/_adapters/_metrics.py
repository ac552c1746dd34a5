"""Counters, gauges and latency histograms in the format of Prometheus."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client import Metric

_LOWEST_DURATION_US = 100
_HIGHEST_DURATION_US = 60_000_000
_SIGNIFICANT_DIGITS = 1
_US_PER_MS = 1000
_BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 5000)
_LABEL = 'kind'
_PREFIX = 'daisydyke_'

Gauges = Callable[[], Mapping[str, float]]


class MetricsRegistry:
    """Registry of the metrics of a daemon.

    The part of a name after its first dot becomes the label ``kind`` of the
    family that the part before it names.

    Parameters:
        gauges: returns the gauges by name; called at each scrape.
    """

    def __init__(self, gauges: Gauges) -> None:
        """Initialize without counters and histograms."""
        self._gauges = gauges
        self._counts: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Add ``count`` to the counter ``stat``."""
        self._counts[stat] += count

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration of ``delta`` milliseconds in a histogram."""
        histogram = self._histograms.get(stat)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_DURATION_US,
                _HIGHEST_DURATION_US,
                _SIGNIFICANT_DIGITS,
            )
            self._histograms[stat] = histogram
        histogram.record_value(
            max(_LOWEST_DURATION_US, int(delta * _US_PER_MS))
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # Imported here because it is large and needed only for scrapes.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; called by prometheus_client."""
        yield from self._gauge_families()
        yield from self._counter_families()
        yield from self._histogram_families()

    def _gauge_families(self) -> Iterator[Metric]:
        from prometheus_client import metrics_core as core

        for name, gauge in self._gauges().items():
            yield core.GaugeMetricFamily(_PREFIX + name, name, gauge)

    def _counter_families(self) -> Iterator[Metric]:
        from prometheus_client import metrics_core as core

        for name, stats in _group_by_family(self._counts).items():
            family = core.CounterMetricFamily(
                _PREFIX + name,
                name,
                labels=[_LABEL],
            )
            for stat in stats:
                family.add_metric([_label_value(stat)], self._counts[stat])
            yield family

    def _histogram_families(self) -> Iterator[Metric]:
        from prometheus_client import metrics_core as core

        for name, stats in _group_by_family(self._histograms).items():
            family = core.HistogramMetricFamily(
                _PREFIX + name,
                name,
                labels=[_LABEL],
            )
            for stat in stats:
                histogram = self._histograms[stat]
                buckets = _to_buckets(histogram)
                family.add_metric(
                    [_label_value(stat)], buckets, _sum_ms(histogram)
                )
            yield family


def _sum_ms(histogram: HdrHistogram) -> float:
    total = histogram.get_mean_value() * histogram.get_total_count()
    return total / _US_PER_MS


def _group_by_family(stats: Mapping[str, object]) -> dict[str, list[str]]:
    families: dict[str, list[str]] = {}
    for stat in sorted(stats):
        family, _, _ = stat.partition('.')
        families.setdefault(family, []).append(stat)
    return families


def _label_value(stat: str) -> str:
    _, _, kind = stat.partition('.')
    return kind


def _to_buckets(histogram: HdrHistogram) -> list[tuple[str, float]]:
    steps = [
        (
            step.value_iterated_to / _US_PER_MS,
            step.count_added_in_this_iter_step,
        )
        for step in histogram.get_recorded_iterator()
    ]
    buckets = [
        (str(bound_ms), float(_cumulative_count(bound_ms, steps)))
        for bound_ms in _BUCKET_BOUNDS_MS
    ]
    return [*buckets, ('+Inf', float(histogram.get_total_count()))]


def _cumulative_count(bound_ms: int, steps: list[tuple[float, int]]) -> int:
    return sum(count for value_ms, count in steps if value_ms <= bound_ms)
