"""A document never reverts on a node; accepted is said when it is true.

Two operators race to write one document; a node reads it from the platform,
whose answers may be stale, from a peer, and after a restart from either.
Names follow ``_operations/_configuration.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import NamedTuple

from specs.model import Model

NEWEST = 3


class Configuration(NamedTuple):
    """State of platform, operators and two nodes.

    Parameters:
        stored: version in the platform.
        seen: version that each operator has read; 0 for none.
        state: what each operator's write has come to.
        node, peer: version in force on either node; 0 for none.
        reverted: whether a version in force was replaced by an older one.
        wrong: whether a write was said to be accepted that was not, or one
            overwrote a version that its operator had not seen.
    """

    stored: int = 1
    first_seen: int = 0
    second_seen: int = 0
    first_state: str = 'idle'
    second_state: str = 'idle'
    node: int = 0
    peer: int = 0
    reverted: bool = False
    wrong: bool = False


Steps = Iterator[tuple[str, Configuration]]


def _become(
    state: Configuration,
    names: tuple[str, str],
    *progress: int | str,
) -> Configuration:
    return state._replace(**dict(zip(names, progress, strict=True)))


def _write_steps(
    state: Configuration,
    who: str,
    guards: frozenset[str],
) -> Steps:
    seen = getattr(state, f'{who}_seen')
    progress = getattr(state, f'{who}_state')
    names = (f'{who}_seen', f'{who}_state')
    become = partial(_become, state, names)
    if progress == 'idle':
        yield f'{who} reads', become(state.stored, 'read')
    if progress == 'read' and state.stored < NEWEST:
        if seen == state.stored or 'update conditionally' not in guards:
            written = become(seen, 'written')._replace(
                stored=state.stored + 1,
                wrong=state.wrong or seen != state.stored,
            )
            yield f'{who} writes', written
        yield f'{who} hears nothing, nothing written', become(seen, 'lost')
    if progress == 'read' and seen != state.stored:
        yield f'{who} gets a conflict', become(0, 'idle')
    if progress == 'lost':
        if 'read back' in guards:
            yield f'{who} reads back that it is not', become(0, 'idle')
        else:
            lie = become(seen, 'done')._replace(wrong=True)
            yield f'{who} takes it as accepted', lie
    if progress == 'written':
        yield f'{who} says accepted', become(seen, 'done')


def _apply(
    state: Configuration,
    who: str,
    version: int,
    guards: frozenset[str],
) -> Configuration:
    current = getattr(state, who)
    if version <= current and 'versions only rise' in guards:
        return state
    return state._replace(
        **{who: version},
        reverted=state.reverted or version < current,
    )


def actions(state: Configuration, guards: frozenset[str]) -> Steps:
    """Yield every step from a state."""
    for operator in ('first', 'second'):
        yield from _write_steps(state, operator, guards)
    for version in range(1, state.stored + 1):
        label = 'node reads, maybe stale'
        yield label, _apply(state, 'node', version, guards)
        yield f'peer {label}', _apply(state, 'peer', version, guards)
    if state.peer:
        yield 'node syncs', _apply(state, 'node', state.peer, guards)
    if state.node:
        yield 'peer syncs', _apply(state, 'peer', state.node, guards)
    yield 'peer restarts', state._replace(peer=0)


MODEL = Model(
    'configuration',
    Configuration(),
    actions,
    {
        'never reverts': lambda state: not state.reverted,
        'accepted is true': lambda state: not state.wrong,
    },
    ('versions only rise', 'update conditionally', 'read back'),
)
