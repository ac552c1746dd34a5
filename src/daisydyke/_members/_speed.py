"""Which VMs are fast enough to take all requests."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

_ENOUGH_FAST = 4
# Part of the fastest VM's speed from which a VM counts as fast.
_FAST_PART = 0.8


class HasSpeed(Protocol):
    """A VM whose speed is known."""

    @property
    def speed(self) -> float:
        """How fast a process runs there, 1 for a whole core."""


_VmT = TypeVar('_VmT', bound=HasSpeed)


def select_fast(vms: Sequence[_VmT]) -> Sequence[_VmT]:
    """Return the fast ones of some VMs, or all where those are too few."""
    highest = max((one.speed for one in vms), default=0)
    bound = highest * _FAST_PART
    found = tuple(one for one in vms if one.speed >= bound)
    return found if len(found) >= _ENOUGH_FAST else vms


def has_enough_faster(speed: float, speeds: Sequence[float]) -> bool:
    """Tell whether enough VMs are faster than one of this speed."""
    faster = [one for one in speeds if one * _FAST_PART > speed]
    return len(faster) >= _ENOUGH_FAST
