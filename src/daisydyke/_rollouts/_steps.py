"""Steps of an undecided roll-out, decided without I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from ._evidence import CellCounts, subtract
from ._model import RolloutState, Stage
from ._rollout import DECISION_SHARE, OBSERVED_SHARE, Rollout
from ._verdict import LOOK_COUNT, Finding, Verdict, judge

# All VMs see the order without a state before.
_START_DELAY_S = 1.0
_MINIMUM_LOOK_INTERVAL_S = 0.2
# Looks that the recent evidence spans.
_RECENT_LOOK_COUNT = 12
_DRAINING_SHARE = 0.03
_MAXIMUM_DRAINING_S = 0.6
# Good looks in a row that are needed; a single one may be chance.
_REQUIRED_GOOD_LOOK_COUNT = 3


class Reason(StrEnum):
    """Why a state is to be written.

    Attributes:
        SEEN: the order has been seen.
        GOOD: the evidence on the version is good.
        BAD: the evidence on the version is bad.
        ANNOUNCED: another VM has announced that it is rolled back.
        UNDECIDED: the evidence was neither in time.
    """

    SEEN = 'seen'
    GOOD = 'good'
    BAD = 'bad'
    ANNOUNCED = 'announced'
    UNDECIDED = 'undecided'


@dataclass(frozen=True, slots=True)
class Decision:
    """State that is to be written, and why."""

    state: RolloutState
    reason: Reason


class RolloutSteps:
    """Decides the steps of one roll-out on a VM that is a decider of it.

    Parameters:
        rollout: gets the stage.

    Attributes:
        decision: state to write now; None if it is in the store.
        verdict: the latest verdict.
    """

    def __init__(self, rollout: Rollout) -> None:
        """Initialize before the first look."""
        self.rollout = rollout
        self.decision: Decision | None = None
        self.verdict = Verdict(Finding.SCARCE, None)
        self._drained_since: float = 0
        self._good_look_count = 0
        self._next_look: float = 0
        self._snapshots = deque[CellCounts](({},), maxlen=_RECENT_LOOK_COUNT)

    def advance(
        self, now: float, new_server_count: int, peer_count: int
    ) -> None:
        """Look at the evidence if it is time to, and take the next step.

        Parameters:
            now: monotonic time.
            new_server_count: registered servers of the new version.
            peer_count: number of the other VMs that serve requests.
        """
        if self.decision is not None and self.decision.state.is_final:
            return
        self.decision = None
        if self._is_to_be_started():
            self.decision = Decision(RolloutState.IN_PROGRESS, Reason.SEEN)
        if now >= self._next_look:
            self._look(now, new_server_count)
        self._step(now, peer_count)

    def _is_to_be_started(self) -> bool:
        if self.rollout.state is not RolloutState.ORDERED:
            return False
        return self.rollout.elapsed_s >= _START_DELAY_S

    def _look(self, now: float, new_server_count: int) -> None:
        interval_s = self.rollout.duration_s / LOOK_COUNT
        self._next_look = now + max(interval_s, _MINIMUM_LOOK_INTERVAL_S)
        counts = self.rollout.evidence.counts
        recent = subtract(counts, self._snapshots[0])
        self.verdict = judge(counts, recent, new_server_count)
        self._snapshots.append(counts)
        is_good = self.verdict.finding is Finding.GOOD
        self._good_look_count = self._good_look_count + 1 if is_good else 0

    def _step(self, now: float, peer_count: int) -> None:
        rollout = self.rollout
        if self.verdict.finding is Finding.BAD:
            self._end(RolloutState.ROLLED_BACK, Reason.BAD)
        elif rollout.stage is Stage.ROLLED_BACK:
            self._end(RolloutState.ROLLED_BACK, Reason.ANNOUNCED)
        elif rollout.own_stage is Stage.DRAINING:
            self._step_draining(now)
        else:
            self._step_observing(now, peer_count)

    def _step_draining(self, now: float) -> None:
        duration_s = self.rollout.duration_s
        drain_s = min(_DRAINING_SHARE * duration_s, _MAXIMUM_DRAINING_S)
        if self.verdict.finding is Finding.SUSPECT:
            self.rollout.own_stage = Stage.OBSERVING
        elif now - self._drained_since >= drain_s:
            self._end(RolloutState.COMPLETED, Reason.GOOD)

    def _step_observing(self, now: float, peer_count: int) -> None:
        if self._may_drain(peer_count):
            self.rollout.own_stage = Stage.DRAINING
            self._drained_since = now
        elif self._is_overdue(peer_count):
            self._end(RolloutState.ROLLED_BACK, Reason.UNDECIDED)

    def _may_drain(self, peer_count: int) -> bool:
        rollout = self.rollout
        if (
            self._good_look_count < _REQUIRED_GOOD_LOOK_COUNT
            or rollout.progress >= 1
        ):
            return False
        # After a pause, the reports of the others have to arrive first.
        if not rollout.is_complete(peer_count):
            return False
        return rollout.progress >= OBSERVED_SHARE

    def _is_overdue(self, peer_count: int) -> bool:
        """Return whether it is too late for a good verdict.

        A VM that does not hear the others waits until the deadline, since
        they may reach a good one.
        """
        if self.rollout.progress >= 1:
            return True
        if not self.rollout.is_complete(peer_count):
            return False
        return self.rollout.progress >= DECISION_SHARE

    def _end(self, state: RolloutState, reason: Reason) -> None:
        self.decision = Decision(state, reason)
        if state is RolloutState.ROLLED_BACK:
            self.rollout.own_stage = Stage.ROLLED_BACK
            self.rollout.roll_back()
