"""What has become of a query's segments so far."""

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
class Missing:
    """A range without an answer and the reason."""

    keys: KeyRange
    reason: Failure


@dataclass(frozen=True, slots=True)
class SegmentReport:
    """How one range was answered."""

    keys: KeyRange
    server_id: str
    attempts: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Rows of one snapshot and how much of the key space they cover.

    Parameters:
        share: keys answered as a share of all keys, 0 to 1.
        rows: JSON text of one array for each answered range.
        extra: sub-requests sent beyond one for each range.
    """

    request_id: str
    service: str
    snapshot: int
    share: float
    missing: tuple[Missing, ...]
    segments: tuple[SegmentReport, ...]
    rows: tuple[bytes, ...]
    extra: int


@dataclass(slots=True)
class Attempt:
    request: SubRequest
    started: float


@dataclass(slots=True)
class Progress:
    """What has become of one segment so far."""

    segment: Segment
    attempts: list[Attempt] = field(default_factory=list)
    open_ids: set[int] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    answer: SubAnswer | None = None
    winner: str = ''
    seconds: float = 0
    reason: Failure = Failure.LATE
    refusals: int = 0
    sent: int = 0
    closed: bool = False
    hedge_refused: bool = False


class Timetable:
    """Segments by the time at which something is due for them."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Progress]] = []
        self._added = 0

    @property
    def next_at(self) -> float:
        """Time of the earliest entry, infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def add(self, at: float, progress: Progress) -> None:
        """Add an entry."""
        self._added += 1
        heapq.heappush(self._heap, (at, self._added, progress))

    def take_due(self, now: float) -> list[Progress]:
        """Remove and return the entries that are due."""
        due: list[Progress] = []
        while self.next_at <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due


class ResultQueue:
    """Sink that one query reads."""

    def __init__(self) -> None:
        """Start empty."""
        self._queue: curio.Queue = curio.Queue()

    async def deliver(self, sub_id: int, outcome: SubResult) -> None:
        """Take the result of a sub-request."""
        await self._queue.put((sub_id, outcome))

    async def next(self, timeout: float) -> tuple[int, SubResult] | None:
        """Return the next result, None after ``timeout`` seconds."""
        if timeout <= 0 and self._queue.empty():
            return None
        if not self._queue.empty():
            return await self._queue.get()
        return await curio.ignore_after(timeout, self._queue.get())


def report(progress: Progress) -> SegmentReport:
    return SegmentReport(
        progress.segment.keys,
        progress.winner,
        len(progress.attempts),
        progress.seconds,
    )
