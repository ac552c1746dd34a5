"""Estimates of the work that is open at backend servers."""

from __future__ import annotations

from typing import Protocol

from ._server import BackendServer


class OpenWork(Protocol):
    """Estimates the load of servers, for the choice between them."""

    def queueing(self, server: BackendServer) -> float:
        """Return the expected wait for a slot, in median latencies."""

    def has_shed(self, server: BackendServer) -> bool:
        """Return whether a server has just shed a request."""

    def reporter_count(self) -> int:
        """Return how many other VMs have just reported load."""


class OwnOpenWork:
    """Estimates from this VM's own exchanges alone."""

    def queueing(self, server: BackendServer) -> float:
        """Return this VM's open exchanges as a share of the slots."""
        return len(server.outstanding) / server.record.slots

    def has_shed(self, server: BackendServer) -> bool:
        """Return False: the outcomes of exchanges are evidence enough."""
        return False

    def reporter_count(self) -> int:
        """Return 0."""
        return 0
