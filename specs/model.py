"""Runs minicheck on models of named tuples and guarded actions."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

_MAXIMUM_STATE_COUNT = 2_000_000

State = Any
Actions = Callable[[State, frozenset[str]], Iterator[tuple[str, State]]]
Invariant = Callable[[State], bool]


@dataclass(frozen=True, slots=True)
class Model:
    """Protocol model whose guards can be removed one at a time.

    Parameters:
        name: name of the model.
        initial: initial state.
        actions: yields the label and the next state of each step; its
            arguments are the current state and the active guards.
        invariants: conditions that must hold in every state, by name.
        guards: names of the guards; removing any one of them must violate an
            invariant.
    """

    name: str
    initial: NamedTuple
    actions: Actions
    invariants: Mapping[str, Invariant]
    guards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of checking a model.

    Parameters:
        model: name of the model.
        removed_guard: guard that was removed, or an empty string.
        state_count: number of reachable states.
        exhaustive: whether all reachable states were checked.
        violated_invariant: name of a violated invariant, or an empty string.
        counterexample: labels of a shortest path to the violation.
    """

    model: str
    removed_guard: str
    state_count: int
    exhaustive: bool
    violated_invariant: str
    counterexample: tuple[str, ...]

    @property
    def as_expected(self) -> bool:
        """Whether the full model holds, or a reduced one is violated."""
        if self.removed_guard:
            return bool(self.violated_invariant)
        return self.exhaustive and not self.violated_invariant


def check(model: Model, removed_guard: str = '') -> Verdict:
    """Check a model.

    Parameters:
        model: model to check.
        removed_guard: guard to remove; none if empty.
    """
    active_guards = frozenset(model.guards) - {removed_guard}
    state_type = type(model.initial)
    protocol = Protocol(
        name=model.name,
        candidate=False,
        fields=state_type._fields,
        initial=tuple(model.initial),
        transitions=lambda state: [
            (label, tuple(successor))
            for label, successor in model.actions(
                state_type(*state), active_guards
            )
        ],
        invariants={
            name: _bind_state_type(state_type, invariant)
            for name, invariant in model.invariants.items()
        },
    )
    outcome = check_safety(protocol, max_states=_MAXIMUM_STATE_COUNT)
    violated_invariant = ''
    counterexample: tuple[str, ...] = ()
    for name, verdict in outcome['properties'].items():
        if verdict['holds'] is False:
            violated_invariant = name
            counterexample = tuple(
                str(step.get('action') or step.get('label') or '')
                for step in verdict['counterexample']
            )
    return Verdict(
        model.name,
        removed_guard,
        outcome.get('reachable_states', outcome.get('states', 0)),
        bool(outcome['exhaustive']),
        violated_invariant,
        counterexample,
    )


def _bind_state_type(
    state_type: type[Any],
    invariant: Invariant,
) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: invariant(state_type(**fields))
