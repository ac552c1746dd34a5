"""What each VM may admit on its own."""

from __future__ import annotations

from collections.abc import Sequence

from .._domain._rendezvous import rank
from ._limits import QuotaLimits

# Part of the slack that is kept for leaders: two of them, with half of a limit
# each, may hold a whole token although their part of the burst is smaller.
_RESERVED_TOKEN_COUNT = 2


def own_allowance(
    customer: str, vm: str, vms: Sequence[str], limits: QuotaLimits
) -> int:
    """Return how many requests in a window a VM may admit without a leader.

    All VMs together admit at most the slack of the limit. Where there are
    more VMs than that, each customer has some that may admit one request.

    Parameters:
        vm: name of the VM.
        vms: names of all VMs that may serve requests.
    """
    slack = max(0, int(limits.slack) - _RESERVED_TOKEN_COUNT)
    if vm not in vms:
        return 0
    if slack >= len(vms):
        return slack // len(vms)
    return int(vm in rank(customer, vms)[:slack])


def split_for_restart(allowance: int) -> tuple[int, int]:
    """Divide an allowance between a process and the one that follows it.

    A process does not know what the one before it has admitted.

    Returns:
        The part for the first window of a process, and the part for later.
    """
    first = allowance // 2
    return first, allowance - first
