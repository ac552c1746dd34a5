"""Names of customers in metrics, bounded in number."""

from __future__ import annotations

_OTHER = 'other'


class CustomerLabels:
    """Chooses which customers have series of their own.

    The first customers that send requests have; all others share one, so that
    the number of series stays bounded however often names change.

    Parameters:
        maximum_count: largest number of customers with series of their own.
    """

    def __init__(self, maximum_count: int) -> None:
        """Initialize without customers."""
        self._maximum_count = maximum_count
        self._names: set[str] = set()

    def label(self, customer: str) -> str:
        """Return the name in the metrics of a customer."""
        if customer in self._names:
            return customer
        if len(self._names) >= self._maximum_count:
            return _OTHER
        self._names.add(customer)
        return customer
