"""Model of writing a document and of putting it into force.

Two operators concurrently write one document. Two nodes read it from the
platform, whose responses may be stale, or from each other; one of them may
restart. No node may replace a version in force by an older one, and no write
may be reported as accepted unless it was. Names follow
``_operations/_configuration.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import NamedTuple

from specs.model import Model

MAXIMUM_VERSION = 3


class Configuration(NamedTuple):
    """State of platform, operators and two nodes.

    Parameters:
        stored: version in the platform.
        first_read_version, second_read_version: version that each operator
            has read; 0 for none.
        first_progress, second_progress: progress of each operator's write:
            ``idle``, ``read``, ``written``, ``lost`` or ``done``.
        node, peer: version in force on each node; 0 for none.
        reverted: whether a version in force was replaced by an older one.
        write_violation: whether a write that had not happened was reported
            as accepted, or one overwrote a version that its operator had not
            read.
    """

    stored: int = 1
    first_read_version: int = 0
    second_read_version: int = 0
    first_progress: str = 'idle'
    second_progress: str = 'idle'
    node: int = 0
    peer: int = 0
    reverted: bool = False
    write_violation: bool = False


Steps = Iterator[tuple[str, Configuration]]


def _set_progress(
    state: Configuration,
    field_names: tuple[str, str],
    *field_values: int | str,
) -> Configuration:
    return state._replace(**dict(zip(field_names, field_values, strict=True)))


def _write_steps(
    state: Configuration,
    operator: str,
    guards: frozenset[str],
) -> Steps:
    read_version = getattr(state, f'{operator}_read_version')
    progress = getattr(state, f'{operator}_progress')
    field_names = (f'{operator}_read_version', f'{operator}_progress')
    set_progress = partial(_set_progress, state, field_names)
    if progress == 'idle':
        yield f'{operator} reads', set_progress(state.stored, 'read')
    if progress == 'read' and state.stored < MAXIMUM_VERSION:
        if read_version == state.stored or 'update conditionally' not in guards:
            written = set_progress(read_version, 'written')._replace(
                stored=state.stored + 1,
                write_violation=state.write_violation
                or read_version != state.stored,
            )
            yield f'{operator} writes', written
        yield (
            f'{operator} gets no response, nothing is written',
            set_progress(read_version, 'lost'),
        )
    if progress == 'read' and read_version != state.stored:
        yield f'{operator} gets a conflict', set_progress(0, 'idle')
    if progress == 'lost':
        if 'read back' in guards:
            yield (
                f'{operator} reads back that nothing was written',
                set_progress(0, 'idle'),
            )
        else:
            violation = set_progress(read_version, 'done')._replace(
                write_violation=True
            )
            yield f'{operator} reports accepted without a write', violation
    if progress == 'written':
        yield f'{operator} reports accepted', set_progress(read_version, 'done')


def _apply(
    state: Configuration,
    node: str,
    version: int,
    guards: frozenset[str],
) -> Configuration:
    current = getattr(state, node)
    if version <= current and 'versions only increase' in guards:
        return state
    return state._replace(
        **{node: version},
        reverted=state.reverted or version < current,
    )


def actions(state: Configuration, guards: frozenset[str]) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    for operator in ('first', 'second'):
        yield from _write_steps(state, operator, guards)
    for version in range(1, state.stored + 1):
        label = 'node reads, possibly stale'
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
        'accepted is true': lambda state: not state.write_violation,
    },
    ('versions only increase', 'update conditionally', 'read back'),
)
