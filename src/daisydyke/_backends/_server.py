"""A backend server as this VM knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .._domain._model import Address

if TYPE_CHECKING:
    from ._connection import BackendConnection
    from ._exchange import Exchange

_SMOOTHING = 0.2
_FAILURE_SMOOTHING = 0.3
_FORGET_HALF_LIFE_S = 2.0
_FAILURE_COST_S = 0.5
_OUTSIDE_DOMAIN_COST = 1.8


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A server's registration.

    Parameters:
        server_id: names this start of the server.
        slots: requests that it runs at the same time.
        cold_for: seconds for which it stays cold, from when this was read.
        started_ms: Unix milliseconds of its start, 0 if it did not say.
    """

    server_id: str
    service: str
    address: Address
    domain: str
    slots: int
    draining: bool
    cold_for: float
    started_ms: int


@dataclass(slots=True)
class Evidence:
    """What this VM has seen of a server.

    Parameters:
        latency: smoothed seconds of an exchange, 0 before the first.
        failure_rate: smoothed share of failed exchanges.
        seen_at: monotonic time of the latest outcome.
    """

    latency: float = 0
    failure_rate: float = 0
    seen_at: float = 0

    def record_answer(self, seconds: float, now: float) -> None:
        """Add an exchange that was answered."""
        if not self.seen_at:
            self.latency = seconds
        self.latency += _SMOOTHING * (seconds - self.latency)
        self.failure_rate *= 1 - _FAILURE_SMOOTHING
        self.seen_at = now

    def record_failure(self, now: float) -> None:
        """Add an exchange that failed."""
        self.failure_rate += _FAILURE_SMOOTHING * (1 - self.failure_rate)
        self.seen_at = now

    def record_lateness(self, seconds: float, now: float) -> None:
        """Add a lower bound of the latency of an exchange given up."""
        self.record_answer(max(seconds, self.latency), now)

    def cost(self, typical: float, now: float) -> float:
        """Expected seconds of an exchange; old evidence fades."""
        if not self.seen_at:
            return typical
        weight = 0.5 ** ((now - self.seen_at) / _FORGET_HALF_LIFE_S)
        seen = self.latency + self.failure_rate * _FAILURE_COST_S
        return typical + (seen - typical) * weight


@dataclass(slots=True, eq=False)
class BackendServer:
    """A server, its open exchanges and its connections.

    Parameters:
        cold_until: monotonic time until which it is cold.
        outstanding: exchanges not yet ended, in order of their start.
    """

    record: ServerRecord
    cold_until: float = 0
    evidence: Evidence = field(default_factory=Evidence)
    outstanding: dict[int, Exchange] = field(default_factory=dict)
    idle: list[BackendConnection] = field(default_factory=list)
    connections: set[BackendConnection] = field(default_factory=set)
    gone: bool = False

    @property
    def server_id(self) -> str:
        """Identifier of this start of the server."""
        return self.record.server_id

    def cost(self, typical: float, now: float, domain: str) -> float:
        """Expected seconds until an exchange started now is answered.

        Parameters:
            typical: median latency of the requests in question, in seconds.
            domain: failure domain of this VM.
        """
        expected = self.evidence.cost(typical, now)
        if self.outstanding:
            oldest = next(iter(self.outstanding.values()))
            # A server that has been silent for long is probably paused.
            silent = now - oldest.started_at
            expected = max(expected, silent if silent > 2 * typical else 0)
            queued = len(self.outstanding) / self.record.slots
            expected += typical * queued
        if self.record.domain != domain:
            expected *= _OUTSIDE_DOMAIN_COST
        return expected
