"""Owner of connections, as the connections need it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ._exchange import Exchange, ExchangeOutcome
from ._server import BackendServer

if TYPE_CHECKING:
    from ._connection import BackendConnection


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def may_send(self, server: BackendServer) -> bool:
        """Return whether a server may still be sent requests."""

    def handle_ended(
        self,
        connection: BackendConnection,
        exchange: Exchange,
        outcome: ExchangeOutcome,
    ) -> None:
        """Take an exchange that ended, before its queue gets the outcome."""

    def handle_closed(self) -> None:
        """Note that a connection is being closed."""

    def handle_opened_idle(self, connection: BackendConnection) -> None:
        """Take a connection that was opened without an exchange."""

    def handle_violation(
        self, connection: BackendConnection, detail: str
    ) -> None:
        """Note that the server violated the protocol."""
