"""Tells fast VMs from slow ones."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

_MIN_FAST_VM_COUNT = 4
# Share of the highest speed from which a VM counts as fast.
_FAST_SHARE = 0.8


class HasSpeed(Protocol):
    """A VM of known speed."""

    @property
    def speed(self) -> float:
        """Speed of a process on the VM; 1 for a whole core."""


_VmT = TypeVar('_VmT', bound=HasSpeed)


def select_fast(vms: Sequence[_VmT]) -> Sequence[_VmT]:
    """Return the fast VMs, or all VMs if too few of them are fast."""
    highest = max((vm.speed for vm in vms), default=0)
    threshold = highest * _FAST_SHARE
    fast = tuple(vm for vm in vms if vm.speed >= threshold)
    return fast if len(fast) >= _MIN_FAST_VM_COUNT else vms


def has_enough_faster(speed: float, speeds: Sequence[float]) -> bool:
    """Return whether enough VMs are so fast that a VM counts as slow.

    Parameters:
        speed: speed of the VM in question.
        speeds: speeds of all VMs.
    """
    faster = [other for other in speeds if other * _FAST_SHARE > speed]
    return len(faster) >= _MIN_FAST_VM_COUNT
