"""Deciders of roll-outs, which write the states to the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from typing import Protocol

import curio
from returns.result import Result, Success

from .._domain._rendezvous import rank
from .._ports import Clock, DecisionLog, Metrics
from ..exceptions import PlatformError
from ._book import RolloutBook, ServerLookup
from ._model import RolloutOrder, RolloutState, Stage
from ._rollout import Rollout
from ._steps import Decision, RolloutSteps

# Two VMs decide, so that a roll-back does not wait until the others notice
# that one of them is gone.
_DECIDER_COUNT = 2
# The second one writes only what the first has not written meanwhile.
_SECOND_DELAY_S = 0.7
_INTERVAL_S = 0.1
_RETRY_INTERVAL_S = 0.5
_MS_PER_S = 1000


class OrderStore(Protocol):
    """Stored orders."""

    async def read_order(
        self, name: str
    ) -> Result[RolloutOrder | None, PlatformError]:
        """Read an order; None if there is none that can be read."""

    async def write_state(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[int, PlatformError]:
        """Write the state of an order unless the object has changed.

        Returns:
            The new store version. After PlatformUnavailableError, it is
            unknown whether the write has happened.
        """


@dataclass(frozen=True, slots=True)
class DeciderDependencies:
    """Dependencies of the decider.

    Parameters:
        store: the stored orders.
        registered: returns all registered servers of a service.
        alive_vms: returns the VMs that serve requests, with this one.
        peer_count: returns the number of the others.
    """

    store: OrderStore
    registered: ServerLookup
    alive_vms: Callable[[], Sequence[str]]
    peer_count: Callable[[], int]
    clock: Clock
    log: DecisionLog
    metrics: Metrics


class RolloutDecider:
    """Decides the roll-outs for which this VM is among the first by hashing.

    Several deciders do no harm: each write carries the version of the object
    that was read, and a final state is never replaced.

    Parameters:
        vm: name of this VM.
        book: the roll-outs.
    """

    def __init__(
        self, vm: str, book: RolloutBook, dependencies: DeciderDependencies
    ) -> None:
        """Initialize without roll-outs to decide."""
        self._vm = vm
        self._book = book
        self._dependencies = dependencies
        self._steps: dict[str, RolloutSteps] = {}
        self._write_at: dict[str, float] = {}
        self._writing: set[str] = set()

    async def run(self) -> None:
        """Decide until cancelled."""
        while True:
            await curio.sleep(_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Take the next steps that are due."""
        for rollout in tuple(self._book.rollouts.values()):
            await self._advance(rollout)

    async def _advance(self, rollout: Rollout) -> None:
        service = rollout.service
        deciders = self._deciders(rollout)
        if self._vm not in deciders:
            self._steps.pop(service, None)
            rollout.own_stage = Stage.OBSERVING
            return
        steps = self._steps.get(service)
        if steps is None or steps.rollout is not rollout:
            steps = RolloutSteps(rollout)
            self._steps[service] = steps
        before = steps.decision
        now = self._dependencies.clock.monotonic()
        steps.advance(
            now,
            self._new_server_count(rollout),
            self._dependencies.peer_count(),
        )
        if steps.decision is None:
            return
        if steps.decision != before:
            position = deciders.index(self._vm)
            self._write_at[service] = now + position * _SECOND_DELAY_S
            self._log_decision(steps)
        if service not in self._writing and now >= self._write_at[service]:
            self._writing.add(service)
            await curio.spawn(self._write, rollout, steps.decision, daemon=True)

    def _deciders(self, rollout: Rollout) -> list[str]:
        if not rollout.is_undecided:
            return []
        ranked = rank(rollout.service, self._dependencies.alive_vms())
        return ranked[:_DECIDER_COUNT]

    def _new_server_count(self, rollout: Rollout) -> int:
        servers = self._dependencies.registered(rollout.service)
        return sum(
            server.record.version == rollout.target for server in servers
        )

    async def _write(self, rollout: Rollout, decision: Decision) -> None:
        """Write a state once; the next step repeats it if needed."""
        order = rollout.order
        try:
            if order is not None and not order.state.is_final:
                await self._write_once(rollout, order, decision)
        finally:
            self._writing.discard(rollout.service)

    async def _write_once(
        self, rollout: Rollout, order: RolloutOrder, decision: Decision
    ) -> None:
        store = self._dependencies.store
        written = await store.write_state(order, decision.state)
        if isinstance(written, Success):
            self._apply(
                rollout,
                replace(
                    order, state=decision.state, store_version=written.unwrap()
                ),
            )
            return
        self._log_failed_write(order, decision, written.failure())
        # The write may have happened, or another VM may have written.
        current = await store.read_order(order.name)
        stored = current.value_or(None)
        if stored is not None:
            self._apply(rollout, stored)
        await curio.sleep(_RETRY_INTERVAL_S)

    def _apply(self, rollout: Rollout, order: RolloutOrder) -> None:
        """Take an order, unless its roll-out has ended meanwhile."""
        if self._book.rollouts.get(rollout.service) is rollout:
            self._book.apply_order(order)

    def _log_decision(self, steps: RolloutSteps) -> None:
        rollout = steps.rollout
        decision = steps.decision
        if decision is None:
            return
        worst = steps.verdict.worst
        self._dependencies.metrics.incr(f'rollouts.{decision.reason}')
        self._dependencies.log.record(
            'rollout_decision',
            service=rollout.service,
            target=rollout.target,
            state=decision.state.value,
            reason=decision.reason.value,
            finding=steps.verdict.finding.value,
            elapsed_ms=round(rollout.elapsed_s * _MS_PER_S),
            sent=rollout.evidence.sent,
            sent_new=rollout.evidence.sent_new,
            comparison=asdict(worst) if worst else None,
            reporters=rollout.reporter_count,
        )

    def _log_failed_write(
        self, order: RolloutOrder, decision: Decision, error: PlatformError
    ) -> None:
        self._dependencies.log.record(
            'rollout_write_failed',
            service=order.service,
            target=order.target,
            state=decision.state.value,
            error=str(error),
        )
