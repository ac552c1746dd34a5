"""Model of one VM's share of a customer's limit, lent to two leaders.

The lender's choice between the leaders A and B may change at any time. Its
loans go to both; each may be late, or lost on the way to one of them. The limit
is a bucket of two tokens that earns one in a tick; the share is the whole
limit. Names follow ``_quotas/_lending.py`` and ``_leader.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

VALIDITY_TICKS = 2
TAKEOVER_TICKS = 2
_BURST = 2


class Loan(NamedTuple):
    """A loan on its way.

    Parameters:
        choice: leader that the lender has chosen.
        age_ticks: ticks since it was sent.
        chosen_ticks: ticks since the lender made that choice.
    """

    choice: str
    age_ticks: int
    chosen_ticks: int


class Leader(NamedTuple):
    """What a leader knows of the lender.

    Parameters:
        valid_ticks: ticks for which the share is still lent to it.
        waiting_ticks: ticks until it may use the share.
        tokens: tokens that it holds.
    """

    valid_ticks: int = 0
    waiting_ticks: int = 0
    tokens: int = 0


class Quota(NamedTuple):
    """State of the lender, of both leaders and of the limit.

    Parameters:
        choice: leader that the lender has chosen.
        chosen_ticks: ticks since it made that choice.
        loan_to_a, loan_to_b: loan on its way; None if there is none.
        allowed: tokens that the limit has left for all leaders together.
        exceeded: whether a leader granted more.
    """

    choice: str = 'A'
    chosen_ticks: int = 0
    loan_to_a: Loan | None = None
    loan_to_b: Loan | None = None
    leader_a: Leader = Leader()
    leader_b: Leader = Leader()
    allowed: int = _BURST
    exceeded: bool = False


Steps = Iterator[tuple[str, Quota]]


def _may_use(leader: Leader) -> bool:
    return leader.valid_ticks > 0 and leader.waiting_ticks == 0


def _tick_loan(loan: Loan | None) -> Loan | None:
    if loan is None:
        return None
    return loan._replace(
        age_ticks=min(VALIDITY_TICKS, loan.age_ticks + 1),
        chosen_ticks=min(TAKEOVER_TICKS, loan.chosen_ticks + 1),
    )


def _tick_leader(leader: Leader) -> Leader:
    earned = int(_may_use(leader))
    return Leader(
        max(0, leader.valid_ticks - 1),
        max(0, leader.waiting_ticks - 1),
        min(_BURST, leader.tokens + earned),
    )


def _tick(state: Quota) -> Quota:
    return state._replace(
        chosen_ticks=min(TAKEOVER_TICKS, state.chosen_ticks + 1),
        loan_to_a=_tick_loan(state.loan_to_a),
        loan_to_b=_tick_loan(state.loan_to_b),
        leader_a=_tick_leader(state.leader_a),
        leader_b=_tick_leader(state.leader_b),
        allowed=min(_BURST, state.allowed + 1),
    )


def _receive(
    name: str, leader: Leader, loan: Loan, guards: frozenset[str]
) -> Leader:
    """Return the state of a leader after a loan."""
    if loan.choice != name:
        return leader._replace(valid_ticks=0)
    age_ticks = loan.age_ticks if 'count from the send' in guards else 0
    valid_ticks = VALIDITY_TICKS - age_ticks
    waiting_ticks = leader.waiting_ticks
    tokens = leader.tokens
    if not leader.valid_ticks:
        waiting_ticks = TAKEOVER_TICKS - age_ticks
        tokens = 0 if 'begin without tokens' in guards else _BURST
    elif 'date changes of mind' in guards:
        since_change = TAKEOVER_TICKS - loan.chosen_ticks
        if since_change > waiting_ticks:
            waiting_ticks = since_change
            tokens = 0
    if 'wait for earlier loans' not in guards:
        waiting_ticks = 0
    return Leader(valid_ticks, waiting_ticks, tokens)


def _loan_steps(state: Quota, guards: frozenset[str]) -> Steps:
    other = 'B' if state.choice == 'A' else 'A'
    yield (
        'lender changes its mind',
        state._replace(choice=other, chosen_ticks=0),
    )
    loan = Loan(state.choice, 0, state.chosen_ticks)
    yield 'lender sends loans', state._replace(loan_to_a=loan, loan_to_b=loan)
    # An earlier loan to the other leader is still on its way.
    yield 'lender sends a loan to A', state._replace(loan_to_a=loan)
    yield 'lender sends a loan to B', state._replace(loan_to_b=loan)
    if state.loan_to_a is not None:
        yield 'loan to A is lost', state._replace(loan_to_a=None)
        leader = _receive('A', state.leader_a, state.loan_to_a, guards)
        yield (
            'A receives a loan',
            state._replace(loan_to_a=None, leader_a=leader),
        )
    if state.loan_to_b is not None:
        yield 'loan to B is lost', state._replace(loan_to_b=None)
        leader = _receive('B', state.leader_b, state.loan_to_b, guards)
        yield (
            'B receives a loan',
            state._replace(loan_to_b=None, leader_b=leader),
        )


def _grant_steps(state: Quota) -> Steps:
    after = state._replace(
        allowed=max(0, state.allowed - 1),
        exceeded=state.exceeded or not state.allowed,
    )
    if _may_use(state.leader_a) and state.leader_a.tokens:
        leader = state.leader_a._replace(tokens=state.leader_a.tokens - 1)
        yield 'A grants a token', after._replace(leader_a=leader)
    if _may_use(state.leader_b) and state.leader_b.tokens:
        leader = state.leader_b._replace(tokens=state.leader_b.tokens - 1)
        yield 'B grants a token', after._replace(leader_b=leader)


def actions(state: Quota, guards: frozenset[str]) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    yield 'tick', _tick(state)
    yield from _loan_steps(state, guards)
    yield from _grant_steps(state)


MODEL = Model(
    'quota',
    Quota(),
    actions,
    {
        'a share is used by one leader': lambda state: (
            not (_may_use(state.leader_a) and _may_use(state.leader_b))
        ),
        'the limit is not exceeded': lambda state: not state.exceeded,
    },
    (
        'count from the send',
        'begin without tokens',
        'date changes of mind',
        'wait for earlier loans',
    ),
)
