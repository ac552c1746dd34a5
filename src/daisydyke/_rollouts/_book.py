"""Roll-outs of all services that this VM knows."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from returns.result import Result, Success

from .._backends._server import BackendServer
from .._ports import Clock, DecisionLog, StoredObject
from .._reports._section import Reporter
from ..exceptions import InvalidDocumentError
from ._model import RolloutOrder, RolloutState
from ._present import PresentVersions
from ._rollout import Rollout

# Returns all registered servers of a service.
ServerLookup = Callable[[str], Sequence[BackendServer]]
DecodeOrder = Callable[
    [StoredObject], Result[RolloutOrder, InvalidDocumentError]
]


class RolloutBook:
    """The roll-out of each service, and its version without a roll-out.

    Parameters:
        me: this process.
        registered: returns all registered servers of a service, the same
            list until they change.
        decode: decodes the operator's orders.
        log: gets a record for each new state and each invalid order.

    Attributes:
        rollouts: roll-outs by service.
    """

    def __init__(
        self,
        me: Reporter,
        registered: ServerLookup,
        decode: DecodeOrder,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        """Initialize without roll-outs."""
        self._me = me
        self._registered = registered
        self._decode = decode
        self._clock = clock
        self._log = log
        self._present_versions = PresentVersions()
        # For each service, the list of its servers if all of them have its
        # present version. When its servers change, it gets another list.
        self._uniform_servers: dict[str, Sequence[BackendServer]] = {}
        self._services_by_order: dict[str, str] = {}
        self.rollouts: dict[str, Rollout] = {}

    async def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all orders; undecided roll-outs without an order end."""
        names = {stored.name for stored in objects}
        for name in tuple(self._services_by_order):
            if name not in names:
                self._withdraw(name)
        for stored in objects:
            await self.apply(stored)

    async def apply(self, stored: StoredObject) -> None:
        """Take an order, or end its roll-out if it was deleted."""
        if stored.text is None:
            self._withdraw(stored.name)
            return
        decoded = self._decode(stored)
        if isinstance(decoded, Success):
            self.apply_order(decoded.unwrap())
        else:
            self._log.record('rollout_invalid', error=str(decoded.failure()))

    def apply_order(self, order: RolloutOrder) -> None:
        """Take an order or a new state of it, unless a newer one is known."""
        known = self.rollouts.get(order.service)
        if known is not None and known.store_version > order.store_version:
            return
        if known is not None and known.is_repeated_by(order):
            self._begin_again(known)
        rollout = self.of_target(order.service, order.target)
        before = rollout.order
        rollout.take_order(order)
        self._services_by_order[order.name] = order.service
        if before is None or before.state is not rollout.state:
            self._log.record(
                'rollout',
                service=order.service,
                target=order.target,
                state=rollout.state.value,
                store_version=order.store_version,
            )

    def of_target(self, service: str, target: str) -> Rollout:
        """Return the roll-out to a version, which replaces any other."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.target != target:
            return self._begin(service, target)
        return rollout

    def current(self, service: str) -> Rollout | None:
        """Return the roll-out that applies to requests to a service.

        While no order is known, another version than the present one is
        treated as being rolled out.

        Returns:
            None if all servers are of the present version.
        """
        rollout = self.rollouts.get(service)
        if rollout is not None and rollout.order is not None:
            return rollout
        servers = self._registered(service)
        if servers is self._uniform_servers.get(service):
            return None
        present = self._present_versions.find(service, servers)
        for server in servers:
            if server.record.version != present:
                return self.of_target(service, server.record.version)
        self._uniform_servers[service] = servers
        return None

    def old_version(self, rollout: Rollout) -> str | None:
        """Return the version from which a service is moved.

        No order allows requests to servers of any other version.

        Returns:
            None if it is unknown, since all servers are of the new one.
        """
        return self._present_versions.find(
            rollout.service,
            self._registered(rollout.service),
            rollout.target,
            is_undecided=rollout.is_undecided,
        )

    def _begin(self, service: str, target: str) -> Rollout:
        earlier = self.rollouts.get(service)
        if earlier is not None and earlier.state is RolloutState.COMPLETED:
            self._present_versions.record_completed(service, earlier.target)
        rollout = Rollout(service, target, self._me, self._clock)
        self.rollouts[service] = rollout
        return rollout

    def _begin_again(self, known: Rollout) -> None:
        """Begin without what is known of an earlier order.

        If that has not ended here, it may be the same order, whose state was
        lost: its slack is not used a second time.
        """
        rollout = self._begin(known.service, known.target)
        if known.is_undecided:
            rollout.withhold_slack()

    def _withdraw(self, name: str) -> None:
        """End the roll-out of a deleted order, unless its state is final.

        A final state remains in force, so that a version that was rolled
        back gets no requests while its servers are still registered.
        """
        service = self._services_by_order.pop(name, '')
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.order_name != name:
            return
        if rollout.is_undecided:
            self.rollouts.pop(service)
