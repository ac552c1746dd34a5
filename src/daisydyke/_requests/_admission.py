"""Admission of requests by the servers that could take them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from .._backends._server import BackendServer
from ._dependencies import ServerLookup


class Admission(Protocol):
    """Decides whether a request is handed on to servers."""

    def can_answer(self, services: Sequence[str], required_parts: int) -> bool:
        """Return whether enough services can be sent their part now.

        Parameters:
            services: service of each part.
            required_parts: number of parts that an answer needs.
        """


class NoAdmission:
    """Hands every request on; parts without a server fail one by one."""

    def can_answer(self, services: Sequence[str], required_parts: int) -> bool:
        """Return True."""
        return True


class ServerAdmission:
    """Refuses requests for which too few services have a usable server.

    Such a request would occupy the servers of all its other services and
    could not become an answer. Servers that are slow, fail or shed requests
    count as usable: whether they answer is known only by asking them.

    Parameters:
        candidates: returns the servers that may be sent requests.
        has_room: returns whether a server can be sent one more request now,
            by its connections and by the limit of a cold server.
    """

    def __init__(
        self,
        candidates: ServerLookup,
        has_room: Callable[[BackendServer], bool],
    ) -> None:
        """Initialize with the sources of servers and of their limits."""
        self._candidates = candidates
        self._has_room = has_room

    def can_answer(self, services: Sequence[str], required_parts: int) -> bool:
        """Return whether enough services have a server with room."""
        missing = 0
        for service in services:
            missing += not any(map(self._has_room, self._candidates(service)))
            if len(services) - missing < required_parts:
                return False
        return True
