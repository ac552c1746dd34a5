"""Replica choice, based on the latency and failures of earlier attempts."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ._model import ServerPhase

_LATENCY_SMOOTHING = 0.2
_FAILURES_BEFORE_EJECTION = 2
_FIRST_EJECTION_S = 1.0
_MAXIMUM_EJECTION_S = 10.0
_COLD_REQUEST_SHARE = 0.05
_EVIDENCE_HALF_LIFE_S = 2.0


@dataclass(slots=True)
class Evidence:
    """Latency and failures of one backend server as observed by this VM.

    Parameters:
        latency: smoothed latency in seconds, including the hop through the
            owner.
        outstanding: sub-requests sent and not yet answered.
        failures: failed attempts since the last answer.
        ejected_until: monotonic time in seconds until which the server is
            avoided.
        sampled_at: monotonic time in seconds of the last latency sample, 0
            before the first one.
    """

    latency: float = 0
    outstanding: int = 0
    failures: int = 0
    ejected_until: float = 0
    sampled_at: float = 0

    def record_answer(self, seconds: float, now: float) -> None:
        """Add the latency of an answer; clear failures and ejection.

        Parameters:
            seconds: latency of the answered attempt.
            now: monotonic time in seconds.
        """
        self.failures = 0
        self.ejected_until = 0
        self._smooth(seconds, now)

    def record_abandoned(self, seconds: float, now: float) -> None:
        """Add a sample for an attempt abandoned before it was answered.

        Parameters:
            seconds: time the attempt had taken so far, a lower bound of its
                latency.
            now: monotonic time in seconds.
        """
        self._smooth(max(seconds, self.latency), now)

    def record_failure(self, now: float) -> None:
        """Count a failed attempt; eject the server after repeated ones.

        The ejection time doubles with each further failure, up to a maximum.
        """
        self.failures += 1
        if self.failures >= _FAILURES_BEFORE_EJECTION:
            doublings = self.failures - _FAILURES_BEFORE_EJECTION
            pause = min(_MAXIMUM_EJECTION_S, _FIRST_EJECTION_S * 2**doublings)
            self.ejected_until = now + pause

    def expected_latency(self, median_latency: float, now: float) -> float:
        """Return the latency in seconds to expect of the next attempt.

        The estimate decays from this server's latency towards the median of
        the service as the last sample ages.

        Parameters:
            median_latency: median latency of the service in seconds.
            now: monotonic time in seconds.
        """
        age = now - self.sampled_at
        weight = 0.5 ** (age / _EVIDENCE_HALF_LIFE_S)
        return median_latency + (self.latency - median_latency) * weight

    def _smooth(self, seconds: float, now: float) -> None:
        if not self.sampled_at:
            self.latency = seconds
        self.latency += _LATENCY_SMOOTHING * (seconds - self.latency)
        self.sampled_at = now


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server eligible for an attempt, with its phase and evidence."""

    server_id: str
    phase: ServerPhase
    evidence: Evidence


class ReplicaChoice(Protocol):
    """Policy that chooses the server for an attempt."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        median_latency: float,
        now: float,
    ) -> Candidate:
        """Return one of the candidates.

        Parameters:
            candidates: servers to choose from, at least one.
            median_latency: median latency of the service in seconds.
            now: monotonic time in seconds.
        """


class RandomChoice:
    """Chooses uniformly at random; the baseline for measurements.

    Parameters:
        seed: seed of the random numbers; None to seed from the system.
    """

    def __init__(self, seed: int | None = None) -> None:
        """Initialize and seed the random number generator."""
        self._random = random.Random(seed)  # noqa: S311

    def choose(
        self,
        candidates: Sequence[Candidate],
        median_latency: float,
        now: float,
    ) -> Candidate:
        """Return a candidate at random."""
        return self._random.choice(candidates)


class LeastOutstandingChoice(RandomChoice):
    """Chooses the server with the fewest outstanding sub-requests.

    Only sub-requests sent by this VM are counted.
    """

    def choose(
        self,
        candidates: Sequence[Candidate],
        median_latency: float,
        now: float,
    ) -> Candidate:
        """Return the least loaded candidate; break ties at random."""
        return min(
            candidates,
            key=lambda candidate: (
                candidate.evidence.outstanding,
                self._random.random(),
            ),
        )


class LatencyAwareChoice(RandomChoice):
    """Chooses by expected latency, scaled by the outstanding sub-requests.

    Ejected servers are used only if every candidate is ejected. Warm servers
    are preferred to cold ones, except for a small share of the choices: a
    cold server warms up only by serving real requests.
    """

    def choose(
        self,
        candidates: Sequence[Candidate],
        median_latency: float,
        now: float,
    ) -> Candidate:
        """Return the candidate with the lowest cost."""
        not_ejected = [
            candidate
            for candidate in candidates
            if candidate.evidence.ejected_until <= now
        ]
        return min(
            not_ejected or candidates,
            key=lambda candidate: self._cost(candidate, median_latency, now),
        )

    def _cost(
        self,
        candidate: Candidate,
        median_latency: float,
        now: float,
    ) -> tuple[bool, float]:
        evidence = candidate.evidence
        avoided = (
            candidate.phase is ServerPhase.COLD
            and self._random.random() >= _COLD_REQUEST_SHARE
        )
        expected = evidence.expected_latency(median_latency, now)
        # Jitter keeps VMs with equal evidence from all choosing the same
        # server.
        jitter = 1 + self._random.random() / 2
        return avoided, expected * (1 + evidence.outstanding) * jitter
