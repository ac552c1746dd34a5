"""What a VM knows of one customer's tokens."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from .._requests._model import Customer
from ._admission_log import AdmissionLog
from ._messages import TokenGrant, TokenRequest
from ._rounds import TokenRounds

# Longest time for which a refusal also applies to later requests.
_MAXIMUM_REFUSAL_S = 0.2
_RETRY_AFTER_NO_ANSWER_S = 0.3
# The leader may have removed older tokens from its window already.
_RETURN_WINDOW_S = 1.0


class RefusalReason(StrEnum):
    """Reason for which a customer's request was refused.

    Attributes:
        OVER_LIMIT: the leader has no token left.
        NO_LEADER: no share of the limit is lent to the VM that was asked.
        NO_ANSWER: that VM has not answered.
    """

    OVER_LIMIT = 'over_limit'
    NO_LEADER = 'no_leader'
    NO_ANSWER = 'no_answer'


@dataclass(frozen=True, slots=True)
class LeaderAnswer:
    """Latest answer of a customer's leader.

    Parameters:
        leader: VM that answered; empty if none has yet.
        received_at: time at which it did.
        used: requests that it had granted in the latest window.
        share: share of the customer's limit that it had.
    """

    leader: str = ''
    received_at: float = 0
    used: int = 0
    share: float = 0


class CustomerTokens:
    """Requests that this VM admitted by itself, and answers of the leader.

    Parameters:
        customer: the customer, as its requests state it.
        ask: asks the leader for tokens; returns how many it has granted.

    Attributes:
        rounds: requests to the leader.
        answer: latest answer of a leader.
        refusal: reason of the latest refusal.
        refused_at: time of the latest refused request; None before the first.
        retry_at: time at which the leader has the next token.
    """

    def __init__(
        self,
        customer: Customer,
        window_s: float,
        ask: Callable[[int], Awaitable[int]],
    ) -> None:
        """Initialize without requests."""
        self._own = AdmissionLog(window_s)
        self._returned = AdmissionLog(_RETURN_WINDOW_S)
        self._refused_until: float = 0
        self.customer = customer
        self.rounds = TokenRounds(ask)
        self.answer = LeaderAnswer()
        self.refusal = RefusalReason.NO_ANSWER
        self.refused_at: float | None = None
        self.retry_at: float = 0

    def take_own(self, now: float, allowance: int) -> bool:
        """Admit a request if this VM's own allowance has one left."""
        if self._own.count(now) >= allowance:
            return False
        self._own.add(now)
        return True

    def is_refused(self, now: float) -> bool:
        """Return whether the latest answer refuses a request now."""
        return now < self._refused_until

    def is_idle(self, now: float) -> bool:
        """Return whether nothing that this object knows is needed."""
        return self.rounds.is_idle and not self._own.count(now)

    def give_back(self, now: float) -> None:
        """Return a token, to the leader if it has been asked."""
        if self.answer.leader:
            self._returned.add(now)
        else:
            self._own.remove_oldest(1)

    def request(
        self, leader: str, number: int, wanted: int, now: float
    ) -> TokenRequest:
        """Return a request for tokens, which returns those given back.

        Tokens of another leader are dropped.
        """
        returned = self._returned.count(now)
        self._returned.remove_oldest(returned)
        if leader != self.answer.leader:
            returned = 0
        return TokenRequest(
            number,
            self.customer.name,
            wanted,
            self.customer.rate,
            self.customer.burst,
            returned,
        )

    def note_answer(
        self, leader: str, wanted: int, grant: TokenGrant, now: float
    ) -> None:
        """Remember the answer to a request for tokens."""
        self.answer = LeaderAnswer(leader, now, grant.used, grant.share)
        if grant.granted < wanted:
            self.refusal = (
                RefusalReason.OVER_LIMIT
                if grant.share
                else RefusalReason.NO_LEADER
            )
            self._refuse_for(grant.retry_after_s, now)

    def note_no_answer(self, now: float) -> None:
        """Remember that no leader has answered, or that none is known."""
        self.refusal = RefusalReason.NO_ANSWER
        self._refuse_for(_RETRY_AFTER_NO_ANSWER_S, now)

    def _refuse_for(self, wait: float, now: float) -> None:
        self.retry_at = now + wait
        self._refused_until = now + min(wait, _MAXIMUM_REFUSAL_S)
