"""Construction of what decides the roll-outs of services."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from .._ports import Clock, DecisionLog, Metrics
from .._reports._section import Reporter
from .._rollouts._book import RolloutBook
from .._rollouts._decider import DeciderDependencies, RolloutDecider
from .._rollouts._reports import RolloutReports
from .._rollouts._versions import RolloutVersions
from ..platform._rollouts import RolloutStore, decode_order
from ..platform._settings import NodeSettings
from ._gateway_state import StoreState


@dataclass(frozen=True, slots=True)
class RolloutFleet:
    """What the roll-outs need to know of the other VMs.

    Parameters:
        alive_vms: returns the VMs that serve requests, with this one.
        peer_count: returns the number of the others.
        sender_count: returns the number of the VMs that may send requests,
            also of those that are not heard.
    """

    alive_vms: Callable[[], Sequence[str]]
    peer_count: Callable[[], int]
    sender_count: Callable[[], int]


@dataclass(frozen=True, slots=True)
class RolloutRuntime:
    """Clock, log and metrics of the roll-outs."""

    clock: Clock
    log: DecisionLog
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class RolloutComponents:
    """Components of the roll-outs."""

    book: RolloutBook
    versions: RolloutVersions
    reports: RolloutReports
    decider: RolloutDecider


def make_rollouts(
    settings: NodeSettings,
    state: StoreState,
    me: Reporter,
    fleet: RolloutFleet,
    runtime: RolloutRuntime,
) -> RolloutComponents | None:
    """Return the components, None where services are not rolled out."""
    if settings.rollouts is None:
        return None
    clock = runtime.clock
    registered = state.registry.of_service
    book = RolloutBook(me, registered, decode_order, clock, runtime.log)
    versions = RolloutVersions(
        book,
        settings.rollouts,
        fleet.sender_count,
        clock,
        Random(),  # noqa: S311
    )
    dependencies = DeciderDependencies(
        RolloutStore(state.store),
        registered,
        fleet.alive_vms,
        fleet.peer_count,
        clock,
        runtime.log,
        runtime.metrics,
    )
    decider = RolloutDecider(settings.vm, book, dependencies)
    return RolloutComponents(
        book, versions, RolloutReports(book, clock), decider
    )
