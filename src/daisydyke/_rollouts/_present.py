"""Versions that services have apart from their roll-outs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from .._backends._server import BackendServer


class PresentVersions:
    """The version that each service has had until now.

    When a service is first seen, it is the version of most servers; of two
    versions with as many servers, that of the server that started first.
    """

    def __init__(self) -> None:
        """Initialize without services."""
        self._versions: dict[str, str] = {}
        # Versions that an order has moved services to, while they have them.
        # Another order for the same version bounds nothing.
        self._completed: dict[str, str] = {}

    def record_completed(self, service: str, version: str) -> None:
        """Note that an order has moved a service to a version."""
        self._versions[service] = version
        self._completed[service] = version

    def find(
        self,
        service: str,
        servers: Sequence[BackendServer],
        target: str | None = None,
        *,
        is_undecided: bool = False,
    ) -> str | None:
        """Return the version that a service has beside a roll-out.

        Parameters:
            servers: registered servers of the service.
            target: version that is rolled out; None if there is none.
            is_undecided: whether the roll-out is undecided. Until the
                verdict, no other version takes its place when none of its
                servers is left.

        Returns:
            None if it is unknown, since all servers are of the target. Until
            the verdict, it is the target if the service was moved to that by
            an earlier order.
        """
        if is_undecided and self._completed.get(service) == target:
            return target
        present = self._versions.get(service)
        if present is not None and present != target:
            if is_undecided or _has_server(servers, present):
                return present
        chosen = _most_common(servers, target)
        if chosen is None:
            return None if present == target else present
        if chosen != self._completed.get(service):
            self._completed.pop(service, None)
        self._versions[service] = chosen
        return chosen


def _has_server(servers: Sequence[BackendServer], version: str) -> bool:
    return any(server.record.version == version for server in servers)


def _most_common(
    servers: Sequence[BackendServer], target: str | None
) -> str | None:
    records = [
        server.record for server in servers if server.record.version != target
    ]
    if not records:
        return None
    counts = Counter(record.version for record in records)
    first = min(records, key=lambda record: record.started_ms)
    return max(
        counts,
        key=lambda version: (counts[version], version == first.version),
    )
