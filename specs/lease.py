"""Model of the lease and the session for one server and two entry VMs.

VM A holds the lease and may be partitioned, paused, crash or restart; VM B
takes over. One slot of the server is the floor, which its holder may use
also while the platform is unavailable; the other is the rest, which requires
a valid session. Time passes in ticks; A's clock may lose one tick relative to
B's. Names follow ``_limits/_session.py``, ``_fencing.py`` and
``_ownership.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

SESSION_TTL_TICKS = 2
DRIFT_MARGIN_TICKS = 1
LONGEST_REQUEST_TICKS = 2
_FENCING_DELAY_TICKS = (
    SESSION_TTL_TICKS + DRIFT_MARGIN_TICKS + LONGEST_REQUEST_TICKS
)


class Lease(NamedTuple):
    """State of platform, A and B.

    Parameters:
        session_ticks: ticks for which A's session remains valid, by A's clock.
        renewal_ticks: ticks of validity that a renewal in flight would give;
            -1 for none.
        renewal_applied: whether the platform has applied that renewal.
        drift_ticks: ticks that A's clock can still lose.
        fenced: whether B has fenced A's session.
        ticks_since_read: ticks since B read A's session; -1 if it has not.
        session_changed: whether the session has changed since B read it.
        holder: VM that holds the lease.
        floor_holder: VM that may use the floor slot.
        process_running: whether a process runs on A.
        ticks_since_restart: ticks since A's second process started; -1 for
            the first process.
        ticks_since_removal: ticks since VM A was removed; -1 if it was not.
        floor_released: whether A has stopped using the floor slot.
        a_rest_ticks, a_floor_ticks, b_rest_ticks, b_floor_ticks: ticks for
            which a request in the slot can still run.
    """

    session_ticks: int = SESSION_TTL_TICKS
    renewal_ticks: int = -1
    renewal_applied: bool = False
    drift_ticks: int = DRIFT_MARGIN_TICKS
    fenced: bool = False
    ticks_since_read: int = -1
    session_changed: bool = False
    holder: str = 'A'
    floor_holder: str = 'A'
    process_running: bool = True
    ticks_since_restart: int = -1
    ticks_since_removal: int = -1
    floor_released: bool = False
    a_rest_ticks: int = 0
    a_floor_ticks: int = 0
    b_rest_ticks: int = 0
    b_floor_ticks: int = 0


Steps = Iterator[tuple[str, Lease]]


def _tick(state: Lease, lost_ticks: int) -> Lease:
    return state._replace(
        session_ticks=max(0, state.session_ticks - 1 + lost_ticks),
        renewal_ticks=max(0, state.renewal_ticks - 1 + lost_ticks)
        if state.renewal_ticks >= 0
        else -1,
        drift_ticks=state.drift_ticks - lost_ticks,
        ticks_since_read=min(_FENCING_DELAY_TICKS, state.ticks_since_read + 1)
        if state.ticks_since_read >= 0
        else -1,
        ticks_since_restart=min(
            LONGEST_REQUEST_TICKS, state.ticks_since_restart + 1
        )
        if state.ticks_since_restart >= 0
        else -1,
        ticks_since_removal=min(
            LONGEST_REQUEST_TICKS, state.ticks_since_removal + 1
        )
        if state.ticks_since_removal >= 0
        else -1,
        a_rest_ticks=max(0, state.a_rest_ticks - 1),
        a_floor_ticks=max(0, state.a_floor_ticks - 1),
        b_rest_ticks=max(0, state.b_rest_ticks - 1),
        b_floor_ticks=max(0, state.b_floor_ticks - 1),
    )


def _session_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if (
        state.renewal_ticks >= 0
        and not state.renewal_applied
        and not state.fenced
    ):
        yield (
            'platform applies the renewal',
            state._replace(
                renewal_applied=True,
                session_changed=True,
            ),
        )
    if not state.process_running or state.ticks_since_restart >= 0:
        return
    yield from _renewal_steps(state, guards)


def _renewal_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if state.renewal_ticks < 0:
        yield (
            'A sends a renewal',
            state._replace(
                renewal_ticks=SESSION_TTL_TICKS,
                renewal_applied=False,
            ),
        )
    elif state.renewal_applied:
        counts_from_send = 'count from the send' in guards
        validity_ticks = (
            state.renewal_ticks if counts_from_send else SESSION_TTL_TICKS
        )
        yield (
            'A receives the renewal response',
            state._replace(
                session_ticks=max(state.session_ticks, validity_ticks),
                renewal_ticks=-1,
            ),
        )
    elif state.fenced:
        yield 'A receives a conflict', state._replace(renewal_ticks=-1)


def _takeover_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if state.ticks_since_read < 0 and not state.fenced:
        yield (
            'B reads the session of A',
            state._replace(
                ticks_since_read=0,
                session_changed=False,
            ),
        )
    if (
        state.ticks_since_read >= 0
        and state.session_changed
        and not state.fenced
    ):
        yield (
            'B abandons fencing',
            state._replace(
                ticks_since_read=-1,
                session_changed=False,
            ),
        )
    has_waited = (
        state.ticks_since_read >= _FENCING_DELAY_TICKS
        or 'wait for session expiry' not in guards
    )
    unchanged = not state.session_changed or 'fence conditionally' not in guards
    if (
        state.ticks_since_read >= 0
        and has_waited
        and unchanged
        and not state.fenced
    ):
        yield 'B fences the session', state._replace(fenced=True)
    if state.fenced and state.holder == 'A':
        floor = state.floor_holder if 'separate floor holder' in guards else 'B'
        yield (
            'B takes over the rest',
            state._replace(
                holder='B',
                floor_holder=floor,
            ),
        )
    may_take_floor = (
        state.ticks_since_removal >= LONGEST_REQUEST_TICKS
        or 'wait for old requests after removal' not in guards
    )
    if (
        state.ticks_since_removal >= 0
        and may_take_floor
        and state.holder == 'B'
    ):
        yield (
            'B takes over the floor of a removed VM',
            state._replace(floor_holder='B'),
        )


def _first_process_steps(state: Lease) -> Steps:
    if state.holder == 'B' and state.floor_holder == 'A':
        yield (
            'A stops using the floor',
            state._replace(
                floor_released=True,
                session_ticks=0,
            ),
        )
    if (
        state.floor_released
        and not state.a_floor_ticks
        and not state.a_rest_ticks
    ):
        yield 'A gives up the floor', state._replace(floor_holder='B')
    yield (
        'A crashes',
        state._replace(
            process_running=False, renewal_ticks=-1, session_ticks=0
        ),
    )


def _process_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if not state.process_running and state.ticks_since_removal < 0:
        yield (
            'A restarts',
            state._replace(process_running=True, ticks_since_restart=0),
        )
        yield 'VM A is removed', state._replace(ticks_since_removal=0)
    if state.process_running and state.ticks_since_restart < 0:
        yield from _first_process_steps(state)
    may_give_up_floor = (
        state.ticks_since_restart >= LONGEST_REQUEST_TICKS
        or 'wait for old requests after restart' not in guards
    )
    holds_floor_only = state.holder == 'B' and state.floor_holder == 'A'
    if (
        state.process_running
        and state.ticks_since_restart >= 0
        and may_give_up_floor
        and holds_floor_only
    ):
        yield 'restarted A gives up the floor', state._replace(floor_holder='B')


def _request_steps(state: Lease, guards: frozenset[str]) -> Steps:
    if state.process_running and state.ticks_since_restart < 0:
        may_use_rest = (
            state.session_ticks > 0 or 'check before the send' not in guards
        )
        if may_use_rest and not state.a_rest_ticks:
            yield (
                'A uses the rest',
                state._replace(a_rest_ticks=LONGEST_REQUEST_TICKS),
            )
        if (
            state.floor_holder == 'A'
            and not state.floor_released
            and not state.a_floor_ticks
        ):
            yield (
                'A uses the floor',
                state._replace(a_floor_ticks=LONGEST_REQUEST_TICKS),
            )
    if state.holder == 'B' and not state.b_rest_ticks:
        yield (
            'B uses the rest',
            state._replace(b_rest_ticks=LONGEST_REQUEST_TICKS),
        )
    if state.floor_holder == 'B' and not state.b_floor_ticks:
        yield (
            'B uses the floor',
            state._replace(b_floor_ticks=LONGEST_REQUEST_TICKS),
        )


def actions(state: Lease, guards: frozenset[str]) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    yield 'tick', _tick(state, 0)
    if state.drift_ticks:
        yield 'tick that the clock of A loses', _tick(state, 1)
    yield from _session_steps(state, guards)
    yield from _takeover_steps(state, guards)
    yield from _process_steps(state, guards)
    yield from _request_steps(state, guards)


MODEL = Model(
    'lease',
    Lease(),
    actions,
    {
        'at most one request in the rest': lambda state: (
            not (state.a_rest_ticks and state.b_rest_ticks)
        ),
        'at most one request in the floor': lambda state: (
            not (state.a_floor_ticks and state.b_floor_ticks)
        ),
    },
    (
        'check before the send',
        'count from the send',
        'wait for session expiry',
        'fence conditionally',
        'separate floor holder',
        'wait for old requests after restart',
        'wait for old requests after removal',
    ),
)
