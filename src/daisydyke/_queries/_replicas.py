"""Servers that hold a segment of a query and may be given it now."""

from __future__ import annotations

from .._domain._choice import Candidate
from .._domain._model import Failure, ServerPhase
from .._operations._configuration import Configuration
from .._ports import Clock
from ._catalogue import Catalogue
from ._progress import Progress


class Replicas:
    """The servers of one service, as of the start of a query."""

    def __init__(
        self,
        catalogue: Catalogue,
        configuration: Configuration,
        clock: Clock,
        service: str,
    ) -> None:
        """Look up the failure domains of the service's servers."""
        self._catalogue = catalogue
        self._configuration = configuration
        self._clock = clock
        self._domains = _server_domains(configuration, service)

    def candidates(
        self,
        progress: Progress,
        tried: set[str],
    ) -> list[Candidate]:
        """Return servers that may be given the segment, lost ones last.

        Parameters:
            tried: identifiers of servers that are left out.
        """
        found: list[Candidate] = []
        for server_id in progress.segment.candidates:
            if server_id in tried or server_id in progress.gone:
                continue
            candidate = self._candidate(server_id)
            if candidate is not None:
                found.append(candidate)
        present = [one for one in found if one.phase is not ServerPhase.LOST]
        return present or found

    def absence(self, progress: Progress) -> Failure:
        """Return why a segment has no candidate."""
        out = self._configuration.out_domains
        domains = {
            self._domains.get(server_id)
            for server_id in progress.segment.candidates
        }
        if domains <= out:
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
        ejected = evidence.ejected_until > self._clock.monotonic()
        if state.phase is ServerPhase.LOST and ejected:
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
