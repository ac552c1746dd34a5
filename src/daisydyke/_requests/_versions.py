"""Choice among the versions of a service's servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import chain
from typing import Protocol

from .._backends._exchange import Exchange
from .._backends._server import BackendServer


class VersionChoice(Protocol):
    """Decides which version an attempt may take, and learns from outcomes."""

    def groups(
        self, service: str, servers: list[BackendServer], *, is_first: bool
    ) -> Sequence[list[BackendServer]]:
        """Return the servers that an attempt may use, preferred ones first.

        Parameters:
            servers: servers of the service that may be sent requests.
            is_first: whether it is the first attempt for its part.
        """

    def record_attempt(self, server: BackendServer) -> None:
        """Count an attempt that is sent to a server."""

    def record_answer(self, route: str, exchange: Exchange) -> None:
        """Count a successful reply to a first attempt."""

    def record_failure(self, route: str, exchange: Exchange) -> None:
        """Count an unsuccessful reply to a first attempt."""

    def record_abandoned(
        self, route: str, exchange: Exchange, median_latency: float
    ) -> None:
        """Count a first attempt that ends without a reply.

        Parameters:
            median_latency: median of comparable requests in seconds.
        """


class AnyVersion:
    """Uses all servers, whatever their version."""

    def groups(
        self, service: str, servers: list[BackendServer], *, is_first: bool
    ) -> Sequence[list[BackendServer]]:
        """Return all servers as one group."""
        return (servers,)

    def record_attempt(self, server: BackendServer) -> None:
        """Count nothing."""

    def record_answer(self, route: str, exchange: Exchange) -> None:
        """Count nothing."""

    def record_failure(self, route: str, exchange: Exchange) -> None:
        """Count nothing."""

    def record_abandoned(
        self, route: str, exchange: Exchange, median_latency: float
    ) -> None:
        """Count nothing."""


class PermittedServers:
    """Servers that may take any attempt, whatever version is drawn for it.

    Servers of a version that gets a small share of the requests, or none,
    cannot replace the others.

    Parameters:
        candidates: returns the servers of a service that may be sent
            requests.
    """

    def __init__(
        self,
        versions: VersionChoice,
        candidates: Callable[[str], list[BackendServer]],
    ) -> None:
        """Initialize with the versions and the servers."""
        self._versions = versions
        self._candidates = candidates

    def of_service(self, service: str) -> list[BackendServer]:
        """Return the servers of a service."""
        groups = self._versions.groups(
            service, self._candidates(service), is_first=False
        )
        return list(chain.from_iterable(groups))
