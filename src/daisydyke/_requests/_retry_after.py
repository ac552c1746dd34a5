"""Times after which refused callers should come back."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Protocol

from .._ports import Clock
from ._dependencies import ServerLookup
from ._model import FailureReason

_SHORT_S = 0.25
# Lack of a server or of retry budget lasts longer than overload: new servers
# have to register, or the window of the extra-load budget has to advance.
_LONG_S = 1.0
_SLOW_RECOVERY_REASONS = frozenset(
    (FailureReason.NO_SERVER, FailureReason.NO_BUDGET),
)
# Time until a full server has emptied its queue, in median latencies: it has
# about as much work in its queue as in its slots.
_DRAIN_MEDIAN_COUNT = 2
_MAXIMUM_S = 2.0
_MAXIMUM_SPREAD_SHARE = 0.25


class RetryTimes(Protocol):
    """Decides when refused callers should return."""

    def after(
        self,
        service: str,
        reasons: Collection[FailureReason],
        median_latency: float,
    ) -> float:
        """Return the seconds after which a caller should come back.

        Parameters:
            service: a service whose part failed.
            reasons: why the parts of the request failed.
            median_latency: median latency of its exchanges in seconds.
        """


class FixedRetryTimes:
    """Times by the reason alone."""

    def after(
        self,
        service: str,
        reasons: Collection[FailureReason],
        median_latency: float,
    ) -> float:
        """Return a long time for lasting reasons, else a short one."""
        return (
            _SHORT_S if _SLOW_RECOVERY_REASONS.isdisjoint(reasons) else _LONG_S
        )


class OrderedRetryTimes:
    """Lets callers of a busy service return in the order of their refusal.

    The first one returns when the queues of the servers are probably empty,
    and each further one when this VM's share of the slots can have run one
    request more. That also applies to lack of budget, since a new request
    needs none. Lack of a server lasts longer: its callers return after a
    random time.

    Parameters:
        servers: returns the servers of a service that may be sent requests.
        sender_count: returns the number of VMs that send to servers.
        generator: source of randomness.
    """

    def __init__(
        self,
        servers: ServerLookup,
        sender_count: Callable[[], int],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Initialize without refusals."""
        self._servers = servers
        self._sender_count = sender_count
        self._clock = clock
        self._random = generator
        self._free_at: dict[str, float] = {}

    def after(
        self,
        service: str,
        reasons: Collection[FailureReason],
        median_latency: float,
    ) -> float:
        """Return the seconds until the caller's turn; see the class."""
        slots = sum(server.record.slots for server in self._servers(service))
        if not slots or FailureReason.NO_SERVER in reasons:
            return _LONG_S * self._random.uniform(1, 1 + _MAXIMUM_SPREAD_SHARE)
        now = self._clock.monotonic()
        empty_at = now + _DRAIN_MEDIAN_COUNT * median_latency
        turn = max(empty_at, self._free_at.get(service, 0))
        turn = min(turn, now + _MAXIMUM_S)
        interval = median_latency * self._sender_count() / slots
        self._free_at[service] = turn + interval
        return turn - now
