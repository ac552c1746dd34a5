"""Routing table of one configuration version."""

from __future__ import annotations

import hmac
import random
from collections.abc import Iterable, Mapping

from ._model import CallerLimits, Customer, Route, ServicePolicy

# Digests are looked up by their beginning and then compared as a whole, in a
# time that does not depend on where they differ.
_INDEX_BYTES = 8


class RoutingTable:
    """Routes, service policies and caller limits of one version.

    Parameters:
        version: increases with every configuration; 0 before the first.
        routes: routes, at most one for each pair of host and prefix; of
            several, the last one applies.
        services: policies by service name.
        limits: limits on callers' requests.
        customers: customers by the digest of each of their keys; None if
            callers need no keys.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, ServicePolicy],
        limits: CallerLimits,
        customers: Mapping[bytes, Customer] | None = None,
    ) -> None:
        """Initialize an index of the routes by host and path prefix."""
        self.version = version
        self.services = services
        self.limits = limits
        self.customers = customers
        self._holders: dict[bytes, list[tuple[bytes, Customer]]] = {}
        for digest, customer in (customers or {}).items():
            entries = self._holders.setdefault(digest[:_INDEX_BYTES], [])
            entries.append((digest, customer))
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path.

        Prefixes end with a slash, so only whole path segments are compared.

        Parameters:
            host: host name without a port, in any case.
            path: path without a query.

        Returns:
            The route, or None if no prefix matches.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def holder_of(self, key_digest: bytes) -> Customer | None:
        """Return the customer with a key; None if no customer holds it."""
        for digest, customer in self._holders.get(
            key_digest[:_INDEX_BYTES], ()
        ):
            if hmac.compare_digest(digest, key_digest):
                return customer
        return None


def choose_service(route: Route, generator: random.Random) -> str:
    """Choose a service of a route at random, in proportion to the weights.

    Parameters:
        generator: source of randomness; unused for a single service.
    """
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [weighted.weight for weighted in services]
    return generator.choices(services, weights)[0].service
