"""Progress of a query's segments, its timers, results and answer."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

import curio

from .._domain._model import (
    Failure,
    KeyRange,
    Segment,
    SubAnswer,
    SubRequest,
)
from .._ports import SubResult


@dataclass(frozen=True, slots=True)
class MissingRange:
    """A key range without an answer, and the reason."""

    keys: KeyRange
    reason: Failure


@dataclass(frozen=True, slots=True)
class SegmentReport:
    """Details of an answered key range.

    Parameters:
        server_id: identifier of the backend server that answered.
        attempt_count: attempts started, hedges and retries included.
        latency_s: seconds from the first attempt to the answer.
    """

    keys: KeyRange
    server_id: str
    attempt_count: int
    latency_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Rows of one snapshot and their coverage of the key space.

    Parameters:
        snapshot: index version that all rows come from.
        coverage: keys answered as a share of all keys, 0 to 1.
        rows: JSON text of one array for each answered range.
        extra_attempts: sub-requests sent beyond one for each range.
    """

    request_id: str
    service: str
    snapshot: int
    coverage: float
    missing: tuple[MissingRange, ...]
    segments: tuple[SegmentReport, ...]
    rows: tuple[bytes, ...]
    extra_attempts: int


@dataclass(slots=True)
class Attempt:
    """A sub-request and the monotonic time in seconds when it was sent."""

    request: SubRequest
    started_at: float


@dataclass(slots=True)
class SegmentProgress:
    """State of one segment of a query.

    Parameters:
        attempts: all attempts started.
        open_sub_ids: identifiers of the sub-requests without a result yet.
        without_snapshot: identifiers of servers that lack the snapshot.
        answered_by: identifier of the server that answered.
        latency_s: seconds from the first attempt to the answer.
        reason: why the segment is missing if it gets no answer.
        unsent_count: failed attempts of which no byte was sent to a server.
        sent_count: attempts of which a byte may have reached a server.
        closed: whether no further attempt is made.
        hedge_refusal_logged: whether a refused hedge has been logged.
    """

    segment: Segment
    attempts: list[Attempt] = field(default_factory=list)
    open_sub_ids: set[int] = field(default_factory=set)
    without_snapshot: set[str] = field(default_factory=set)
    answer: SubAnswer | None = None
    answered_by: str = ''
    latency_s: float = 0
    reason: Failure = Failure.LATE
    unsent_count: int = 0
    sent_count: int = 0
    closed: bool = False
    hedge_refusal_logged: bool = False


class TimerQueue:
    """Priority queue of segments by the time when an action is due."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._heap: list[tuple[float, int, SegmentProgress]] = []
        self._sequence = 0

    @property
    def next_at(self) -> float:
        """Monotonic time of the earliest entry, infinity if empty."""
        return self._heap[0][0] if self._heap else math.inf

    def add(self, at: float, progress: SegmentProgress) -> None:
        """Add a segment that is due at a monotonic time in seconds."""
        # The sequence number breaks ties, as segments cannot be compared.
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, progress))

    def pop_due(self, now: float) -> list[SegmentProgress]:
        """Remove and return the segments that are due, earliest first."""
        due: list[SegmentProgress] = []
        while self.next_at <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due


class ResultQueue:
    """Sink that queues the results of one request's sub-requests."""

    def __init__(self) -> None:
        """Initialize an empty queue."""
        self._queue: curio.Queue = curio.Queue()

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Append the result of a sub-request."""
        await self._queue.put((sub_id, outcome))

    async def next(self, timeout_s: float) -> tuple[int, SubResult] | None:
        """Wait for the next result.

        Parameters:
            timeout_s: time to wait; if it is not positive, only a result
                that is already queued is returned.

        Returns:
            Sub-request identifier and result, or None after the timeout.
        """
        if timeout_s <= 0 and self._queue.empty():
            return None
        if not self._queue.empty():
            return await self._queue.get()
        return await curio.ignore_after(timeout_s, self._queue.get())


def make_report(progress: SegmentProgress) -> SegmentReport:
    """Return the report on an answered segment."""
    return SegmentReport(
        progress.segment.keys,
        progress.answered_by,
        len(progress.attempts),
        progress.latency_s,
    )
