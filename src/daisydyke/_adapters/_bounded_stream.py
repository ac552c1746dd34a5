"""Output stream that drops lines rather than block."""

from __future__ import annotations

import os

_MAXIMUM_PENDING_BYTES = 262144


class BoundedStream:
    """Writes lines to a file descriptor without ever waiting for it.

    Lines that the reader does not take are kept up to a bound; beyond it
    they are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self._told = 0
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Take one whole line."""
        if len(self._pending) > _MAXIMUM_PENDING_BYTES:
            self.flush()
        if len(self._pending) > _MAXIMUM_PENDING_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines > self._told:
            missing = self.dropped_lines - self._told
            self._told = self.dropped_lines
            note = f'{{"event":"log_dropped","lines":{missing}}}\n'
            self._pending.extend(note.encode())
        self._pending.extend(text.encode(errors='backslashreplace'))

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except OSError:
                # The reader is slow or gone; the bound above holds either way.
                return
            self._pending = self._pending[written:]
