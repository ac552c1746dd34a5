"""Checks on the roll-out of a service to another version."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

OLD_VERSION = 'v1'
TARGET_VERSION = 'v2'
# As the platform's pages have them.
CONTACT_S = 5.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
_BAD_ANSWER_COUNT = 50
# As long as VMs may use any server that is taken away.
_GONE_LIMIT_S = 3.0
# By the design note, no verdict is good before this share of the duration.
_OBSERVED_SHARE = 0.85
COMPLETED = 'completed'
ROLLED_BACK = 'rolled_back'
_FINAL_STATES = frozenset((COMPLETED, ROLLED_BACK))


class Quality(StrEnum):
    """What the version is like that a service is rolled out to."""

    GOOD = 'good'
    FAILING = 'failing'
    SLOW = 'slow'


@dataclass(frozen=True)
class Arrival:
    """A request that reached a server of the service.

    Parameters:
        at: monotonic time in seconds.
        is_new: whether the server is of the target version.
        is_in_touch: whether the VM that took the request was in touch.
        stable_since: monotonic time since which the store was stable.
    """

    at: float
    request_id: str
    is_new: bool
    is_in_touch: bool
    stable_since: float = 0


@dataclass
class PlayedRollout:
    """What servers and the store see of a roll-out.

    Parameters:
        ordered_at: monotonic time of the order.
        duration_s: seconds within which it has to be decided.
        arrivals: requests that reached the service since the order.
        states: states that were written, each with its monotonic time.
        bad_answers: monotonic times of the answers that were made bad.
    """

    service: str
    quality: Quality
    ordered_at: float
    duration_s: float
    arrivals: list[Arrival] = field(default_factory=list)
    states: list[tuple[float, str]] = field(default_factory=list)
    bad_answers: list[float] = field(default_factory=list)

    @property
    def final_state(self) -> str:
        """The first final state; empty before it is written."""
        return next(iter(self._final_states()), (0, ''))[1]

    @property
    def ended_at(self) -> float:
        """Monotonic time of that state; infinity before."""
        return next(iter(self._final_states()), (math.inf, ''))[0]

    def describe(self) -> str:
        """Return the order and its outcome in a few words."""
        exposed, sent = self._exposure()
        return (
            f'{self.service} to a {self.quality} version '
            f'{self.final_state or "undecided"} after '
            f'{self.ended_at - self.ordered_at:.1f} of {self.duration_s:g} s, '
            f'exposed to {exposed} of {sent} requests'
        )

    def errors(self) -> Iterator[str]:
        """Return what breaks a rule, once the roll-out is over."""
        names = [state for _, state in self.states]
        if len(self._final_states()) != 1 or names[-1] not in _FINAL_STATES:
            yield f'ROLLOUT states of {self.service}: {names}'
        exposed, sent = self._exposure()
        if exposed > EXPOSURE_SHARE * sent + EXPOSURE_SLACK:
            yield (
                f'EXPOSURE of {self.service}, {self.quality}: '
                f'{exposed} of {sent} requests'
            )
        seen = [each for each in self.arrivals if each.is_in_touch]
        late = [each for each in seen if self._is_after_bad_answers(each)]
        yield from self._late_errors('bad answers', late)
        late = [each for each in seen if self._is_after_end(each)]
        yield from self._late_errors(self.final_state, late)

    def _final_states(self) -> list[tuple[float, str]]:
        return [entry for entry in self.states if entry[1] in _FINAL_STATES]

    def _exposure(self) -> tuple[int, int]:
        """Return the requests to the version, and to the service in all.

        All VMs count, in touch or not. A good version may get all requests
        once it has been found good.
        """
        share = _OBSERVED_SHARE if self.quality is Quality.GOOD else 1
        until = self.ordered_at + share * self.duration_s
        counted = [each for each in self.arrivals if each.at <= until]
        sent = len({each.request_id for each in counted})
        exposed = len({each.request_id for each in counted if each.is_new})
        return exposed, sent

    def _late_errors(self, event: str, late: list[Arrival]) -> Iterator[str]:
        if late:
            yield (
                f'ROLLOUT of {self.service}: {len(late)} requests too long '
                f'after {event}, the last {late[-1].request_id}, '
                f'{late[-1].at - self.ordered_at:.2f} s after the order, '
                f'ended at {self.ended_at - self.ordered_at:.2f} s'
            )

    def _is_after_end(self, arrival: Arrival) -> bool:
        """Return whether it came to the abandoned version, too late."""
        if self.final_state == ROLLED_BACK:
            return arrival.is_new and arrival.at > self.ended_at + ROLLBACK_S
        return not arrival.is_new and arrival.at > self.ended_at + _GONE_LIMIT_S

    def _is_after_bad_answers(self, arrival: Arrival) -> bool:
        """Return whether it came too late after many bad answers."""
        known = [at for at in self.bad_answers if at > arrival.stable_since]
        if not arrival.is_new or len(known) < _BAD_ANSWER_COUNT:
            return False
        return arrival.at > known[_BAD_ANSWER_COUNT - 1] + ROLLBACK_S
