"""Long bodies, whose bytes are counted until they are freed."""

from __future__ import annotations

import weakref

from ._byte_budget import ByteCount


class HeldBody(bytearray):  # noqa: WPS600, as a view would keep all bytes
    """Body of a message, received in pieces and freed in pieces.

    Once a count is attached, the bytes are released as the body shrinks, and
    at the latest when nothing refers to the body any more.
    """

    def __init__(self) -> None:
        """Initialize without any bytes and without a count."""
        super().__init__()
        self._count: ByteCount | None = None

    def attach(self, count: ByteCount) -> None:
        """Release the bytes of a count along with this body."""
        self._count = count
        weakref.finalize(self, count.release).atexit = False

    def drop_first(self, size: int) -> None:
        """Free the first bytes."""
        del self[:size]  # noqa: WPS420
        if self._count is not None:
            self._count.keep(len(self))
