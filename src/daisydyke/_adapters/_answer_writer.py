"""Sending of answers to a client, and detection of slow readers."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from .._domain._byte_budget import ByteBudget, ByteCount
from .._domain._held_body import HeldBody
from ._sockets import (
    LONG_SEND_BUFFER_BYTES,
    bound_send_buffer,
    may_write,
    unacknowledged_bytes,
)

_PIECE_BYTES = 65536
# Consecutive slow checks after which the answer of a client may be discarded.
_MINIMUM_SLOW_CHECK_COUNT = 2


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Rate at which a client has to take its answers.

    Checks are counted in place of seconds, so that a pause of this process
    is not taken for one of the client. What counts is what the host of the
    client acknowledges. While its buffer is full, it does that in steps, which
    a window has to outlast. At a check each 0.5 s the window is 120 s, and a
    client that takes 64 KiB in each 30 s is not closed if the steps are up to
    224 KiB.

    Parameters:
        bytes_per_check: least number of bytes from one check to the next with
            which the answer of a client is not discarded for want of memory.
        window_bytes: least number of bytes within the checks of a window;
            with less, the connection is closed.
        window_checks: number of checks in a window.
    """

    bytes_per_check: int = 32768
    window_bytes: int = 32768
    window_checks: int = 240


class AnswerWriter:
    """Sends one answer at a time on the socket of a client.

    Parameters:
        client: socket of the client.
        budget: counts what the client has not taken of an answer.
        limits: rate at which the client has to take it.

    Attributes:
        discarded: whether the answer has been discarded, since the client
            takes it slowly.
    """

    def __init__(
        self, client: curio.io.Socket, budget: ByteBudget, limits: ReadLimits
    ) -> None:
        """Initialize without an answer."""
        self.discarded = False
        self._client = client
        self._limits = limits
        self._held_payload = ByteCount(budget)
        self._body: HeldBody | None = None
        self._sending_bytes = 0
        # The next four count from the first answer of the connection.
        self._sent_bytes = 0
        self._taken_bytes = 0
        self._window_start_bytes = 0
        self._sent_before_answer_bytes = 0
        self._latest_taken_bytes = 0
        self._check_count = 0
        self._slow_check_count = 0

    @property
    def slowness(self) -> tuple[int, int]:
        """Key that sorts the slowest client last."""
        return -self._latest_taken_bytes, self._slow_check_count

    @property
    def reads_slowly(self) -> bool:
        """Whether the client takes little and its socket accepts no more."""
        return (
            self._slow_check_count >= _MINIMUM_SLOW_CHECK_COUNT
            and not may_write(self._client.fileno())
        )

    @property
    def holds_body(self) -> bool:
        """Whether bytes of a long body can be freed at once."""
        return bool(self._body)

    async def send(self, payload: bytes, body: HeldBody | None) -> None:
        """Send an answer.

        Parameters:
            payload: the answer without its body, if that is long.
            body: long body, which is freed as it is sent; None if there is
                none.

        Raises:
            OSError: the client has gone, or the body has been discarded.
        """
        self.discarded = False
        self._sending_bytes = len(payload)
        self._sent_before_answer_bytes = self._sent_bytes
        self._body = body
        if body is not None or len(payload) > _PIECE_BYTES:
            bound_send_buffer(self._client, LONG_SEND_BUFFER_BYTES)
        try:
            await self._send_payload(payload)
            if body is not None:
                await self._send_body(body)
        finally:
            self._end()

    def check(self) -> bool:
        """Return whether the connection has to be closed.

        It is called at regular intervals, and counts its calls.
        """
        if not self._sending_bytes:
            return False
        if self.discarded:
            return True
        if not self._held_payload.held:
            self._held_payload.acquire(self._sending_bytes)
        self._note_taken()
        if self._check_count % self._limits.window_checks:
            return False
        taken = self._taken_bytes - self._window_start_bytes
        self._window_start_bytes = self._taken_bytes
        return taken < self._limits.window_bytes

    def discard(self) -> None:
        """Free what has not been sent; ``send`` fails with its next piece."""
        self.discarded = True
        self._held_payload.release()
        if self._body is not None:
            self._body.drop_first(len(self._body))

    def _note_taken(self) -> None:
        """Note what the client has taken since the previous check."""
        unacknowledged = unacknowledged_bytes(self._client.fileno())
        taken = self._sent_bytes - unacknowledged
        if not self._check_count:
            # The client may still be taking answers before this one.
            self._taken_bytes = min(taken, self._sent_before_answer_bytes)
            self._window_start_bytes = self._taken_bytes
        self._latest_taken_bytes = taken - self._taken_bytes
        self._taken_bytes = taken
        self._check_count += 1
        if self._latest_taken_bytes < self._limits.bytes_per_check:
            self._slow_check_count += 1
        else:
            self._slow_check_count = 0

    async def _send_payload(self, payload: bytes) -> None:
        sent = 0
        while sent < len(payload):
            if self.discarded:
                raise ConnectionAbortedError
            sent += await self._send_piece(payload[sent : sent + _PIECE_BYTES])

    async def _send_body(self, body: HeldBody) -> None:
        left = len(body)
        while left:
            # Nothing refers to the body itself while the client is awaited.
            piece = bytes(body[:_PIECE_BYTES])
            if not piece:
                raise ConnectionAbortedError
            sent = await self._send_piece(piece)
            left -= sent
            body.drop_first(sent)

    async def _send_piece(self, piece: bytes) -> int:
        """Send as much of a piece as the socket accepts at once."""
        sent = await self._client.send(piece)
        self._sent_bytes += sent
        return sent

    def _end(self) -> None:
        self._body = None
        self._sending_bytes = 0
        self._check_count = 0
        self._slow_check_count = 0
        self._held_payload.release()
