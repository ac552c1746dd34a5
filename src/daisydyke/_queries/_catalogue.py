"""States of all backend servers, as reported by their owners."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .._domain._choice import Evidence
from .._domain._model import ServerPhase, ServerState, ServiceSpec


@dataclass(frozen=True, slots=True)
class _Entry:
    state: ServerState
    owner: str


class Catalogue:
    """Last reported state of each backend server, and evidence on it.

    Attributes:
        generation: incremented on every change of a state or an owner.
    """

    def __init__(self) -> None:
        """Initialize an empty catalogue."""
        self._entries: dict[str, _Entry] = {}
        self._evidence: dict[str, Evidence] = {}
        self.generation = 0

    def put(self, server_id: str, state: ServerState, owner: str) -> bool:
        """Store the state that an owner reports.

        Parameters:
            owner: name of the VM that owns the server.

        Returns:
            Whether the state or the owner has changed.
        """
        entry = _Entry(state, owner)
        if self._entries.get(server_id) == entry:
            return False
        self._entries[server_id] = entry
        self.generation += 1
        return True

    def mark_owner_lost(self, owner: str) -> None:
        """Set the phase of all servers of an unreachable owner to lost."""
        for server_id, entry in tuple(self._entries.items()):
            if entry.owner == owner:
                lost_state = replace(entry.state, phase=ServerPhase.LOST)
                self._entries[server_id] = _Entry(lost_state, owner)
                self.generation += 1

    def state(self, server_id: str) -> ServerState | None:
        """Return the last reported state of a server, or None without one."""
        entry = self._entries.get(server_id)
        return entry.state if entry else None

    def evidence(self, server_id: str) -> Evidence:
        """Return this VM's own evidence on a server.

        It is created on first use and updated in place.
        """
        return self._evidence.setdefault(server_id, Evidence())

    def states(self, service: ServiceSpec) -> dict[str, ServerState]:
        """Return the reported states of a service's servers by identifier."""
        entries = {
            spec.server_id: self._entries.get(spec.server_id)
            for spec in service.servers
        }
        return {
            server_id: entry.state
            for server_id, entry in entries.items()
            if entry is not None
        }
