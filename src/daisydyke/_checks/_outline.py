"""A configuration as its author wrote it, entry by entry."""

from __future__ import annotations

from dataclasses import dataclass

from .._requests._model import CallerLimits, Customer, Route, ServicePolicy


@dataclass(frozen=True, slots=True)
class KeyOutline:
    """A key of a customer.

    Parameters:
        is_sendable: whether a header field can carry the key.
    """

    digest: bytes
    is_sendable: bool


@dataclass(frozen=True, slots=True)
class CustomerOutline:
    """A customer and its keys, in the order of the document."""

    customer: Customer
    keys: tuple[KeyOutline, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationOutline:
    """All entries of a configuration, in the order of the document.

    Parameters:
        customers: None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServicePolicy, ...]
    limits: CallerLimits
    customers: tuple[CustomerOutline, ...] | None

    @property
    def effective_routes(self) -> dict[tuple[str, str], Route]:
        """Routes by host in lower case and prefix; the last one applies."""
        return {
            (route.host.lower(), route.prefix): route for route in self.routes
        }


def services_of(route: Route) -> tuple[str, ...]:
    """Return the services that a route names and uses."""
    if route.shards:
        return route.shards
    return tuple(weighted.service for weighted in route.services)
