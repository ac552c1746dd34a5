"""Lease, floor and session of one server's slots, for two entry VMs.

VM A holds the server and may be cut off, paused, crash or restart; VM B
takes over. One slot is the floor and one the rest. Time goes in ticks; A's
clock may lose one tick against B's. Names follow ``_limits/_session.py``,
``_fencing.py`` and ``_ownership.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

SESSION_TTL = 2
DRIFT_MARGIN = 1
LONGEST_REQUEST = 2
_WAIT = SESSION_TTL + DRIFT_MARGIN + LONGEST_REQUEST


class Lease(NamedTuple):
    """State of platform, A and B.

    Parameters:
        valid: ticks for which A's session counts, by A's clock.
        pending: ticks that a renewal under way is worth; -1 for none.
        applied: whether the platform has taken the pending renewal.
        drift: ticks that A's clock can still lose.
        waited: ticks since B read A's session; -1 for not read.
        changed: whether the session has changed since B read it.
        a_rest, a_floor, b_rest, b_floor: ticks that a request in the slot
            can still run.
        settled: ticks since A's new process started; -1 for the first one.
        released: whether A has stopped to use the floor.
    """

    valid: int = SESSION_TTL
    pending: int = -1
    applied: bool = False
    drift: int = DRIFT_MARGIN
    fenced: bool = False
    waited: int = -1
    changed: bool = False
    holder: str = 'A'
    floor: str = 'A'
    alive: bool = True
    settled: int = -1
    ended: int = -1
    released: bool = False
    a_rest: int = 0
    a_floor: int = 0
    b_rest: int = 0
    b_floor: int = 0


Steps = Iterator[tuple[str, Lease]]


def _tick(state: Lease, lost: int) -> Lease:
    return state._replace(
        valid=max(0, state.valid - 1 + lost),
        pending=max(0, state.pending - 1 + lost) if state.pending >= 0 else -1,
        drift=state.drift - lost,
        waited=min(_WAIT, state.waited + 1) if state.waited >= 0 else -1,
        settled=min(LONGEST_REQUEST, state.settled + 1)
        if state.settled >= 0
        else -1,
        ended=min(LONGEST_REQUEST, state.ended + 1) if state.ended >= 0 else -1,
        a_rest=max(0, state.a_rest - 1),
        a_floor=max(0, state.a_floor - 1),
        b_rest=max(0, state.b_rest - 1),
        b_floor=max(0, state.b_floor - 1),
    )


def _session_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if state.pending >= 0 and not state.applied and not state.fenced:
        yield (
            'platform takes the renewal',
            state._replace(
                applied=True,
                changed=True,
            ),
        )
    if not state.alive or state.settled >= 0:
        return
    yield from _renewal_steps(state, guards)


def _renewal_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if state.pending < 0:
        yield (
            'A sends a renewal',
            state._replace(
                pending=SESSION_TTL,
                applied=False,
            ),
        )
    elif state.applied:
        counted = 'count from the send' in guards
        worth = state.pending if counted else SESSION_TTL
        yield (
            'A learns of its renewal',
            state._replace(
                valid=max(state.valid, worth),
                pending=-1,
            ),
        )
    elif state.fenced:
        yield 'A learns of a conflict', state._replace(pending=-1)


def _takeover_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if state.waited < 0 and not state.fenced:
        yield (
            'B reads the session of A',
            state._replace(
                waited=0,
                changed=False,
            ),
        )
    if state.waited >= 0 and state.changed and not state.fenced:
        yield (
            'B gives up fencing',
            state._replace(
                waited=-1,
                changed=False,
            ),
        )
    waited = state.waited >= _WAIT or 'wait out the session' not in guards
    same = not state.changed or 'fence conditionally' not in guards
    if state.waited >= 0 and waited and same and not state.fenced:
        yield 'B fences the session', state._replace(fenced=True)
    if state.fenced and state.holder == 'A':
        floor = state.floor if 'keep the floor apart' in guards else 'B'
        yield (
            'B takes the rest',
            state._replace(
                holder='B',
                floor=floor,
            ),
        )
    over = state.ended >= LONGEST_REQUEST or 'wait for the end' not in guards
    if state.ended >= 0 and over and state.holder == 'B':
        yield 'B takes the floor of a gone VM', state._replace(floor='B')


def _old_process_steps(state: Lease) -> Steps:
    if state.holder == 'B' and state.floor == 'A':
        yield (
            'A stops to use the floor',
            state._replace(
                released=True,
                valid=0,
            ),
        )
    if state.released and not state.a_floor and not state.a_rest:
        yield 'A gives the floor up', state._replace(floor='B')
    yield 'A crashes', state._replace(alive=False, pending=-1, valid=0)


def _process_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if not state.alive and state.ended < 0:
        yield 'A starts anew', state._replace(alive=True, settled=0)
        yield 'the VM of A is gone', state._replace(ended=0)
    if state.alive and state.settled < 0:
        yield from _old_process_steps(state)
    settled = state.settled >= LONGEST_REQUEST or 'settle' not in guards
    owed = state.holder == 'B' and state.floor == 'A'
    if state.alive and state.settled >= 0 and settled and owed:
        yield 'new A gives the floor up', state._replace(floor='B')


def _use_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if state.alive and state.settled < 0:
        fence = state.valid > 0 or 'check before the send' not in guards
        if fence and not state.a_rest:
            yield 'A uses the rest', state._replace(a_rest=LONGEST_REQUEST)
        if state.floor == 'A' and not state.released and not state.a_floor:
            yield 'A uses the floor', state._replace(a_floor=LONGEST_REQUEST)
    if state.holder == 'B' and not state.b_rest:
        yield 'B uses the rest', state._replace(b_rest=LONGEST_REQUEST)
    if state.floor == 'B' and not state.b_floor:
        yield 'B uses the floor', state._replace(b_floor=LONGEST_REQUEST)


def actions(state: Lease, guards: frozenset[str]) -> Steps:
    """Yield every step from a state."""
    yield 'tick', _tick(state, 0)
    if state.drift:
        yield 'tick that A misses', _tick(state, 1)
    yield from _session_steps(state, guards)
    yield from _takeover_steps(state, guards)
    yield from _process_steps(state, guards)
    yield from _use_steps(state, guards)


MODEL = Model(
    'lease',
    Lease(),
    actions,
    {
        'rest within its slot': lambda state: (
            not (state.a_rest and state.b_rest)
        ),
        'floor within its slot': lambda state: (
            not (state.a_floor and state.b_floor)
        ),
    },
    (
        'check before the send',
        'count from the send',
        'wait out the session',
        'fence conditionally',
        'keep the floor apart',
        'settle',
        'wait for the end',
    ),
)
