"""This VM's share of what all VMs together may ask of servers."""

from __future__ import annotations

from collections.abc import Callable

from .._ports import Clock
from .._requests._model import ServicePolicy
from ._extra_load import ExtraLoadBudget, ExtraLoadLimits
from ._server import BackendServer

_CONNECTIONS_USED_PART = 0.85


class FleetShares:
    """Equal shares, which need no message between VMs.

    Parameters:
        policy: returns what is known of a service.
        senders: returns how many VMs send to servers, this one included.
    """

    def __init__(
        self,
        bounds: ExtraLoadLimits,
        policy: Callable[[str], ServicePolicy | None],
        senders: Callable[[], int],
        clock: Clock,
    ) -> None:
        """Start with nothing used."""
        self._bounds = bounds
        self._policy = policy
        self._senders = senders
        self._clock = clock
        self._extra_loads: dict[str, ExtraLoadBudget] = {}

    def connection_limit(self, server: BackendServer) -> int:
        """Return how many connections this VM may have to a server."""
        policy = self._policy(server.record.service)
        if policy is None:
            return 1
        used = policy.maximum_connections * _CONNECTIONS_USED_PART
        return max(1, int(used / self._senders()))

    def extra_load(self, service: str) -> ExtraLoadBudget:
        """Return this VM's part of a service's bound on extra load."""
        known = self._extra_loads.get(service)
        if known is None:
            known = ExtraLoadBudget(
                self._bounds, self._clock, self._slack_share
            )
            self._extra_loads[service] = known
        return known

    def _slack_share(self) -> float:
        return 1 / self._senders()
