"""Decoding of the customers in the operator's configuration."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from itertools import chain
from typing import Annotated

import msgspec

from .._checks._outline import CustomerOutline, KeyOutline
from .._requests._model import Customer
from ._keys import digest_key

# Callers may be able to send others; none that begins or ends with a space.
_SENDABLE_KEY = re.compile('[!-~]+')
_MAXIMUM_NUMBER = 9_007_199_254_740_992
# Requests to a server name the customer in a header field.
_Name = Annotated[str, msgspec.Meta(pattern=r'^[!-~]+\Z')]
_Key = Annotated[str, msgspec.Meta(min_length=1)]
_Priority = Annotated[
    int, msgspec.Meta(ge=-_MAXIMUM_NUMBER, le=_MAXIMUM_NUMBER)
]
_Count = Annotated[float, msgspec.Meta(ge=0, le=_MAXIMUM_NUMBER)]


class CustomerDocument(msgspec.Struct):
    """Customer as the configuration states it.

    Its representation shows no key.
    """

    name: _Name
    api_keys: list[_Key] | None = None
    priority: _Priority | None = None
    # 0 for no limit; the burst then has no effect.
    rate_per_s: _Count = 0
    burst_size: _Count = 0

    def __repr__(self) -> str:
        """Return the name alone."""
        return f'CustomerDocument({self.name!r})'


def find_conflict(
    documents: Sequence[CustomerDocument],
) -> tuple[str, str] | None:
    """Return the JSON path and the rule of the first conflict, if any.

    Names are unique, and no two customers hold the same key. A customer may
    state a key twice.
    """
    return next(
        chain(_repeated_names(documents), _shared_keys(documents)), None
    )


def index_customers(
    documents: Sequence[CustomerDocument],
) -> dict[bytes, Customer]:
    """Return the customers by the digest of each of their keys."""
    customers: dict[bytes, Customer] = {}
    for document in documents:
        customer = _to_customer(document)
        for key in document.api_keys or ():
            customers[digest_key(key.encode())] = customer
    return customers


def outline_customer(document: CustomerDocument) -> CustomerOutline:
    """Return a customer with its keys in the order of the document."""
    return CustomerOutline(
        _to_customer(document),
        tuple(
            KeyOutline(
                digest_key(key.encode()),
                _SENDABLE_KEY.fullmatch(key) is not None,
            )
            for key in document.api_keys or ()
        ),
    )


def _to_customer(document: CustomerDocument) -> Customer:
    return Customer(
        document.name,
        document.priority,
        document.rate_per_s,
        document.burst_size,
    )


def _repeated_names(
    documents: Sequence[CustomerDocument],
) -> Iterator[tuple[str, str]]:
    names: set[str] = set()
    for index, document in enumerate(documents):
        if document.name in names:
            yield f'$.tenants[{index}].name', 'names two customers'
        names.add(document.name)


def _shared_keys(
    documents: Sequence[CustomerDocument],
) -> Iterator[tuple[str, str]]:
    holders: dict[str, int] = {}
    for index, document in enumerate(documents):
        for position, key in enumerate(document.api_keys or ()):
            if holders.setdefault(key, index) != index:
                path = f'$.tenants[{index}].api_keys[{position}]'
                yield path, 'is the key of two customers'
