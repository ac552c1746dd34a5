"""Model of the exchanges of one non-idempotent request of the gateway.

Two connections lead to servers. Each attempt uses one of them. A server may
run or refuse the request; replies may be lost or sent twice; a connection may
break while the request is in flight. The first connection
has carried another request, of whose reply a late copy may come. Names follow
``_requests/_dispatch.py`` and ``_backends/_connection.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

_CONNECTIONS = (0, 1)
_FOREIGN_COPIES = ('foreign', 'anonymous')


class Exchanges(NamedTuple):
    """State of one request, its connections and its servers.

    Parameters:
        attempts_left: attempts that may still be made.
        wires: state of each connection: ``idle``, ``closed``, or what is in
            flight on it: ``request``, ``ran`` or ``refusal``.
        carried: whether each connection has carried the request.
        copies: copy that may still come on each connection: ``none``, ``ran``
            or ``refusal`` of this request, ``foreign`` of another one,
            ``anonymous`` of another one without its identifier.
        current: connection of the open exchange; None without one.
        may_have_run: whether an attempt ended without a reply after sending.
        orphaned: whether a server may still receive the request although its
            connection has broken.
        executions: executions by servers; 2 stands for 2 or more.
        answer: answer to the caller: ``none``, ``own``, ``refused``,
            ``unknown`` or ``mixed``.
    """

    attempts_left: int = 2
    wires: tuple[str, str] = ('idle', 'idle')
    carried: tuple[bool, bool] = (False, False)
    copies: tuple[str, str] = ('none', 'none')
    current: int | None = None
    may_have_run: bool = False
    orphaned: bool = False
    executions: int = 0
    answer: str = 'none'


Steps = Iterator[tuple[str, Exchanges]]


def _set(pair: tuple, position: int, member: object) -> tuple:
    return tuple(
        member if index == position else other
        for index, other in enumerate(pair)
    )


def _with_wire(state: Exchanges, connection: int, wire: str) -> Exchanges:
    return state._replace(wires=_set(state.wires, connection, wire))


def _may_use(state: Exchanges, connection: int, guards: frozenset[str]) -> bool:
    if state.wires[connection] != 'idle':
        return False
    if (
        state.copies[connection] == 'anonymous'
        and 'no reuse without identifiers' in guards
    ):
        return False
    return not (
        state.carried[connection]
        and 'another connection for each attempt' in guards
    )


def _send_steps(state: Exchanges, guards: frozenset[str]) -> Steps:
    if state.current is not None or not state.attempts_left:
        return
    if state.may_have_run and 'no retry after a send' in guards:
        return
    for connection in _CONNECTIONS:
        if _may_use(state, connection, guards):
            yield (
                f'request is sent on {connection}',
                _with_wire(state, connection, 'request')._replace(
                    attempts_left=state.attempts_left - 1,
                    carried=_set(state.carried, connection, member=True),
                    current=connection,
                ),
            )


def _server_steps(state: Exchanges) -> Steps:
    executions = min(2, state.executions + 1)
    for connection in _CONNECTIONS:
        if state.wires[connection] == 'request':
            ran = _with_wire(state, connection, 'ran')
            yield 'server runs it', ran._replace(executions=executions)
            yield 'server refuses it', _with_wire(state, connection, 'refusal')
    if state.orphaned:
        yield (
            'server runs it after the connection broke',
            state._replace(orphaned=False, executions=executions),
        )


def _reply_steps(state: Exchanges) -> Steps:
    connection = state.current
    if connection is None:
        return
    wire = state.wires[connection]
    if wire not in {'ran', 'refusal'}:
        return
    idle = _with_wire(state, connection, 'idle')
    for label, copy in (('reply', 'none'), ('reply, then a copy of it', wire)):
        ended = _end_exchange(idle, wire)
        yield (
            f'{label}, arrives',
            ended._replace(copies=_set(state.copies, connection, copy)),
        )


def _end_exchange(state: Exchanges, reply: str) -> Exchanges:
    answer = 'own' if reply == 'ran' else state.answer
    return state._replace(current=None, answer=answer)


def _break_steps(state: Exchanges) -> Steps:
    for connection in _CONNECTIONS:
        wire = state.wires[connection]
        if wire == 'closed':
            continue
        broken = _with_wire(state, connection, 'closed')._replace(
            orphaned=state.orphaned or wire == 'request'
        )
        if connection == state.current:
            broken = broken._replace(current=None, may_have_run=True)
        yield f'connection {connection} breaks', broken


def _copy_steps(state: Exchanges, guards: frozenset[str]) -> Steps:
    for connection in _CONNECTIONS:
        copy = state.copies[connection]
        if copy == 'none' or state.wires[connection] == 'closed':
            continue
        arrived = state._replace(copies=_set(state.copies, connection, 'none'))
        if connection == state.current:
            yield from _copy_as_reply(arrived, copy, guards)
        else:
            yield (
                'copy on an idle connection',
                _with_wire(arrived, connection, 'closed'),
            )


def _copy_as_reply(
    state: Exchanges, copy: str, guards: frozenset[str]
) -> Steps:
    if copy == 'foreign' and 'identifiers are compared' in guards:
        yield 'copy is dropped', state
    elif copy in _FOREIGN_COPIES:
        yield (
            f'{copy} copy is taken for the reply',
            state._replace(current=None, answer='mixed'),
        )
    else:
        yield (
            f'copy of {copy} is taken for the reply',
            _end_exchange(state, copy),
        )


def _late_copy_steps(state: Exchanges) -> Steps:
    unused = not any(state.carried) and state.copies == ('none', 'none')
    if not unused:
        return
    for copy in _FOREIGN_COPIES:
        yield (
            f'{copy} copy will come on 0',
            state._replace(copies=(copy, 'none')),
        )


def _answer_steps(state: Exchanges, guards: frozenset[str]) -> Steps:
    if state.current is not None or not any(state.carried):
        return
    if state.may_have_run and 'refuse only what has not run' in guards:
        yield 'answered as unknown', state._replace(answer='unknown')
    else:
        yield 'answered as not run', state._replace(answer='refused')


def actions(state: Exchanges, guards: frozenset[str]) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    yield from _server_steps(state)
    if state.answer != 'none':
        return
    yield from _late_copy_steps(state)
    yield from _send_steps(state, guards)
    yield from _reply_steps(state)
    yield from _break_steps(state)
    yield from _copy_steps(state, guards)
    yield from _answer_steps(state, guards)


def _refusal_is_true(state: Exchanges) -> bool:
    may_run = state.orphaned or 'request' in state.wires
    return state.answer != 'refused' or not (state.executions or may_run)


MODEL = Model(
    'gateway exchange',
    Exchanges(),
    actions,
    {
        'runs at most once': lambda state: state.executions <= 1,
        'refusal is true': _refusal_is_true,
        'answer is its own': lambda state: state.answer != 'mixed',
    },
    (
        'no retry after a send',
        'refuse only what has not run',
        'another connection for each attempt',
        'no reuse without identifiers',
        'identifiers are compared',
    ),
)
