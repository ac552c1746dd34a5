"""Model of a roll-out that two VMs decide, each at its own pace.

A VM that is frozen or cut off is one that takes no step for as long as it
likes. Writes to the store happen late, or their answers are lost. The order may
be withdrawn at any time and repeated once for the same version, with some VM
seeing neither. Names follow ``_rollouts``. What the evidence shows is given:
the version is good or bad, and a VM that hears the others sees which.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import NamedTuple

from specs.model import Model

ORDERED = 0
IN_PROGRESS = 1
COMPLETED = 2
ROLLED_BACK = 3

OBSERVING = 0
DRAINING = 1
_MAXIMUM_WRITES = 2


class Order(NamedTuple):
    """An order; its revision increases with its number and its status.

    Parameters:
        number: number of the order; 0 if there is none.
        status: status in the store.
    """

    number: int = 0
    status: int = ORDERED


class Write(NamedTuple):
    """A write of a status on its way to the store.

    Parameters:
        order: order under whose revision it was sent.
        status: status to write.
        judged: number of the order on which its sender decided.
    """

    order: Order
    status: int
    judged: int


class Vm(NamedTuple):
    """What a VM knows.

    Parameters:
        order: order as far as known.
        stage: stage that it has decided on, or heard that it is rolled back.
        judged: number of the order to which that belongs; 0 while observing.
        is_overruled: whether another's draining counts more than that.
    """

    order: Order = Order()
    stage: int = OBSERVING
    judged: int = 0
    is_overruled: bool = False


class Rollout(NamedTuple):
    """State of the store and of the VMs.

    Parameters:
        stored: order in the store.
        is_bad: whether the version is bad.
        vm_a, vm_b: the VMs that decide.
        writes: writes on their way, whether or not their sender still waits.
        broken: invariant that the last step has broken; empty if none.
    """

    stored: Order = Order(1)
    is_bad: bool = False
    vm_a: Vm = Vm()
    vm_b: Vm = Vm()
    writes: frozenset[Write] = frozenset()
    broken: str = ''


Steps = Iterator[tuple[str, Rollout]]
Guards = frozenset[str]

ONE_STATUS = 'a final status is not replaced'
OWN_VERDICT = 'a status follows from a verdict on its own order'
BAD_COMPLETED = 'a bad version is not completed'
SENT_LATE = 'nothing is sent once it is known to be rolled back'


def _is_final(status: int) -> bool:
    return status in {COMPLETED, ROLLED_BACK}


def _is_undecided(vm: Vm) -> bool:
    return vm.order.number > 0 and not _is_final(vm.order.status)


def _read(vm: Vm, stored: Order, guards: Guards) -> Vm:
    """Return the state of a VM that has read the store."""
    if not stored.number:
        return Vm() if _is_undecided(vm) else vm
    if stored <= vm.order:
        return vm
    if 'judge a repeated order anew' in guards:
        if stored.number != vm.order.number:
            return Vm(stored)
    return Vm(stored) if _is_final(stored.status) else vm._replace(order=stored)


def _hear(vm: Vm, other: Vm, guards: Guards) -> Vm:
    """Return the state of a VM that has heard the other's stage."""
    is_earlier = other.order < Order(vm.order.number)
    if is_earlier and 'leave reports of an earlier order' in guards:
        return vm
    if other.stage == ROLLED_BACK:
        return vm._replace(stage=ROLLED_BACK, judged=other.judged)
    if 'rolled back goes before draining' in guards:
        return vm
    is_overruled = vm.stage == ROLLED_BACK and other.stage == DRAINING
    return vm._replace(is_overruled=is_overruled)


def _decide(vm: Vm, stage: int) -> Vm:
    return vm._replace(stage=stage, judged=vm.order.number if stage else 0)


def _decisions(
    vm: Vm, is_bad: bool, guards: Guards
) -> Iterator[tuple[str, Vm]]:
    if not _is_undecided(vm) or vm.stage == ROLLED_BACK:
        return
    if is_bad:
        yield 'finds it bad', _decide(vm, ROLLED_BACK)
    if vm.stage == DRAINING:
        yield 'suspects it', _decide(vm, OBSERVING)
        return
    yield 'is at the deadline', _decide(vm, ROLLED_BACK)
    if not is_bad or 'hear the others before draining' not in guards:
        yield 'finds it good', _decide(vm, DRAINING)


