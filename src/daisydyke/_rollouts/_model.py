"""Values that describe roll-outs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Limits on the requests to a version that may turn out to be bad.

    Parameters:
        share: share of the requests to the service, over all VMs together.
        slack: requests in addition to the share.
        rollback_s: seconds from the evidence to the last request.
    """

    share: float
    slack: float
    rollback_s: float


class RolloutState(StrEnum):
    """State of a roll-out in the store.

    Attributes:
        ORDERED: nothing has been written yet.
        IN_PROGRESS: undecided.
        COMPLETED: the service's requests go to the new version only.
        ROLLED_BACK: the new version gets no requests.
    """

    ORDERED = 'ordered'
    IN_PROGRESS = 'in_progress'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Whether the state is never replaced."""
        return self in {RolloutState.COMPLETED, RolloutState.ROLLED_BACK}


class Stage(IntEnum):
    """Progress of an undecided roll-out; the higher of two stages counts.

    Attributes:
        OBSERVING: a small share of the requests goes to the new version.
        DRAINING: the verdict is good; requests leave the old servers, which
            stop when the state is written.
        ROLLED_BACK: the verdict is bad; the state follows in the store.
    """

    OBSERVING = 0
    DRAINING = 1
    ROLLED_BACK = 2


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Operator's order to move a service to another version.

    Parameters:
        name: name of the stored object.
        target: the new version.
        duration_s: seconds within which the roll-out has to be decided.
        store_version: store version of the object's last change.
        created_version: store version of its creation; 0 if unknown.
    """

    name: str
    service: str
    target: str
    duration_s: float
    state: RolloutState
    store_version: int
    created_version: int = 0
