"""Checks of the customers of a configuration."""

from __future__ import annotations

from collections.abc import Iterator

from ._findings import Finding, Rule
from ._outline import ConfigurationOutline, CustomerOutline


def check_customers(outline: ConfigurationOutline) -> Iterator[Finding]:
    """Yield what is wrong with customers, and routes that nobody may use."""
    if outline.customers is None:
        return
    for index, entry in enumerate(outline.customers):
        for rule, rest in _customer_faults(entry):
            yield Finding(rule, ('customers', index, *rest))
    if any(holder.keys for holder in outline.customers):
        return
    for position, route in enumerate(outline.routes):
        if not route.is_open:
            yield Finding(Rule.NOBODY_HAS_A_KEY, ('routes', position))


def _customer_faults(
    entry: CustomerOutline,
) -> Iterator[tuple[Rule, tuple[str | int, ...]]]:
    customer = entry.customer
    if not entry.keys:
        yield Rule.CUSTOMER_WITHOUT_KEY, ('keys',)
    for index, key in enumerate(entry.keys):
        if not key.is_sendable:
            yield Rule.UNSENDABLE_KEY, ('keys', index)
    if customer.burst and not customer.rate:
        yield Rule.BURST_WITHOUT_RATE, ('burst',)
    elif customer.burst > customer.rate:
        yield Rule.BURST_ABOVE_RATE, ('burst',)
