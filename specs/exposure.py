"""Model of the slack of a roll-out, which two VMs use without agreement.

The slack is one request. Each VM uses it by what it knows of the other's
requests; it may be cut off, or replaced by a process that knows nothing. The
store may refuse writes for a while. Requests within the share need no
knowledge and are left out; those that are still unreported are within the
margin of the plan, so that a VM that hears the other knows its requests at
once. Names follow ``_rollouts/_rollout.py``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from specs.model import Model

_SLACK = 1


class Vm(NamedTuple):
    """What a VM knows.

    Parameters:
        saw_start: whether it has seen the order before it was in progress.
        sees_progress: whether it has seen that the order is in progress.
        knows_order: whether it has seen the order.
        known: requests that it knows of, its own and the other's.
    """

    saw_start: bool = False
    sees_progress: bool = False
    knows_order: bool = False
    known: int = 0


class Exposure(NamedTuple):
    """State of the store, of the VMs and of the requests.

    Parameters:
        in_progress: whether the store says that the order is in progress.
        is_cut: whether the VMs do not hear each other.
        sent: requests to the new version.
    """

    in_progress: bool = False
    is_cut: bool = False
    sent: int = 0
    vm_a: Vm = Vm()
    vm_b: Vm = Vm()


Steps = Iterator[tuple[str, Exposure]]
Guards = frozenset[str]


def _read(vm: Vm, in_progress: bool) -> Vm:
    return vm._replace(
        saw_start=vm.saw_start or not (vm.knows_order or in_progress),
        sees_progress=in_progress,
        knows_order=True,
    )


def _may_use_slack(vm: Vm, is_cut: bool, guards: Guards) -> bool:
    if not vm.knows_order:
        return False
    if 'stop at the bound' in guards and vm.known >= _SLACK:
        return False
    if 'see the start' in guards and not vm.saw_start:
        return False
    if 'see the progress' in guards and not vm.sees_progress:
        return False
    return 'hear the others' not in guards or not is_cut


def _send(state: Exposure, name: str) -> Exposure:
    own, other = f'vm_{name}', 'vm_b' if name == 'a' else 'vm_a'
    sender, receiver = getattr(state, own), getattr(state, other)
    sent = min(_SLACK + 1, state.sent + 1)
    vms = {own: sender._replace(known=min(_SLACK, sender.known + 1))}
    if not state.is_cut:
        vms[other] = receiver._replace(known=min(_SLACK, receiver.known + 1))
    return state._replace(sent=sent, **vms)


def _vm_steps(name: str, state: Exposure, guards: Guards) -> Steps:
    vm = getattr(state, f'vm_{name}')
    read = {f'vm_{name}': _read(vm, state.in_progress)}
    yield f'{name} reads the store', state._replace(**read)
    yield f'{name} is replaced', state._replace(**{f'vm_{name}': Vm()})
    if _may_use_slack(vm, state.is_cut, guards):
        yield f'{name} sends a request', _send(state, name)


def _reconnect(state: Exposure) -> Exposure:
    """Return the state after reports have arrived on both sides."""
    known = max(state.vm_a.known, state.vm_b.known)
    return state._replace(
        is_cut=False,
        vm_a=state.vm_a._replace(known=known),
        vm_b=state.vm_b._replace(known=known),
    )


def actions(state: Exposure, guards: Guards) -> Steps:
    """Yield every step from a state, as its label and the next state."""
    if state.vm_a.knows_order or state.vm_b.knows_order:
        yield 'start is written', state._replace(in_progress=True)
    if state.is_cut:
        yield 'VMs hear each other', _reconnect(state)
    else:
        yield 'VMs are cut off', state._replace(is_cut=True)
    yield from _vm_steps('a', state, guards)
    yield from _vm_steps('b', state, guards)


MODEL = Model(
    'exposure',
    Exposure(),
    actions,
    {
        'the slack is not exceeded': lambda state: state.sent <= _SLACK,
    },
    (
        'stop at the bound',
        'see the start',
        'see the progress',
        'hear the others',
    ),
)
