"""At most once: one idempotency key, three tries, one executor.

The executor may crash and start anew, the connection to the server may
break with the request on its way, and time may pass the records kept.
Names follow ``_commits/_commit.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

TRIES = 3


class Commit(NamedTuple):
    """State of caller, executor and server.

    Parameters:
        waiting: tries of the caller not yet answered.
        start: the executor's process; the key names process 1.
        record: what the executor has on record for the key.
        wire: the request on its way to the server, or its reply.
        runs: how often the server has run it.
        age: 0 while the key is new, 1 while it may be on record, 2 after.
        lied: whether ``not_run`` was said of what had run or could.
    """

    tries: int = TRIES
    waiting: int = 0
    start: int = 1
    record: str = 'none'
    wire: str = 'idle'
    stray: bool = False
    runs: int = 0
    age: int = 0
    lied: bool = False


Steps = Iterator[tuple[str, Commit]]


def _one_more(state: Commit) -> int:
    # Two runs are as wrong as more.
    return min(2, state.runs + 1)


def _say_not_run(state: Commit) -> Commit:
    possible = state.runs > 0 or state.stray or state.wire == 'request'
    return state._replace(
        waiting=state.waiting - 1,
        lied=state.lied or possible,
    )


def _say(state: Commit) -> Commit:
    return state._replace(waiting=state.waiting - 1)


def _execute_steps(state: Commit, guards: frozenset[str]) -> Steps:
    if not state.waiting:
        return
    if state.record in {'answered', 'unknown'}:
        yield 'executor repeats the record', _say(state)
    elif state.record == 'none':
        yield from _new_steps(state, guards)


def _new_steps(state: Commit, guards: frozenset[str]) -> Steps:
    if state.start != 1 and 'key names the process' in guards:
        yield 'another process says unknown', _say(state)
    elif state.age == 2 and 'old keys are unknown' in guards:
        yield 'executor says unknown to an old key', _say(state)
    elif state.wire == 'idle':
        yield (
            'executor sends',
            state._replace(
                record='running',
                wire='request',
            ),
        )


def _server_steps(state: Commit, guards: frozenset[str]) -> Steps:
    if state.wire == 'request':
        yield (
            'server runs it',
            state._replace(
                wire='reply',
                runs=_one_more(state),
            ),
        )
        yield 'server refuses it', state._replace(wire='refusal')
    if state.stray:
        yield (
            'server runs a stray request',
            state._replace(
                stray=False,
                runs=_one_more(state),
            ),
        )
    if state.record == 'running' and state.wire != 'idle':
        record = 'unknown' if 'no retry after a send' in guards else 'none'
        yield (
            'connection breaks',
            state._replace(
                record=record,
                stray=state.stray or state.wire == 'request',
                wire='idle',
            ),
        )
    if state.record == 'running' and state.wire == 'reply':
        yield (
            'executor records the answer',
            state._replace(
                record='answered',
                wire='idle',
            ),
        )
    if state.record == 'running' and state.wire == 'refusal':
        done = state._replace(record='none', wire='idle')
        if done.waiting:
            yield 'executor says not_run', _say_not_run(done)


def actions(state: Commit, guards: frozenset[str]) -> Steps:
    """Yield every step from a state."""
    if state.tries:
        yield (
            'caller tries',
            state._replace(
                tries=state.tries - 1,
                waiting=state.waiting + 1,
            ),
        )
    yield from _execute_steps(state, guards)
    yield from _server_steps(state, guards)
    if state.start == 1:
        yield (
            'executor starts anew',
            state._replace(
                start=2,
                record='none',
                wire='idle',
                stray=state.stray or state.wire == 'request',
            ),
        )
    if state.age < 2:
        yield 'time passes', _age(state)


def _age(state: Commit) -> Commit:
    # A record is kept until no key as old as it is valid.
    forgotten = state.age == 1 and state.record in {'answered', 'unknown'}
    return state._replace(
        age=state.age + 1,
        record='none' if forgotten else state.record,
    )


MODEL = Model(
    'commit',
    Commit(),
    actions,
    {
        'run at most once': lambda state: state.runs <= 1,
        'not_run is true': lambda state: not state.lied,
    },
    (
        'key names the process',
        'no retry after a send',
        'old keys are unknown',
    ),
)
