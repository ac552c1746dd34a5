"""Selection of the backend server for an attempt."""

from __future__ import annotations

from collections.abc import Sequence

from .._backends._server import BackendServer
from .._domain._latency import LatencyEstimate
from ._dependencies import DispatchDependencies
from ._parts import Part


class ServerSelector:
    """Selects servers for the parts of one request.

    Parameters:
        latency: estimate for the route of the request.
    """

    def __init__(
        self, dependencies: DispatchDependencies, latency: LatencyEstimate
    ) -> None:
        """Initialize for one request."""
        self._dependencies = dependencies
        self._latency = latency

    def untried(self, part: Part) -> list[BackendServer]:
        """Return the servers of a part that no attempt has used."""
        return [
            candidate
            for group in self._groups(part)
            for candidate in group
            if candidate not in part.tried_servers
        ]

    def choose(
        self, part: Part, *, untried_only: bool = False
    ) -> BackendServer | None:
        """Return the server that should answer soonest, and admit the request.

        Servers that were tried come last. Of the others, retries prefer
        those that have not just shed requests, and hedges use no others.

        Parameters:
            untried_only: whether servers that were tried are out of question.

        Returns:
            None if no server can be sent the request now.
        """
        is_repeat = bool(part.tried_servers)
        for servers in self._eligible(part, untried_only):
            for server in self._ranked(servers, is_repeat):
                if untried_only and self._has_shed(server):
                    continue
                if self._dependencies.admit(server):
                    return server
        return None

    def _eligible(
        self,
        part: Part,
        untried_only: bool,  # noqa: FBT001
    ) -> Sequence[list[BackendServer]]:
        if not part.tried_servers:
            return self._groups(part)
        untried = self.untried(part)
        if untried_only or untried:
            return (untried,)
        return self._groups(part)

    def _has_shed(self, server: BackendServer) -> bool:
        return self._dependencies.open_work.has_shed(server)

    def _groups(self, part: Part) -> Sequence[list[BackendServer]]:
        return self._dependencies.versions.groups(
            part.service,
            self._dependencies.candidates(part.service),
            is_first=not part.tried_servers,
        )

    def _ranked(
        self,
        servers: list[BackendServer],
        is_repeat: bool,  # noqa: FBT001
    ) -> list[BackendServer]:
        dependencies = self._dependencies
        now = dependencies.clock.monotonic()
        open_work = dependencies.open_work
        ranked = [
            (
                server.cold_until > now,
                is_repeat and open_work.has_shed(server),
                server.cost(
                    self._latency.median,
                    now,
                    dependencies.domain,
                    open_work.queueing(server),
                ),
                index,
                server,
            )
            for index, server in enumerate(servers)
            if dependencies.pool.can_submit(server)
        ]
        ranked.sort()
        return [entry[-1] for entry in ranked]
