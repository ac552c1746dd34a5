"""What is known of all backend servers, from their owners."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .._domain._choice import Evidence
from .._domain._model import ServerPhase, ServerState, ServiceSpec


@dataclass(frozen=True, slots=True)
class _Entry:
    state: ServerState
    owner: str


class Catalogue:
    """States of servers as their owners tell them."""

    def __init__(self) -> None:
        """Know no server."""
        self._entries: dict[str, _Entry] = {}
        self._evidence: dict[str, Evidence] = {}
        self.generation = 0

    def put(self, server_id: str, state: ServerState, owner: str) -> bool:
        """Take an owner's word; tells whether it was news."""
        entry = _Entry(state, owner)
        if self._entries.get(server_id) == entry:
            return False
        self._entries[server_id] = entry
        self.generation += 1
        return True

    def mark_owner_lost(self, owner: str) -> None:
        """Note that an owner cannot be reached."""
        for server_id, entry in tuple(self._entries.items()):
            if entry.owner == owner:
                lost = replace(entry.state, phase=ServerPhase.LOST)
                self._entries[server_id] = _Entry(lost, owner)
                self.generation += 1

    def state(self, server_id: str) -> ServerState | None:
        """Return the state of one server, None if it is not known."""
        entry = self._entries.get(server_id)
        return entry.state if entry else None

    def evidence(self, server_id: str) -> Evidence:
        """Return what this VM has seen of a server itself."""
        return self._evidence.setdefault(server_id, Evidence())

    def states(self, service: ServiceSpec) -> dict[str, ServerState]:
        """Return the known states of a service's servers."""
        found = {
            spec.server_id: self._entries.get(spec.server_id)
            for spec in service.servers
        }
        return {
            server_id: entry.state
            for server_id, entry in found.items()
            if entry is not None
        }
