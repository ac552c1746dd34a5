"""Suspicions of members, until they are refuted or confirmed."""

from __future__ import annotations

from collections import Counter

from .._ports import Clock

_TIMEOUT_S = 2.0
# Suspicions are checked every period; a longer gap means that this VM did not
# run, and could not receive a refutation.
_MAX_CHECK_GAP_S = 1.0
# By then gossip has usually told a member that it is suspected.
_REMINDER_AFTER_S = 1.0
# Bounds the pings of one period when many members are lost at once.
_MAX_REMINDER_COUNT = 3


class Suspicions:
    """Members that are suspected, and since when.

    Parameters:
        clock: measures how long members have been suspected.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize without suspicions."""
        self._clock = clock
        self._suspected_at: dict[str, float] = {}
        self._reminder_counts: Counter[str] = Counter()
        self._checked_at = clock.monotonic()

    @property
    def has_any(self) -> bool:
        """Whether any member is suspected."""
        return bool(self._suspected_at)

    def add(self, vm: str) -> None:
        """Suspect a member from now on."""
        self._suspected_at[vm] = self._clock.monotonic()

    def discard(self, vm: str) -> None:
        """Drop the suspicion of a member, if there is one."""
        self._suspected_at.pop(vm, None)
        self._reminder_counts.pop(vm, None)

    def confirmed(self) -> list[str]:
        """Return the members that had enough time to refute and did not.

        All get the whole time again after a pause of this process.
        """
        now = self._clock.monotonic()
        if now - self._checked_at > _MAX_CHECK_GAP_S:
            self._suspected_at = dict.fromkeys(self._suspected_at, now)
        self._checked_at = now
        return self._suspected_for(_TIMEOUT_S)

    def take_due_reminders(self) -> list[str]:
        """Return the members to be told now that they are suspected.

        Those that were told least often come first, since only some are told
        at a time.
        """
        suspected = self._suspected_for(_REMINDER_AFTER_S)
        suspected.sort(key=self._reminder_counts.__getitem__)
        due = suspected[:_MAX_REMINDER_COUNT]
        self._reminder_counts.update(due)
        return due

    def _suspected_for(self, duration_s: float) -> list[str]:
        until = self._clock.monotonic() - duration_s
        return [vm for vm, at in self._suspected_at.items() if at <= until]
