"""Which version an attempt may take, bounded over all VMs together.

Each first attempt draws its version at random with a probability well below
the allowed share, so that the sum over any number of VMs stays within share
and slack without agreement between them, whether they start, return or are
cut off. The slack is used only while the counts of nearly all VMs are known.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._model import ExposureLimits

# Part of the allowed share of requests that is used while the counts of the
# other VMs are not known.
_BASE_USE_SHARE = 0.7
# Part of the bound that the plan uses, and part beyond which nothing more is
# sent; less than all, since reports are some tenths of a second old.
_PLANNED_USE_SHARE = 0.76
_STOP_USE_SHARE = 0.8
# The old version has to be observed at the same time.
_MAXIMUM_PROBABILITY = 0.5
_MINIMUM_TIME_S = 1.0


@dataclass(frozen=True, slots=True)
class Exposure:
    """What is known of the attempts at a service since the order.

    Parameters:
        sent: attempts at the service.
        sent_new: those of them at the new version.
        elapsed_s: seconds since the order.
        remaining_s: seconds within which the rest of the bound may be used.
        is_complete: whether nearly all VMs' counts since the order are known
            and recent.
    """

    sent: int
    sent_new: int
    elapsed_s: float
    remaining_s: float
    is_complete: bool


def new_version_probability(
    limits: ExposureLimits, exposure: Exposure
) -> float:
    """Return the probability that a first attempt takes the new version."""
    allowed = limits.share * exposure.sent + limits.slack
    if exposure.sent_new >= _STOP_USE_SHARE * allowed:
        return 0
    base = _BASE_USE_SHARE * limits.share
    if not exposure.is_complete:
        return base
    rate = max(1, exposure.sent) / max(exposure.elapsed_s, _MINIMUM_TIME_S)
    expected = rate * max(exposure.remaining_s, _MINIMUM_TIME_S)
    planned = _PLANNED_USE_SHARE * (allowed + limits.share * expected)
    probability = (planned - exposure.sent_new) / expected
    return min(max(probability, 0), _MAXIMUM_PROBABILITY)
