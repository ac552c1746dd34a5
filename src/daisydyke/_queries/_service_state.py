"""State that all queries of one service share."""

from __future__ import annotations

from .._domain._budget import ExtraAttemptBudget
from .._domain._latency import LatencyEstimate
from .._domain._model import Plan


class ServiceState:
    """State shared by all queries of one service.

    Parameters:
        extra_share: hedges and retries allowed as a share of first attempts.

    Attributes:
        plan: the last plan made without excluded snapshots, None if there
            was no snapshot.
        plan_key: generations of the catalogue and of the configuration that
            ``plan`` was made from.
    """

    def __init__(self, extra_share: float) -> None:
        """Initialize without latency estimates and with a full budget."""
        self.latency = LatencyEstimate()
        self.budget = ExtraAttemptBudget(extra_share)
        self.plan: Plan | None = None
        self.plan_key: tuple[object, ...] = ()
