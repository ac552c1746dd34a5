"""Dependencies of queries."""

from __future__ import annotations

from dataclasses import dataclass

from .._domain._choice import ReplicaChoice
from .._domain._latency import HedgeTiming
from .._operations._configuration import Configuration
from .._ports import Clock, DecisionLog, Metrics, SubRequestRoute
from ._catalogue import Catalogue


@dataclass(frozen=True, slots=True)
class QueryDependencies:
    """Dependencies of a QueryService.

    Parameters:
        route: carries sub-requests to the owners of their servers.
        choice: chooses the server of each attempt.
        hedge: decides when an attempt is hedged.
    """

    configuration: Configuration
    catalogue: Catalogue
    route: SubRequestRoute
    choice: ReplicaChoice
    hedge: HedgeTiming
    clock: Clock
    log: DecisionLog
    metrics: Metrics
