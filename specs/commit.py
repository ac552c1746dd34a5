"""Model of at-most-once execution.

It has one idempotency key, three attempts of the caller and one executor.
The executor may crash and restart, the connection to the server may break
while the request is in flight, and the executor's record of the key may
expire. Names follow ``_commits/_commit.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

MAXIMUM_ATTEMPTS = 3


class Commit(NamedTuple):
    """State of caller, executor and server.

    Parameters:
        attempts_left: attempts that the caller may still make.
        unanswered: attempts that have not been answered.
        process: number of the executor's process; the key names process 1.
        record: the executor's record of the key: ``none``, ``running``,
            ``answered`` or ``unknown``.
        wire: state of the connection between executor and server: ``idle``, or
            the message in flight.
        orphaned: whether the server may still receive a request whose
            connection has broken.
        executions: executions by the server; 2 stands for 2 or more.
        age: 0 while the key is new, 1 while its record is kept, 2 once the
            record has expired.
        false_not_run: whether ``not_run`` was answered although the request
            had run or could still run.
    """

    attempts_left: int = MAXIMUM_ATTEMPTS
    unanswered: int = 0
    process: int = 1
    record: str = 'none'
    wire: str = 'idle'
    orphaned: bool = False
    executions: int = 0
    age: int = 0
    false_not_run: bool = False


Steps = Iterator[tuple[str, Commit]]


def _count_execution(state: Commit) -> int:
    # More than two executions violate the same invariant as two.
    return min(2, state.executions + 1)


def _respond_not_run(state: Commit) -> Commit:
    may_have_run = (
        state.executions > 0 or state.orphaned or state.wire == 'request'
    )
    return state._replace(
        unanswered=state.unanswered - 1,
        false_not_run=state.false_not_run or may_have_run,
    )


def _respond(state: Commit) -> Commit:
    return state._replace(unanswered=state.unanswered - 1)


def _executor_steps(state: Commit, guards: frozenset[str]) -> Steps:
    if not state.unanswered:
        return
    if state.record in {'answered', 'unknown'}:
        yield 'executor answers from the record', _respond(state)
    elif state.record == 'none':
        yield from _new_request_steps(state, guards)


def _new_request_steps(state: Commit, guards: frozenset[str]) -> Steps:
    if state.process != 1 and 'key names the process' in guards:
        yield 'another process answers unknown', _respond(state)
    elif state.age == 2 and 'old keys are unknown' in guards:
        yield 'executor answers unknown for an old key', _respond(state)
    elif state.wire == 'idle':
        yield (
            'executor sends the request',
            state._replace(
                record='running',
                wire='request',
            ),
        )


def _server_steps(state: Commit, guards: frozenset[str]) -> Steps:
    if state.wire == 'request':
        yield (
            'server runs the request',
            state._replace(
                wire='reply',
                executions=_count_execution(state),
            ),
        )
        yield 'server refuses the request', state._replace(wire='refusal')
    if state.orphaned:
        yield (
            'server runs a request of a broken connection',
            state._replace(
                orphaned=False,
                executions=_count_execution(state),
            ),
        )
    if state.record == 'running' and state.wire != 'idle':
        record = 'unknown' if 'no retry after a send' in guards else 'none'
        yield (
            'connection breaks',
            state._replace(
                record=record,
                orphaned=state.orphaned or state.wire == 'request',
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
        finished = state._replace(record='none', wire='idle')
        if finished.unanswered:
            yield 'executor answers not_run', _respond_not_run(finished)


def actions(state: Commit, guards: frozenset[str]) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    if state.attempts_left:
        yield (
            'caller sends an attempt',
            state._replace(
                attempts_left=state.attempts_left - 1,
                unanswered=state.unanswered + 1,
            ),
        )
    yield from _executor_steps(state, guards)
    yield from _server_steps(state, guards)
    if state.process == 1:
        yield (
            'executor restarts',
            state._replace(
                process=2,
                record='none',
                wire='idle',
                orphaned=state.orphaned or state.wire == 'request',
            ),
        )
    if state.age < 2:
        yield 'time passes', _advance_age(state)


def _advance_age(state: Commit) -> Commit:
    # A record expires only once keys of its age are no longer valid.
    expired = state.age == 1 and state.record in {'answered', 'unknown'}
    return state._replace(
        age=state.age + 1,
        record='none' if expired else state.record,
    )


MODEL = Model(
    'commit',
    Commit(),
    actions,
    {
        'run at most once': lambda state: state.executions <= 1,
        'not_run is true': lambda state: not state.false_not_run,
    },
    (
        'key names the process',
        'no retry after a send',
        'old keys are unknown',
    ),
)
