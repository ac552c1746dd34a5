"""A backend server and what this VM has observed of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from zlib import crc32

from .._domain._model import Address

if TYPE_CHECKING:
    from ._connection import BackendConnection
    from ._exchange import Exchange

_LATENCY_SMOOTHING = 0.2
_FAILURE_SMOOTHING = 0.3
_EVIDENCE_HALF_LIFE_S = 2.0
_FAILURE_COST_S = 0.5
_OTHER_DOMAIN_COST_FACTOR = 1.8


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Registration of a backend server.

    Parameters:
        server_id: identifier of this server instance, one start of a server.
        domain: failure domain.
        slots: requests that the server runs concurrently.
        draining: whether the server must not be sent new requests.
        cold_for: seconds for which it stays cold, counted from the time at
            which the registration was read.
        started_ms: start time in Unix milliseconds, 0 if unknown.
        version: version of the server's software; empty if unknown.
    """

    server_id: str
    service: str
    address: Address
    domain: str
    slots: int
    draining: bool
    cold_for: float
    started_ms: int
    version: str = ''


@dataclass(slots=True)
class Evidence:
    """Latency and failures of a server as observed by this VM.

    Parameters:
        latency: smoothed latency of an exchange in seconds; 0 before the
            first outcome.
        failure_rate: smoothed share of exchanges that failed.
        last_outcome_at: monotonic time of the latest outcome; 0 before the
            first.
    """

    latency: float = 0
    failure_rate: float = 0
    last_outcome_at: float = 0

    def record_answer(self, seconds: float, now: float) -> None:
        """Add the latency of an answered exchange."""
        if not self.last_outcome_at:
            self.latency = seconds
        self.latency += _LATENCY_SMOOTHING * (seconds - self.latency)
        self.failure_rate *= 1 - _FAILURE_SMOOTHING
        self.last_outcome_at = now

    def record_failure(self, now: float) -> None:
        """Add a failed exchange."""
        self.failure_rate += _FAILURE_SMOOTHING * (1 - self.failure_rate)
        self.last_outcome_at = now

    def record_minimum_latency(self, seconds: float, now: float) -> None:
        """Add a cancelled exchange.

        Parameters:
            seconds: time until it was cancelled, a lower bound of its
                latency.
        """
        self.record_answer(max(seconds, self.latency), now)

    def cost(self, median_latency: float, now: float) -> float:
        """Return the expected duration of an exchange in seconds.

        Failures count as additional time. Old evidence decays towards
        ``median_latency``.
        """
        if not self.last_outcome_at:
            return median_latency
        weight = 0.5 ** ((now - self.last_outcome_at) / _EVIDENCE_HALF_LIFE_S)
        observed = self.latency + self.failure_rate * _FAILURE_COST_S
        return median_latency + (observed - median_latency) * weight


@dataclass(slots=True, eq=False)
class BackendServer:
    """A server with its open exchanges and connections.

    Parameters:
        cold_until: monotonic time until which the server is cold.
        outstanding: open exchanges by number, in the order of their start.
        idle: connections without an exchange, the latest used last.
        connections: all connections, including those being opened.
        removed: whether the server is no longer used.
        shed_at: monotonic time at which it last shed a request of this VM; 0
            if it never has.
        report_key: short key of the server in reports between VMs. Servers
            with the same key have the load of the busiest of them.
    """

    record: ServerRecord
    cold_until: float = 0
    evidence: Evidence = field(default_factory=Evidence)
    outstanding: dict[int, Exchange] = field(default_factory=dict)
    idle: list[BackendConnection] = field(default_factory=list)
    connections: set[BackendConnection] = field(default_factory=set)
    removed: bool = False
    shed_at: float = 0
    report_key: int = field(init=False)

    def __post_init__(self) -> None:
        """Derive the key from the identifier."""
        self.report_key = crc32(self.record.server_id.encode())

    @property
    def server_id(self) -> str:
        """Identifier of this instance of the server."""
        return self.record.server_id

    def cost(
        self,
        median_latency: float,
        now: float,
        domain: str,
        queueing: float,
    ) -> float:
        """Return the cost of an exchange started now, for ranking servers.

        The cost is the expected time to the reply in seconds, multiplied by
        a penalty if the server is in another failure domain.

        Parameters:
            median_latency: median latency of comparable requests in seconds.
            domain: failure domain of this VM.
            queueing: expected wait for a slot, in median latencies.
        """
        expected = self.evidence.cost(median_latency, now)
        if self.outstanding:
            oldest = next(iter(self.outstanding.values()))
            # A server that has not answered for long is probably paused.
            age = now - oldest.started_at
            expected = max(expected, age if age > 2 * median_latency else 0)
        expected += median_latency * queueing
        if self.record.domain != domain:
            expected *= _OTHER_DOMAIN_COST_FACTOR
        return expected
