"""Requests that a cold server may get from this VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .._domain._rendezvous import rank
from .._ports import Clock
from .._requests._model import ServicePolicy
from ._server import BackendServer

_USED_PART = 0.8
_BURST = 1.0


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """What a cold server may get in one second beyond its own rate.

    Parameters:
        excess: factor on the rate that the service states.
        slack: requests beside it.
    """

    excess: float
    slack: float


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class ColdAdmission:
    """Lets a few VMs share what a cold server bears.

    Which VMs those are follows from the server's identifier and the members,
    so that no VM has to ask another one. Half of the room above the server's
    own rate is left for VMs that disagree on the members.

    Parameters:
        policy: returns what is known of a service.
        members: returns the names of the VMs that are alive, this one too.
    """

    def __init__(
        self,
        vm: str,
        bounds: ColdLimits,
        policy: Callable[[str], ServicePolicy | None],
        members: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        """Start with nothing spent."""
        self._vm = vm
        self._bounds = bounds
        self._policy = policy
        self._members = members
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, server: BackendServer) -> bool:
        """Tell whether one more request may be sent now, and count it."""
        now = self._clock.monotonic()
        if server.cold_until <= now:
            self._buckets.pop(server.server_id, None)
            return True
        policy = self._policy(server.record.service)
        if policy is None or policy.cold_rate <= 0:
            return True
        senders = self._senders(server, policy.cold_rate)
        if self._vm not in senders:
            return False
        return self._take(
            server.server_id,
            now,
            policy.cold_rate * _USED_PART / len(senders),
        )

    def _senders(self, server: BackendServer, rate: float) -> list[str]:
        room = rate * (self._bounds.excess - 1) + self._bounds.slack
        count = max(1, int(room / 2))
        return rank(server.server_id, self._members())[:count]

    def _take(self, server_id: str, now: float, rate: float) -> bool:
        bucket = self._buckets.setdefault(server_id, _Bucket(_BURST, now))
        gained = (now - bucket.filled_at) * rate
        bucket.tokens = min(_BURST, bucket.tokens + gained)
        bucket.filled_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True
