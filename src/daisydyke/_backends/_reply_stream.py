"""Parser of the replies on a connection, as the connection needs it."""

from __future__ import annotations

from typing import Protocol

from .._requests._model import Reply


class ReplyStream(Protocol):
    """Incremental parser of the responses on one connection."""

    @property
    def has_excess(self) -> bool:
        """Whether bytes after the latest complete reply were received."""

    def expect(self, *, bodiless: bool, maximum_body: int) -> None:
        """Prepare for the reply to the next request.

        Parameters:
            bodiless: whether the reply has no body whatever its header says.
            maximum_body: largest body in bytes.
        """

    def feed(self, received: bytes) -> list[Reply]:
        """Return the replies that these bytes complete.

        Raises:
            ProtocolViolationError: the bytes are not a valid response or
                exceed a limit.
        """

    def finish(self) -> Reply | None:
        """Return the reply that the end of the stream completes, if any."""

    def close(self) -> None:
        """Free what is held of an incomplete reply."""
