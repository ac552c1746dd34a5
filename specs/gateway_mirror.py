"""Model of a withdrawal that a VM of the gateway has to follow in time.

The store withdraws a permission, such as a server that drains or a failure
domain that is taken out. A VM mirrors the store; it may be paused, restart,
lose the store for a while and copy a member's mirror, and get a copy of an
earlier response to its watch. Once the time allowed is over, it must not use
the permission. A VM that runs is told in time by its watch or by a member;
what that takes is not modelled. Names follow ``_mirror``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

_GRANTED = 1
_WITHDRAWN = 2
_TIME_OVER = 2


class Mirror(NamedTuple):
    """State of the store, of a VM and of a member that runs throughout.

    Parameters:
        stored: version in the store, granted or withdrawn.
        time: 0 before the withdrawal, 1 within the time allowed for it, 2
            after that time.
        known: version that the VM's mirror holds; 0 before it is loaded.
        member: version that the member's mirror holds.
        paused: whether the VM's process does not run.
        stale: whether it has run again, and has not read the store since.
        used_late: whether the permission was used after the time allowed.
        reverted: whether the mirror went back to an older version.
    """

    stored: int = _GRANTED
    time: int = 0
    known: int = 0
    member: int = _GRANTED
    paused: bool = False
    stale: bool = False
    used_late: bool = False
    reverted: bool = False


Steps = Iterator[tuple[str, Mirror]]


def _apply(state: Mirror, version: int, guards: frozenset[str]) -> Mirror:
    if version < state.known and 'versions only increase' in guards:
        return state
    return state._replace(
        known=version,
        reverted=state.reverted or version < state.known,
    )


def _time_steps(state: Mirror) -> Steps:
    if state.stored == _GRANTED:
        yield (
            'store withdraws it',
            state._replace(stored=_WITHDRAWN, time=1),
        )
    told = state.known in {0, _WITHDRAWN} or state.paused or state.stale
    if state.time == 1 and told and state.member == _WITHDRAWN:
        yield 'time is over', state._replace(time=_TIME_OVER)


def _process_steps(state: Mirror) -> Steps:
    yield 'process restarts', state._replace(known=0, paused=False, stale=False)
    if state.paused:
        yield (
            'process runs again',
            state._replace(paused=False, stale=bool(state.known)),
        )
    else:
        yield 'process is paused', state._replace(paused=True)


def _read_steps(state: Mirror, guards: frozenset[str]) -> Steps:
    current = _apply(state, state.stored, guards)
    yield 'VM reads the store', current._replace(stale=False)
    yield 'VM copies the member', _apply(state, state.member, guards)
    if (
        state.known == _WITHDRAWN
        and 'no response to an earlier watch' not in guards
    ):
        yield (
            'copy of an earlier response is applied',
            state._replace(known=_GRANTED),
        )


def _use_steps(state: Mirror, guards: frozenset[str]) -> Steps:
    if not state.known and 'loaded before serving' in guards:
        return
    if state.stale and 'read again after a pause' in guards:
        return
    if state.known != _WITHDRAWN:
        yield (
            'VM uses the permission',
            state._replace(
                used_late=state.used_late or state.time == _TIME_OVER
            ),
        )


def actions(state: Mirror, guards: frozenset[str]) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    yield from _time_steps(state)
    yield from _process_steps(state)
    yield 'member reads the store', state._replace(member=state.stored)
    if state.paused:
        return
    yield from _read_steps(state, guards)
    yield from _use_steps(state, guards)


MODEL = Model(
    'gateway mirror',
    Mirror(),
    actions,
    {
        'not used after the time allowed': lambda state: not state.used_late,
        'never reverts': lambda state: not state.reverted,
    },
    (
        'loaded before serving',
        'read again after a pause',
        'versions only increase',
        'no response to an earlier watch',
    ),
)
