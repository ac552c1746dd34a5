"""Limiter of the customers' rates over all VMs together."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import count

from .._ports import Clock, DecisionLog, Metrics
from .._requests._model import Customer, RateLimited
from ._allowance import own_allowance, split_for_restart
from ._customer import CustomerTokens
from ._lending import Lending
from ._limits import QuotaLimits
from ._messages import TokenGrant, TokenRequest

_MAXIMUM_CUSTOMER_COUNT = 4096
# Share of the time to the next token over which callers return.
_RETRY_SPREAD_SHARE = 0.25
_MINIMUM_RETRY_S = 0.05

# Asks a VM for tokens; returns None without an answer.
AskLeader = Callable[[str, TokenRequest], Awaitable[TokenGrant | None]]


class FleetRateLimiter:
    """Admits requests of customers within their rates over all VMs together.

    A VM admits a few requests of each customer in a window by itself, which
    the slack of the limit covers. For more it asks the customer's leader.

    Parameters:
        limits: tolerance of the rate limits.
        lending: names the leaders.
        ask_leader: asks a leader for tokens.
        is_first_process: whether no process has run on this VM before.
    """

    def __init__(
        self,
        limits: QuotaLimits,
        lending: Lending,
        ask_leader: AskLeader,
        clock: Clock,
        log: DecisionLog,
        metrics: Metrics,
        *,
        is_first_process: bool = False,
    ) -> None:
        """Initialize without customers."""
        self._limits = limits
        self._lending = lending
        self._ask_leader = ask_leader
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._numbers = count(1)
        self._random = random.Random()  # noqa: S311
        self._customers: dict[str, CustomerTokens] = {}
        # An earlier process may have admitted requests up to now.
        self._first_window_ends_at = clock.monotonic()
        if not is_first_process:
            self._first_window_ends_at += limits.window_s

    async def acquire(self, customer: Customer) -> RateLimited | None:
        """Admit one request of a customer.

        Returns:
            None if it may run; otherwise why not, and when another may.
        """
        if customer.rate <= 0:
            return None
        tokens = self._tokens(customer)
        now = self._clock.monotonic()
        if tokens.take_own(now, self._allowance(customer.name)):
            return None
        if not tokens.is_refused(now):
            granted = await tokens.rounds.take()
            if granted:
                return None
        return self._refuse(tokens)

    def give_back(self, customer: Customer) -> None:
        """Return the token of a request that has not run on any server."""
        tokens = self._customers.get(customer.name)
        if tokens is not None:
            tokens.give_back(self._clock.monotonic())

    def limited_customer_count(self) -> int:
        """Return the number of customers refused in the latest window."""
        oldest = self._clock.monotonic() - self._limits.window_s
        return sum(
            tokens.refused_at is not None and tokens.refused_at >= oldest
            for tokens in self._customers.values()
        )

    def _tokens(self, customer: Customer) -> CustomerTokens:
        tokens = self._customers.get(customer.name)
        if tokens is None:
            if len(self._customers) >= _MAXIMUM_CUSTOMER_COUNT:
                self._forget_idle()
            tokens = CustomerTokens(
                customer,
                self._limits.window_s,
                partial(self._ask, customer.name),
            )
            self._customers[customer.name] = tokens
        tokens.customer = customer
        return tokens

    def _allowance(self, customer: str) -> int:
        allowance = own_allowance(
            customer,
            self._lending.vm,
            self._lending.serving_vms,
            self._limits,
        )
        first, later = split_for_restart(allowance)
        if self._clock.monotonic() < self._first_window_ends_at:
            return first
        return later

    async def _ask(self, name: str, wanted: int) -> int:
        """Ask a customer's leader; return the number of tokens granted."""
        tokens = self._customers[name]
        leader = self._lending.leader(name)
        grant = None
        if leader is not None:
            request = tokens.request(
                leader, next(self._numbers), wanted, self._clock.monotonic()
            )
            grant = await self._ask_leader(leader, request)
        now = self._clock.monotonic()
        if leader is None or grant is None:
            tokens.note_no_answer(now)
            return 0
        tokens.note_answer(leader, wanted, grant, now)
        return grant.granted

    def _refuse(self, tokens: CustomerTokens) -> RateLimited:
        now = self._clock.monotonic()
        tokens.refused_at = now
        customer = tokens.customer
        self._metrics.incr(f'rate_limited.{tokens.refusal}')
        self._log.record(
            'rate_limited',
            customer=customer.name,
            reason=tokens.refusal,
            rate=customer.rate,
            burst=customer.burst,
            used=tokens.answer.used,
            leader=tokens.answer.leader,
            share=round(tokens.answer.share, 2),
            answer_age_s=round(now - tokens.answer.received_at, 2),
            loan_age_s=round(self._lending.oldest_loan_age(), 2),
        )
        wait = max(_MINIMUM_RETRY_S, tokens.retry_at - now)
        spread = 1 + _RETRY_SPREAD_SHARE * self._random.random()
        return RateLimited(customer.name, wait * spread)

    def _forget_idle(self) -> None:
        now = self._clock.monotonic()
        self._customers = {
            name: tokens
            for name, tokens in self._customers.items()
            if not tokens.is_idle(now)
        }
