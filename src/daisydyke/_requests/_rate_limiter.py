"""Limit on the requests of a customer."""

from __future__ import annotations

from typing import Protocol

from ._model import Customer, RateLimited


class RateLimiter(Protocol):
    """Limits the requests of each customer over all VMs together."""

    async def acquire(self, customer: Customer) -> RateLimited | None:
        """Count one request toward the customer's limit.

        Returns:
            The answer to a request over the limit; None if it is admitted.
        """

    def give_back(self, customer: Customer) -> None:
        """Take back an admitted request that no server can have run."""


class NoRateLimit:
    """Admits every request."""

    async def acquire(self, customer: Customer) -> RateLimited | None:
        """Admit the request."""

    def give_back(self, customer: Customer) -> None:
        """Do nothing, since nothing was counted."""