def _due_status(vm: Vm) -> int:
    if vm.stage == ROLLED_BACK:
        return ROLLED_BACK
    return COMPLETED if vm.stage == DRAINING else IN_PROGRESS


def _due_write(vm: Vm, guards: Guards) -> Write | None:
    """Return the write that a VM sends; None if there is none."""
    if not vm.order.number:
        return None
    if 'keep a final status' in guards and not _is_undecided(vm):
        return None
    status = _due_status(vm)
    if status == vm.order.status:
        return None
    return Write(vm.order, status, vm.judged)


def _may_send(write: Write, state: Rollout) -> bool:
    """Return whether a write may be on its way beside the others.

    One that the order has been seen goes alone, to keep the model small.
    """
    if _is_final(write.status):
        return len(state.writes) < _MAXIMUM_WRITES
    return not state.writes


def _happen(state: Rollout, write: Write, guards: Guards) -> Rollout | None:
    """Return the state after a write; None if it has no effect."""
    stored = state.stored
    if not stored.number:
        return None
    if 'write under the revision' in guards and stored != write.order:
        return None
    broken = ''
    if _is_final(stored.status):
        broken = ONE_STATUS
    elif _is_final(write.status) and write.judged != stored.number:
        broken = OWN_VERDICT
    elif state.is_bad and write.status == COMPLETED:
        broken = BAD_COMPLETED
    return state._replace(
        stored=stored._replace(status=write.status), broken=broken
    )


def _write_steps(state: Rollout, guards: Guards) -> Steps:
    """Yield what becomes of each write; its answer is lost or is a read."""
    for write in state.writes:
        after = _happen(state, write, guards) or state
        yield 'a write arrives', after._replace(writes=state.writes - {write})


def _vm_steps(name: str, state: Rollout, guards: Guards) -> Steps:
    vm, other = state.vm_a, state.vm_b
    if name == 'B':
        vm, other = other, vm
    read = _read(vm, state.stored, guards)
    yield f'{name} reads the store', _with(state, name, read)
    if _is_undecided(vm) and _is_undecided(other):
        heard = _hear(vm, other, guards)
        yield f'{name} hears the other', _with(state, name, heard)
    for label, decided in _decisions(vm, state.is_bad, guards):
        yield f'{name} {label}', _with(state, name, decided)
    write = _due_write(vm, guards)
    if write is not None and _may_send(write, state):
        writes = state.writes | {write}
        yield f'{name} sends a write', state._replace(writes=writes)
    if vm.is_overruled and _is_undecided(vm):
        yield f'{name} sends a request', state._replace(broken=SENT_LATE)


def _with(state: Rollout, name: str, vm: Vm) -> Rollout:
    return state._replace(**{f'vm_{name.lower()}': vm})


def _order_steps(state: Rollout) -> Steps:
    if state.stored.number == 1:
        yield 'order is withdrawn', state._replace(stored=Order())
    elif not state.stored.number:
        yield 'order is repeated', state._replace(stored=Order(2))


def actions(state: Rollout, guards: Guards) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    if state.broken:
        return
    if state == Rollout():
        yield 'version is bad', state._replace(is_bad=True)
    yield from _order_steps(state)
    yield from _vm_steps('A', state, guards)
    yield from _vm_steps('B', state, guards)
    yield 'A is replaced', state._replace(vm_a=Vm())
    yield from _write_steps(state, guards)


def _holds(name: str, state: Rollout) -> bool:
    return state.broken != name


MODEL = Model(
    'rollout',
    Rollout(),
    actions,
    {
        name: partial(_holds, name)
        for name in (ONE_STATUS, OWN_VERDICT, BAD_COMPLETED, SENT_LATE)
    },
    (
        'write under the revision',
        'keep a final status',
        'judge a repeated order anew',
        'leave reports of an earlier order',
        'rolled back goes before draining',
        'hear the others before draining',
    ),
)
