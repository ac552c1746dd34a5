"""One roll-out as this VM knows it."""

from __future__ import annotations

import math
from collections.abc import Mapping

from .._ports import Clock
from .._reports._section import Reporter
from ._evidence import RolloutEvidence
from ._exposure import Exposure, new_version_probability
from ._model import ExposureLimits, RolloutOrder, RolloutState, Stage

# A stage that its decider no longer repeats has ended. Until then, a VM that
# does not reach the store reads the final state from a member.
_STAGE_LIFETIME_S = 4.0
_RECENT_REPORT_S = 2.5
# Time within which all other VMs have reported, also if one report is lost.
_REPORTS_ARRIVE_S = 2.0
_REQUIRED_REPORTER_SHARE = 0.7
# Shares of the duration: the evidence has to span the first; without a good
# verdict by the second, the version is rolled back.
OBSERVED_SHARE = 0.85
DECISION_SHARE = 0.94


class Rollout:
    """Roll-out of a service to a version, ordered or not.

    A server of another version than the present one may be known before the
    order; it is treated as being rolled out.

    Parameters:
        me: this process.

    Attributes:
        evidence: what all VMs have observed.
        order: the operator's order; None before it is known.
        own_stage: stage that this VM has decided on, if it is a decider.
    """

    def __init__(
        self, service: str, target: str, me: Reporter, clock: Clock
    ) -> None:
        """Initialize without evidence and without an order."""
        self.service = service
        self.target = target
        self.evidence = RolloutEvidence(me)
        self.order: RolloutOrder | None = None
        self.own_stage = Stage.OBSERVING
        self._clock = clock
        self._first_store_version: float = 0
        self._oldest_heard_version: float = math.inf
        self._ordered_at = math.inf
        self._known_at = math.inf
        self._saw_start = False
        self._is_slack_withheld = False
        self._is_rolled_back = False
        self._heard: dict[Reporter, tuple[Stage, float]] = {}

    @property
    def state(self) -> RolloutState:
        """State in the store as far as known."""
        return self.order.state if self.order else RolloutState.ORDERED

    @property
    def store_version(self) -> int:
        """Store version of the order as far as known, 0 without one."""
        return self.order.store_version if self.order else 0

    @property
    def is_undecided(self) -> bool:
        """Whether an order is known that has no final state."""
        return self.order is not None and not self.order.state.is_final

    @property
    def order_name(self) -> str:
        """Name of the stored order; empty without one."""
        return self.order.name if self.order else ''

    @property
    def elapsed_s(self) -> float:
        """Seconds since the order as far as known; 0 without an order."""
        return max(0, self._clock.monotonic() - self._ordered_at)

    @property
    def duration_s(self) -> float:
        """Seconds within which it has to be decided; infinity if unknown."""
        return self.order.duration_s if self.order else math.inf

    @property
    def progress(self) -> float:
        """Share of the duration that has passed; 0 without an order."""
        return self.elapsed_s / self.duration_s

    @property
    def stage(self) -> Stage:
        """Stage that counts on this VM, its own or one it has heard of."""
        if self._is_rolled_back:
            return Stage.ROLLED_BACK
        since = self._clock.monotonic() - _STAGE_LIFETIME_S
        return max(
            self.own_stage,
            *(stage for stage, at in self._heard.values() if at >= since),
            Stage.OBSERVING,
        )

    @property
    def reporter_count(self) -> int:
        """Number of the other VMs whose latest report is recent."""
        since = self._clock.monotonic() - _RECENT_REPORT_S
        return len(self.evidence.heard_since(since))

    @property
    def announced_stage(self) -> Stage:
        """Stage that this VM reports to others.

        All VMs pass on that the verdict is bad; other stages are announced
        by the deciders alone, so that they end with them.
        """
        return Stage.ROLLED_BACK if self._is_rolled_back else self.own_stage

    def take_order(self, order: RolloutOrder) -> None:
        """Take the order, or a newer version of it."""
        if self.order is None:
            self._known_at = self._clock.monotonic()
            self._ordered_at = self._known_at
            self._saw_start = order.state is RolloutState.ORDERED
            self._first_store_version = order.store_version
        self.order = order

    def is_repeated_by(self, order: RolloutOrder) -> bool:
        """Return whether this is the roll-out of an earlier order.

        The version of its creation tells an order from one that was
        withdrawn. States tell it as well: one is written as soon as an order
        has been seen, never removed, and never replaced if it is final.
        """
        known = self.order
        if order.target != self.target:
            return False
        if known is None:
            is_newer = order.store_version > self._oldest_heard_version
            return is_newer and order.state is RolloutState.ORDERED
        return order.store_version > known.store_version and (
            _is_created_anew(known, order)
            or order.state is RolloutState.ORDERED
            or (known.state.is_final and not order.state.is_final)
        )

    def withhold_slack(self) -> None:
        """Send no more than the share, as if the start had not been seen."""
        self._is_slack_withheld = True

    def hear_order(self, store_version: int) -> bool:
        """Return whether a report is not known to be of an earlier order.

        Parameters:
            store_version: store version of the order that its sender knows.
        """
        if self.order is None:
            oldest = min(self._oldest_heard_version, store_version)
            self._oldest_heard_version = oldest
        return store_version >= self._first_store_version

    def hear_elapsed(self, elapsed_s: float) -> None:
        """Take the time since the order that another VM has counted."""
        ordered_at = self._clock.monotonic() - elapsed_s
        if self.order is not None:
            self._ordered_at = min(self._ordered_at, ordered_at)

    def roll_back(self) -> None:
        """Send nothing more to the new version, whatever others announce."""
        self._is_rolled_back = True

    def hear_stage(self, reporter: Reporter, stage: Stage) -> None:
        """Take the stage that another VM announces, instead of an earlier."""
        if stage is Stage.ROLLED_BACK:
            self.roll_back()
        self._heard[reporter] = (stage, self._clock.monotonic())

    def is_complete(self, peer_count: int) -> bool:
        """Return whether the evidence holds recent reports of nearly all VMs.

        Parameters:
            peer_count: number of the other VMs that serve requests.
        """
        return self.reporter_count >= _REQUIRED_REPORTER_SHARE * peer_count

    def new_version_probability(
        self, limits: ExposureLimits, sender_count: int
    ) -> float:
        """Return the probability that a first attempt takes the new version.

        Parameters:
            sender_count: number of the VMs that may send requests, with this
                one and with those that are not heard.
        """
        exposure = Exposure(
            self.evidence.sent,
            self.evidence.sent_new,
            self.elapsed_s,
            self._remaining_s(),
            self._knows_exposure(sender_count),
        )
        return new_version_probability(limits, exposure)

    def _knows_exposure(self, sender_count: int) -> bool:
        """Return whether the counts since the order are known.

        A process that has not seen the order come lacks the counts of those
        that have ended since. Before its start is written to the store, a
        process that starts late cannot tell that it has not.
        """
        if self.state is not RolloutState.IN_PROGRESS:
            return False
        if self._is_slack_withheld or not self._saw_start:
            return False
        known_for = self._clock.monotonic() - self._known_at
        if known_for < _REPORTS_ARRIVE_S:
            return False
        return self.is_complete(sender_count - 1)

    def _remaining_s(self) -> float:
        return OBSERVED_SHARE * self.duration_s - self.elapsed_s


def _is_created_anew(known: RolloutOrder, order: RolloutOrder) -> bool:
    versions = {known.created_version, order.created_version}
    return len(versions) > 1 and 0 not in versions


# Roll-outs by service; a service has at most one.
Rollouts = Mapping[str, Rollout]
