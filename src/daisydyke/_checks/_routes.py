"""Checks of the routes and services of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .._requests._model import Route, ServicePolicy
from .._requests._scheduler import MINIMUM_TARGET_S, MINIMUM_TIMEOUT_S
from ._findings import Finding, Rule
from ._outline import ConfigurationOutline, services_of


def check_routes(outline: ConfigurationOutline) -> Iterator[Finding]:
    """Yield what is wrong with single routes and between routes."""
    effective = outline.effective_routes
    known = {policy.name for policy in outline.services}
    yield from repeated_names('routes', outline.routes)
    for index, route in enumerate(outline.routes):
        place = ('routes', index)
        if effective[route.host.lower(), route.prefix] is not route:
            yield Finding(Rule.HIDDEN_ROUTE, place)
        if ':' in route.host:
            yield Finding(Rule.HOST_WITH_PORT, (*place, 'host'))
        if outline.customers is None and route.is_open:
            yield Finding(Rule.OPEN_WITHOUT_CUSTOMERS, (*place, 'is_open'))
        for rule, attribute in _time_faults(route):
            yield Finding(rule, (*place, attribute))
        yield from _service_faults(place, route, known)


def check_services(outline: ConfigurationOutline) -> Iterator[Finding]:
    """Yield what is wrong with services."""
    used = {name for route in outline.routes for name in services_of(route)}
    yield from repeated_names('services', outline.services)
    for index, policy in enumerate(outline.services):
        place = ('services', index)
        if policy.name not in used:
            yield Finding(Rule.UNUSED_SERVICE, place)
        if policy.warm_up > 0 and not policy.cold_rate:
            yield Finding(Rule.WARM_UP_WITHOUT_RATE, (*place, 'warm_up'))
        if policy.cold_rate and policy.warm_up <= 0:
            yield Finding(Rule.RATE_WITHOUT_WARM_UP, (*place, 'cold_rate'))


def repeated_names(
    group: str, entries: Iterable[Route | ServicePolicy]
) -> Iterator[Finding]:
    """Yield the entries whose name an earlier one has."""
    names: set[str] = set()
    for index, entry in enumerate(entries):
        if entry.name in names:
            yield Finding(Rule.REPEATED_NAME, (group, index, 'name'))
        names.add(entry.name)


def _time_faults(route: Route) -> Iterator[tuple[Rule, str]]:
    if route.timeout < MINIMUM_TIMEOUT_S:
        yield Rule.TIMEOUT_TOO_SHORT, 'timeout'
    elif route.timeout < route.target_latency:
        yield Rule.TIMEOUT_BELOW_TARGET, 'timeout'
    if route.shards and route.target_latency <= MINIMUM_TARGET_S:
        yield Rule.TARGET_TOO_SHORT, 'target_latency'
    if route.shards and route.maximum_records <= 0:
        yield Rule.NO_RECORDS, 'maximum_records'


def _service_faults(
    place: tuple[str | int, ...], route: Route, known: set[str]
) -> Iterator[Finding]:
    if route.shards and route.services:
        yield Finding(Rule.SERVICE_BESIDE_SHARDS, place)
    names = services_of(route)
    for name in sorted(set(names) - known):
        yield Finding(Rule.UNKNOWN_SERVICE, place, name)
    for index, name in enumerate(route.shards):
        if name in route.shards[:index]:
            yield Finding(Rule.REPEATED_SHARD, (*place, 'shards', index), name)
    if route.shards or len(names) == 1:
        return
    for position, weighted in enumerate(route.services):
        if not weighted.weight:
            yield Finding(
                Rule.ZERO_WEIGHT,
                (*place, 'services', position),
                weighted.service,
            )
