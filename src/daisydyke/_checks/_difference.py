"""Differences between two configurations by what they mean."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields

from .._requests._model import Customer, Route
from ._findings import Finding, Rule
from ._outline import ConfigurationOutline, CustomerOutline, services_of

ADDED = 'added'
REMOVED = 'removed'
KEYS_ADDED = 'keys_added'
KEYS_REMOVED = 'keys_removed'
_SHARE_DIGITS = 5


@dataclass(frozen=True, slots=True)
class Difference:
    """One thing that differs.

    Parameters:
        subject: kind of the entry: ``route``, ``service``, ``customer``,
            ``limits`` or ``configuration``.
        name: name of the entry; empty for limits and the configuration.
        attribute: what differs of it; ``added`` or ``removed`` if the whole
            entry does, ``keys_added`` or ``keys_removed`` with a number.
        before: value before; of a set, what is left out.
        after: value after; of a set, what is new.
        affected: whom it affects.
    """

    subject: str
    name: str
    attribute: str
    affected: str
    before: object = None
    after: object = None


def compare(
    before: ConfigurationOutline, after: ConfigurationOutline
) -> Iterator[Difference]:
    """Yield what differs; order, repetition and scale of weights do not."""
    if before.version != after.version:
        yield Difference(
            'configuration',
            '',
            'version',
            'all VMs',
            before.version,
            after.version,
        )
    yield from _compare_entries(
        'route', _describe_routes(before), _describe_routes(after)
    )
    yield from _compare_entries(
        'service', _describe_services(before), _describe_services(after)
    )
    yield from _compare_entries(
        'limits', _describe_limits(before), _describe_limits(after)
    )
    yield from _compare_customers(before, after)


def check_version(
    before: ConfigurationOutline, after: ConfigurationOutline
) -> Iterator[Finding]:
    """Yield that VMs would not take a changed configuration for a newer one."""
    changed = any(compare(before, after))
    if changed and after.version <= before.version:
        yield Finding(Rule.VERSION_NOT_ABOVE, ('version',))


@dataclass(frozen=True, slots=True)
class _Entry:
    """Attributes of an entry in a form in which equal meanings are equal."""

    attributes: Mapping[str, object]
    affected: str


def _describe_routes(outline: ConfigurationOutline) -> dict[str, _Entry]:
    return {
        f'{host}{prefix}': _Entry(
            _describe_route(route), f'callers of {host}{prefix}'
        )
        for (host, prefix), route in outline.effective_routes.items()
    }


def _describe_route(route: Route) -> dict[str, object]:
    described = _attributes(route, 'host', 'prefix', 'services')
    described['shards'] = frozenset(route.shards)
    if not route.shards:
        described['services'] = _shares(route)
    return described


def _shares(route: Route) -> dict[str, float]:
    """Return the share of the requests that each service gets."""
    if len(route.services) == 1:
        return {route.services[0].service: 1}
    total = sum(weighted.weight for weighted in route.services)
    shares: dict[str, float] = {}
    for weighted in route.services:
        if weighted.weight:
            share = weighted.weight / total
            present = shares.get(weighted.service, 0)
            shares[weighted.service] = round(present + share, _SHARE_DIGITS)
    return dict(sorted(shares.items()))


def _describe_services(outline: ConfigurationOutline) -> dict[str, _Entry]:
    entries = {}
    for policy in outline.services:
        users = sorted(
            route.name
            for route in outline.effective_routes.values()
            if policy.name in services_of(route)
        )
        affected = ' '.join(('routes', *users)) if users else 'no route'
        entries[policy.name] = _Entry(_attributes(policy, 'name'), affected)
    return entries


def _describe_limits(outline: ConfigurationOutline) -> dict[str, _Entry]:
    return {'': _Entry(_attributes(outline.limits), 'all callers')}


def _attributes(entry: object, *omitted: str) -> dict[str, object]:
    return {
        field.name: getattr(entry, field.name)
        for field in fields(entry)  # type: ignore[arg-type]
        if field.name not in omitted
    }


def _compare_entries(
    subject: str, before: Mapping[str, _Entry], after: Mapping[str, _Entry]
) -> Iterator[Difference]:
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        if new is None:
            yield Difference(subject, name, REMOVED, before[name].affected)
        elif old is None:
            yield Difference(subject, name, ADDED, new.affected)
        else:
            yield from _compare_attributes(subject, name, old, new)


def _compare_attributes(
    subject: str, name: str, old: _Entry, new: _Entry
) -> Iterator[Difference]:
    for attribute in sorted({*old.attributes, *new.attributes}):
        before, after = _reduce(
            old.attributes.get(attribute), new.attributes.get(attribute)
        )
        if before != after:
            yield Difference(
                subject, name, attribute, new.affected, before, after
            )


def _reduce(before: object, after: object) -> tuple[object, object]:
    """Return two values, of sets the items that only one of them has."""
    if isinstance(before, frozenset) and isinstance(after, frozenset):
        return sorted(before - after), sorted(after - before)
    return before, after


def _compare_customers(
    before: ConfigurationOutline, after: ConfigurationOutline
) -> Iterator[Difference]:
    if (before.customers is None) != (after.customers is None):
        yield Difference(
            'configuration',
            '',
            'customers',
            'callers of all routes that are not open',
            'no keys' if before.customers is None else 'keys',
            'no keys' if after.customers is None else 'keys',
        )
    old, new = _by_name(before), _by_name(after)
    yield from _compare_entries(
        'customer', _describe_customers(old), _describe_customers(new)
    )
    for name in sorted(set(old).intersection(new)):
        yield from _compare_keys(name, old[name], new[name])


def _by_name(outline: ConfigurationOutline) -> dict[str, CustomerOutline]:
    return {entry.customer.name: entry for entry in outline.customers or ()}


def _describe_customers(
    customers: Mapping[str, CustomerOutline],
) -> dict[str, _Entry]:
    return {
        name: _Entry(_describe_customer(entry.customer), f'callers of {name}')
        for name, entry in customers.items()
    }


def _describe_customer(customer: Customer) -> dict[str, object]:
    described = _attributes(customer, 'name')
    if not customer.rate:
        described['burst'] = 0
    return described


def _compare_keys(
    name: str, old: CustomerOutline, new: CustomerOutline
) -> Iterator[Difference]:
    held = {key.digest for key in old.keys}
    holds = {key.digest for key in new.keys}
    for attribute, keys in (
        (KEYS_ADDED, holds - held),
        (KEYS_REMOVED, held - holds),
    ):
        if keys:
            yield Difference(
                'customer',
                name,
                attribute,
                f'callers of {name}',
                after=len(keys),
            )
