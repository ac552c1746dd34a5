"""Decision which customer a request belongs to, by the caller's key."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from ._model import Customer, Refused, Route, Unauthorized
from ._routes import RoutingTable

# A VM out of touch with the store needs about as long to regain it.
_RETRY_AFTER_STALE_S = 0.5


def authenticate(
    table: RoutingTable,
    route: Route,
    key_digest: bytes,
    *,
    is_current: bool,
) -> Result[Customer | None, Unauthorized | Refused]:
    """Return the customer that holds the key of a request.

    Parameters:
        key_digest: digest of the caller's key; empty without a key.
        is_current: whether the table is known to be the newest one, so that a
            key that it lacks is not one that was added lately.

    Returns:
        The customer, or None if the route's callers need no key. A failure
        with the answer to the caller if its key is not in the table.
    """
    if table.customers is None or route.is_open:
        return Success(None)
    customer = table.holder_of(key_digest)
    if customer is not None:
        return Success(customer)
    if is_current:
        return Failure(Unauthorized('unknown_key' if key_digest else 'no_key'))
    return Failure(Refused('configuration_stale', _RETRY_AFTER_STALE_S))


def request_priority(route: Route, customer: Customer | None) -> int:
    """Return the priority of a request; 0 is the most urgent."""
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority
