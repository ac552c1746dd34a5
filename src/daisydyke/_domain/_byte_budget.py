"""Bound on the memory that messages of peers take in this process."""

from __future__ import annotations

from collections.abc import Callable

_NEARLY_FULL_SHARE = 0.75


def _make_no_room() -> bool:
    return False


class ByteBudget:
    """Counts the bytes that are held for peers.

    Parameters:
        limit: largest number of bytes that may be held at a time.
        whole: budget that these bytes count towards as well; None if this
            budget is a whole one.

    Attributes:
        held: bytes that are held now.
        make_room: frees some bytes of this budget; returns whether it did.
    """

    def __init__(self, limit: int, whole: ByteBudget | None = None) -> None:
        """Initialize without any bytes held."""
        self._limit = limit
        self._whole = whole
        self.held = 0
        self.make_room: Callable[[], bool] = _make_no_room

    @property
    def nearly_full(self) -> bool:
        """Whether most of the bytes that may be held are held."""
        return self.held > self._limit * _NEARLY_FULL_SHARE

    def try_acquire(self, size: int) -> bool:
        """Return whether more bytes may be held, and count them if so.

        If they do not fit, others are freed as far as possible.
        """
        while self.held + size > self._limit:
            if not self.make_room():
                return False
        if self._whole is not None and not self._whole.try_acquire(size):
            return False
        self.held += size
        return True

    def acquire(self, size: int) -> None:
        """Count bytes that are held already, also beyond the limit."""
        if self._whole is not None:
            self._whole.acquire(size)
        self.held += size

    def release(self, size: int) -> None:
        """Stop counting bytes that are no longer held."""
        if self._whole is not None:
            self._whole.release(size)
        self.held -= size


class ByteCount:
    """Bytes of one message within a budget.

    Attributes:
        held: bytes that are counted now.
    """

    def __init__(self, budget: ByteBudget) -> None:
        """Initialize without any bytes held."""
        self._budget = budget
        self.held = 0

    def try_acquire(self, size: int) -> bool:
        """Return whether more bytes may be held, and count them if so."""
        acquired = self._budget.try_acquire(size)
        if acquired:
            self.held += size
        return acquired

    def acquire(self, size: int) -> None:
        """Count bytes that are held already, also beyond the limit."""
        self._budget.acquire(size)
        self.held += size

    def keep(self, size: int) -> None:
        """Release all bytes but these."""
        if size < self.held:
            self._budget.release(self.held - size)
            self.held = size

    def release(self) -> None:
        """Release all bytes."""
        self.keep(0)


class PeerMemory:
    """Account of all bytes that callers and servers make this process hold.

    Requests and answers have a limit each below that of the whole, so that
    neither takes all the room.

    Parameters:
        whole_bytes: largest number of bytes that may be held at a time.
        request_bytes: largest number of them for requests that are received
            or answered.
        answer_bytes: largest number of them for replies of servers and
            answers, from their first byte received to their last one sent,
            and for what servers have not read of their requests.

    Attributes:
        requests: budget of the requests.
        answers: budget of the exchanges with servers and of the answers.
    """

    def __init__(
        self, whole_bytes: int, request_bytes: int, answer_bytes: int
    ) -> None:
        """Initialize without any bytes held."""
        self._whole = ByteBudget(whole_bytes)
        self.requests = ByteBudget(request_bytes, self._whole)
        self.answers = ByteBudget(answer_bytes, self._whole)

    @property
    def is_short(self) -> bool:
        """Whether too little room is left to take more requests."""
        return self.answers.nearly_full or self._whole.nearly_full

    def free_with(self, make_room: Callable[[], bool]) -> None:
        """Set what frees answers where room is needed."""
        self.answers.make_room = make_room
        self._whole.make_room = make_room
