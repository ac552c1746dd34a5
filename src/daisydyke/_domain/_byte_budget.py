"""Bound on the memory that incomplete messages take in this process."""

from __future__ import annotations


class ByteBudget:
    """Counts the bytes of all messages that are being received.

    Parameters:
        limit: largest number of bytes that may be held at a time.

    Attributes:
        held: bytes that are held now.
    """

    def __init__(self, limit: int) -> None:
        """Initialize without any bytes held."""
        self._limit = limit
        self.held = 0

    def try_acquire(self, size: int) -> bool:
        """Return whether more bytes may be held, and count them if so."""
        if self.held + size > self._limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Stop counting bytes that are no longer held."""
        self.held -= size
