"""The routes of one configuration and the choice among them."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from ._model import CallerLimits, Route, ServicePolicy


class RoutingTable:
    """Routes, services and limits of one configuration version.

    Parameters:
        version: rises with every configuration; 0 before the first.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, ServicePolicy],
        limits: CallerLimits,
    ) -> None:
        """Index the routes by host and prefix."""
        self.version = version
        self.services = services
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
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


def choose_service(route: Route, generator: random.Random) -> str:
    """Choose one service of a route in proportion to the weights."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [one.weight for one in services]
    return generator.choices(services, weights)[0].service
