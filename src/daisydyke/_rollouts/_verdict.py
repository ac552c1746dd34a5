"""Verdict on a new version from the evidence of all VMs.

First attempts draw their version at random, so that both versions see the
same kinds of requests at the same time. A version is bad if a test is
significant at a level that is divided among all tests of all looks, and if the
difference also shows without its worst server: one bad replica is no bad
version. It is good if no test is even suspicious and each route has answers
enough, over the whole time and lately.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from ._comparison import Comparison, by_route, compare, failure_tallies
from ._evidence import CellCounts

# Looks at the evidence within the duration of a roll-out.
LOOK_COUNT = 40
# Probability, at most, that any look finds a good version bad; and that of
# the difference without its worst server in a single test.
_FALSE_ALARM_PROBABILITY = 0.005
_REST_PROBABILITY = 0.005
# Levels at which one look makes a version suspect: with all its servers, and
# without its worst one. The second is laxer, since few failures are left then.
_SUSPICION_PROBABILITY = 0.1
_SUSPICION_REST_PROBABILITY = 0.25
# If a version fails on a share of 0.3 of its requests, that many answers have
# two or more failures among them with a probability of 0.9.
_REQUIRED_ANSWER_COUNT = 12
_RECENT_REQUIRED_ANSWER_COUNT = 2
# Rarer routes count in the test of all routes only.
_MINIMUM_ROUTE_SHARE = 0.05


class Finding(StrEnum):
    """What the evidence shows of a version.

    Attributes:
        BAD: it fails more often, or is slower, than the old version.
        SUSPECT: it may be bad.
        SCARCE: there are too few answers to call it good.
        GOOD: it is not known to be worse than the old version.
    """

    BAD = 'bad'
    SUSPECT = 'suspect'
    SCARCE = 'scarce'
    GOOD = 'good'


@dataclass(frozen=True, slots=True)
class Verdict:
    """Finding, with the comparison that speaks most against the version."""

    finding: Finding
    worst: Comparison | None


def judge(
    whole: CellCounts, recent: CellCounts, new_server_count: int
) -> Verdict:
    """Judge a version.

    Parameters:
        whole: counts since the order.
        recent: those of the latest part of the roll-out.
        new_server_count: servers of the new version.
    """
    comparisons = [
        *compare(whole, new_server_count),
        *compare(recent, new_server_count),
    ]
    worst = min(comparisons, key=lambda each: each.p_value)
    level = _FALSE_ALARM_PROBABILITY / LOOK_COUNT / len(comparisons)
    if _any_differs(comparisons, level, _REST_PROBABILITY):
        return Verdict(Finding.BAD, worst)
    suspicion = _SUSPICION_PROBABILITY / len(comparisons)
    if _any_differs(comparisons, suspicion, _SUSPICION_REST_PROBABILITY):
        return Verdict(Finding.SUSPECT, worst)
    if _is_enough(whole, _REQUIRED_ANSWER_COUNT) and _is_enough(
        recent, _RECENT_REQUIRED_ANSWER_COUNT
    ):
        return Verdict(Finding.GOOD, worst)
    return Verdict(Finding.SCARCE, worst)


def _any_differs(
    comparisons: Sequence[Comparison], level: float, rest_level: float
) -> bool:
    return any(
        each.p_value < level and each.rest_p_value < rest_level
        for each in comparisons
    )


def _is_enough(counts: CellCounts, required: int) -> bool:
    all_answers = sum(map(sum, counts.values()))
    for cells in by_route(counts).values():
        tallies = failure_tallies(cells)
        answers = sum(each.answers for each in tallies)
        new_answers = sum(each.answers for each in tallies if each.is_new)
        is_rare = answers < _MINIMUM_ROUTE_SHARE * all_answers
        if new_answers < required and not is_rare:
            return False
    return bool(all_answers)
