"""This VM's share of the limits that all VMs together have to meet."""

from __future__ import annotations

from collections.abc import Callable

from .._ports import Clock
from .._requests._model import ServicePolicy
from ._extra_load import ExtraLoadBudget, ExtraLoadLimits
from ._server import BackendServer

_USED_CONNECTIONS_SHARE = 0.85


class FleetShares:
    """Divides limits equally among the VMs, without messages between them.

    Parameters:
        limits: limit on the extra load of each service.
        policy: returns the policy of a service, or None if none is known.
        sender_count: returns the number of VMs that send to servers,
            including this one.
    """

    def __init__(
        self,
        limits: ExtraLoadLimits,
        policy: Callable[[str], ServicePolicy | None],
        sender_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Initialize without budgets; the first use creates them."""
        self._limits = limits
        self._policy = policy
        self._sender_count = sender_count
        self._clock = clock
        self._budgets: dict[str, ExtraLoadBudget] = {}

    def connection_limit(self, server: BackendServer) -> int:
        """Return the number of connections this VM may have to a server.

        It is at least 1, and 1 for services without a policy.
        """
        policy = self._policy(server.record.service)
        if policy is None:
            return 1
        usable = policy.maximum_connections * _USED_CONNECTIONS_SHARE
        return max(1, int(usable / self._sender_count()))

    def extra_load(self, service: str) -> ExtraLoadBudget:
        """Return this VM's budget of extra requests to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = ExtraLoadBudget(
                self._limits, self._clock, self._slack_share
            )
            self._budgets[service] = budget
        return budget

    def _slack_share(self) -> float:
        return 1 / self._sender_count()
