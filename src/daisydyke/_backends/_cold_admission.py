"""Admission of requests to backend servers during their warm-up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .._domain._rendezvous import rank
from .._ports import Clock
from .._requests._model import ServicePolicy
from ._server import BackendServer

_USED_RATE_SHARE = 0.8
_BURST_REQUESTS = 1.0


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """Limit on the requests that a cold server gets in any second.

    Parameters:
        excess: factor on the cold rate that the service's policy states.
        slack: requests allowed in addition to that product.
    """

    excess: float
    slack: float


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    refilled_at: float


class ColdAdmission:
    """Divides the request rate of each cold server among a few VMs.

    The sending VMs are chosen by rendezvous hashing of the server's
    identifier over the live members, so the VMs exchange no messages for it.
    At most half as many VMs send as requests are allowed above the server's
    own rate; the other half is left for VMs whose views of the members differ.

    Parameters:
        vm: name of this VM.
        limits: limit that all VMs together have to meet.
        policy: returns the policy of a service, or None if none is known.
        members: returns the names of the live VMs, including this one.
    """

    def __init__(
        self,
        vm: str,
        limits: ColdLimits,
        policy: Callable[[str], ServicePolicy | None],
        members: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        """Initialize without token buckets; the first use creates them."""
        self._vm = vm
        self._limits = limits
        self._policy = policy
        self._members = members
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}

    def admit(self, server: BackendServer) -> bool:
        """Return whether a request may be sent now, and count it if so.

        Servers that are warm and services without a cold rate have no limit.
        """
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
        return self._try_acquire(
            server.server_id,
            now,
            policy.cold_rate * _USED_RATE_SHARE / len(senders),
        )

    def has_room(self, server: BackendServer) -> bool:
        """Return whether a request could be sent now, without counting it."""
        now = self._clock.monotonic()
        if server.cold_until <= now:
            return True
        policy = self._policy(server.record.service)
        if policy is None or policy.cold_rate <= 0:
            return True
        senders = self._senders(server, policy.cold_rate)
        if self._vm not in senders:
            return False
        rate = policy.cold_rate * _USED_RATE_SHARE / len(senders)
        return self._refill(server.server_id, now, rate).tokens >= 1

    def _senders(self, server: BackendServer, rate: float) -> list[str]:
        allowed_excess = rate * (self._limits.excess - 1) + self._limits.slack
        count = max(1, int(allowed_excess / 2))
        return rank(server.server_id, self._members())[:count]

    def _try_acquire(self, server_id: str, now: float, rate: float) -> bool:
        bucket = self._refill(server_id, now, rate)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _refill(self, server_id: str, now: float, rate: float) -> _TokenBucket:
        bucket = self._buckets.setdefault(
            server_id,
            _TokenBucket(_BURST_REQUESTS, now),
        )
        refill = (now - bucket.refilled_at) * rate
        bucket.tokens = min(_BURST_REQUESTS, bucket.tokens + refill)
        bucket.refilled_at = now
        return bucket
