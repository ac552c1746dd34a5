"""Comparison of a new version's answers with the old version's.

On each route, and on all routes together, Fisher's exact one-sided test
compares the share of failures; on each route also the share of answers slower
than nearly all of the old version's. The worst server of the old version is
left out, unless too few answers would be left: it would hide a bad version.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from itertools import accumulate, combinations

from ._evidence import NO_COUNTS, Cell, CellCounts, Counts

ALL_ROUTES = '*'
_SLOW_SHARE = 0.05
# Fewer answers of the old version do not show what is usual: then its worst
# server is not left out.
_MINIMUM_REST_ANSWERS = 20
# Keeps a server with few answers from counting as the worst.
_PRIOR_ANSWER_COUNT = 4


class Measure(StrEnum):
    """What a test compares."""

    FAILURES = 'failures'
    LATENCY = 'latency'


@dataclass(frozen=True, slots=True)
class Comparison:
    """Outcome of one test.

    Parameters:
        new_hits: failed or slow answers of the new version.
        old_hits: those of the old version.
        p_value: probability of as many by chance if the versions are equal.
        rest_p_value: the same without the new version's worst server.
    """

    route: str
    measure: Measure
    new_hits: int
    new_answers: int
    old_hits: int
    old_answers: int
    p_value: float
    rest_p_value: float


@dataclass(slots=True)
class Tally:
    """Hits among the answers of one server."""

    is_new: bool
    hits: int = 0
    answers: int = 0


_Items = Sequence[tuple[Cell, Counts]]


def compare(counts: CellCounts, new_server_count: int) -> Iterator[Comparison]:
    """Yield the outcome of each test.

    Parameters:
        new_server_count: servers of the new version; the worst of several
            is left out of the rest.
    """
    yield _compare(
        ALL_ROUTES,
        Measure.FAILURES,
        failure_tallies(counts.items()),
        new_server_count,
    )
    for route, cells in by_route(counts).items():
        failures = failure_tallies(cells)
        yield _compare(route, Measure.FAILURES, failures, new_server_count)
        slow = _slow_tallies(cells)
        yield _compare(route, Measure.LATENCY, slow, new_server_count)


def by_route(counts: CellCounts) -> dict[str, list[tuple[Cell, Counts]]]:
    """Return the counts of each route."""
    routes: dict[str, list[tuple[Cell, Counts]]] = {}
    for cell, cell_counts in counts.items():
        routes.setdefault(cell.route, []).append((cell, cell_counts))
    return routes


def failure_tallies(cells: Iterable[tuple[Cell, Counts]]) -> list[Tally]:
    """Return failures and answers of each server."""
    tallies: dict[str, Tally] = {}
    for cell, counts in cells:
        tally = tallies.setdefault(cell.server_id, Tally(cell.is_new))
        tally.hits += counts[0]
        tally.answers += sum(counts)
    return list(tallies.values())


def one_sided_p_value(
    new_hits: int, new_answers: int, old_hits: int, old_answers: int
) -> float:
    """Return Fisher's exact probability of ``new_hits`` or more."""
    hits = new_hits + old_hits
    if not (new_hits and new_answers and old_answers):
        return 1
    probabilities = (
        _hypergeometric(count, new_answers, hits, new_answers + old_answers)
        for count in range(new_hits, min(hits, new_answers) + 1)
    )
    return min(1, sum(probabilities))


def _hypergeometric(
    count: int, draws: int, successes: int, population: int
) -> float:
    failures = population - successes
    if draws - count > failures:
        return 0
    log_probability = _log_choose(successes, count)
    log_probability += _log_choose(failures, draws - count)
    log_probability -= _log_choose(population, draws)
    return math.exp(log_probability)


def _log_choose(total: int, chosen: int) -> float:
    left = total - chosen
    return _log_factorial(total) - _log_factorial(chosen) - _log_factorial(left)


def _log_factorial(number: int) -> float:
    return math.lgamma(number + 1)


def _slow_tallies(cells: _Items) -> list[Tally]:
    old = [counts for cell, counts in cells if not cell.is_new]
    # A slow server of the old version would raise the threshold.
    rests = combinations(old, max(1, len(old) - 1))
    enough = [rest for rest in rests if _is_enough(rest)]
    first_slow = min(map(_first_slow_index, enough or [old]))
    return [_slow_tally(*each, first_slow) for each in cells]


def _slow_tally(cell: Cell, counts: Counts, first_slow: int) -> Tally:
    _, *latencies = counts
    hits = sum(latencies[first_slow - 1 :])
    return Tally(cell.is_new, hits, sum(latencies))


def _is_enough(old: Iterable[Counts]) -> bool:
    successes = sum(sum(counts[1:]) for counts in old)
    return successes >= _MINIMUM_REST_ANSWERS


def _first_slow_index(old: Iterable[Counts]) -> int:
    """Return the index from which answers are slow for the old version."""
    _, *answers = map(sum, zip(NO_COUNTS, *old))
    required = (1 - _SLOW_SHARE) * sum(answers)
    for index, faster in enumerate(accumulate(answers), start=2):
        if faster >= required:
            return index
    return len(NO_COUNTS)


def _compare(
    route: str,
    measure: Measure,
    tallies: Sequence[Tally],
    new_server_count: int,
) -> Comparison:
    new = [tally for tally in tallies if tally.is_new]
    old = [tally for tally in tallies if not tally.is_new]
    old_sum = _sum(_without_worst(old))
    if old_sum[1] < _MINIMUM_REST_ANSWERS:
        old_sum = _sum(old)
    new_sum = _sum(new)
    rest_sum = _sum(_without_worst(new) if new_server_count > 1 else new)
    return Comparison(
        route,
        measure,
        *new_sum,
        *old_sum,
        one_sided_p_value(*new_sum, *old_sum),
        one_sided_p_value(*rest_sum, *old_sum),
    )


def _without_worst(tallies: Sequence[Tally]) -> list[Tally]:
    return sorted(tallies, key=_share_of_hits)[:-1]


def _share_of_hits(tally: Tally) -> float:
    return tally.hits / (tally.answers + _PRIOR_ANSWER_COUNT)


def _sum(tallies: Sequence[Tally]) -> tuple[int, int]:
    hits = sum(tally.hits for tally in tallies)
    return hits, sum(tally.answers for tally in tallies)
