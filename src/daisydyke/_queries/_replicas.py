"""Selection of the servers that can receive a segment of a query."""

from __future__ import annotations

from .._domain._choice import Candidate
from .._domain._model import Failure, ServerPhase
from .._operations._configuration import Configuration
from .._ports import Clock
from ._catalogue import Catalogue
from ._progress import SegmentProgress


class Replicas:
    """Finds the servers of one service that can receive a segment.

    The failure domains of the servers are read once, their states at each
    call.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        configuration: Configuration,
        clock: Clock,
        service: str,
    ) -> None:
        """Initialize with the failure domains of the service's servers."""
        self._catalogue = catalogue
        self._configuration = configuration
        self._clock = clock
        self._domains = _server_domains(configuration, service)

    def candidates(
        self,
        progress: SegmentProgress,
        excluded: set[str],
    ) -> list[Candidate]:
        """Return the servers that can receive a segment.

        Servers in the phase ``LOST`` are returned only if there is no other.

        Parameters:
            excluded: identifiers of servers not to be returned.
        """
        eligible: list[Candidate] = []
        for server_id in progress.segment.candidates:
            if server_id in excluded or server_id in progress.without_snapshot:
                continue
            candidate = self._candidate(server_id)
            if candidate is not None:
                eligible.append(candidate)
        reachable = [
            server
            for server in eligible
            if server.phase is not ServerPhase.LOST
        ]
        return reachable or eligible

    def unavailability_reason(self, progress: SegmentProgress) -> Failure:
        """Return why no server can receive a segment.

        Returns:
            ``OUT_OF_SERVICE`` if the failure domains of all its servers are
            out of service, else the reason of the last failed attempt, or
            ``LOST`` before the first one.
        """
        out_domains = self._configuration.out_domains
        domains = {
            self._domains.get(server_id)
            for server_id in progress.segment.candidates
        }
        if domains <= out_domains:
            return Failure.OUT_OF_SERVICE
        if progress.attempts:
            return progress.reason
        return Failure.LOST

    def _candidate(self, server_id: str) -> Candidate | None:
        catalogue = self._catalogue
        state = catalogue.state(server_id)
        domain = self._domains.get(server_id)
        if state is None or domain is None:
            return None
        if domain in self._configuration.out_domains:
            return None
        evidence = catalogue.evidence(server_id)
        if state.phase is ServerPhase.DRAINING:
            return None
        is_ejected = evidence.ejected_until > self._clock.monotonic()
        if state.phase is ServerPhase.LOST and is_ejected:
            return None
        return Candidate(server_id, state.phase, evidence)


def _server_domains(
    configuration: Configuration,
    service: str,
) -> dict[str, str]:
    spec = configuration.services.get(service)
    if spec is None:
        return {}
    return {server.server_id: server.domain for server in spec.servers}
