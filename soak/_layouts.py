"""Sizes of the systems that a soak runs."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from types import MappingProxyType

_LONG_RANGE_S = (1.0, 6.0)


@dataclass(frozen=True)
class Layout:
    """Size and load of a system.

    Parameters:
        domains: failure domains; VMs and copies of a service take turns.
        vm_count: number of entry VMs.
        shard_sets: services that a sharded route names, for each version of
            the index.
        unsharded_servers: number of servers of each other service.
        grace_s: seconds from SIGTERM to SIGKILL.
        timeout_ms: timeout of all routes but ``/one/``.
        long_timeout_ms: timeout of ``/one/``; more than the grace period
            leaves, so that stops meet requests in progress.
        caller_count: number of callers.
        mean_gap_s: mean pause of a caller between two requests.
        long_share: share of the requests to services without shards that run
            for seconds.
        planned_only: whether nothing happens but stops, restarts, reloads and
            changes of the configuration.
        idle_timeout_ms: time after which VMs close idle connections.
        min_served_share: share of the requests that must be served at the
            end.
        rolled_count: VMs that are restarted one after the other.
        has_keys: whether callers need keys and customers have limits.
        has_rollouts: whether servers have versions and a service is rolled
            out to another one.
        has_hostile: whether some callers keep no limits. VMs are then as
            small as they get.
    """

    domains: tuple[str, ...]
    vm_count: int
    shard_sets: tuple[tuple[str, ...], ...]
    unsharded_servers: dict[str, int]
    grace_s: float
    timeout_ms: int
    long_timeout_ms: int
    caller_count: int
    mean_gap_s: float
    long_share: float = 0
    planned_only: bool = False
    # RECOVER asks for a quarter; requests that run for longer than their
    # timeout are not served in a large layout.
    min_served_share: float = 0.25
    rolled_count: int = 3
    idle_timeout_ms: int = 60000
    has_keys: bool = False
    has_rollouts: bool = False
    has_hostile: bool = False

    def draw_service_time_s(self, mean_s: float) -> float:
        """Draw for how long a request runs at a service without shards."""
        if random.random() < self.long_share:  # noqa: S311
            return random.uniform(*_LONG_RANGE_S)  # noqa: S311
        return mean_s


def _names(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f'{prefix}{number}' for number in range(count))


SMALL = Layout(
    domains=('north', 'south'),
    vm_count=4,
    shard_sets=(_names('s', 4),),
    unsharded_servers={'p0': 2, 'p1': 2},
    grace_s=3.0,
    timeout_ms=1000,
    long_timeout_ms=4000,
    caller_count=6,
    mean_gap_s=0.05,
    min_served_share=0.95,
    has_keys=True,
    has_rollouts=True,
    has_hostile=True,
)
_SHARD_SETS = (_names('s', 20), _names('t', 30))
_MEDIUM = Layout(
    domains=('north', 'south', 'west'),
    vm_count=13,
    shard_sets=_SHARD_SETS,
    unsharded_servers={'p0': 5, 'p1': 3},
    grace_s=6.0,
    timeout_ms=1200,
    long_timeout_ms=5000,
    caller_count=45,
    mean_gap_s=0.8,
    long_share=0.2,
    planned_only=True,
    idle_timeout_ms=2500,
)
LAYOUTS = MappingProxyType(
    {
        'small': SMALL,
        '13-vms': _MEDIUM,
        '18-vms': replace(
            _MEDIUM,
            vm_count=18,
            unsharded_servers={'p0': 10, 'p1': 5},
            timeout_ms=1500,
            long_timeout_ms=6000,
            caller_count=60,
            mean_gap_s=1.0,
        ),
    }
)
