"""Output stream that drops lines instead of blocking."""

from __future__ import annotations

import os

_MAXIMUM_BUFFERED_BYTES = 262144


class BoundedStream:
    """Writes lines to a file descriptor without blocking.

    Lines that cannot be written at once are buffered up to a limit; beyond it
    they are dropped and counted. The next line that is buffered is preceded
    by a ``log_dropped`` record with the number of missing lines.

    Parameters:
        descriptor: file descriptor to write to.

    Attributes:
        dropped_lines: number of lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        """Switch the descriptor to non-blocking mode."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._reported_lines = 0
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Buffer one line, which includes its newline, or drop it."""
        if len(self._buffer) > _MAXIMUM_BUFFERED_BYTES:
            self.flush()
        if len(self._buffer) > _MAXIMUM_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines > self._reported_lines:
            unreported_lines = self.dropped_lines - self._reported_lines
            self._reported_lines = self.dropped_lines
            notice = f'{{"event":"log_dropped","lines":{unreported_lines}}}\n'
            self._buffer.extend(notice.encode())
        self._buffer.extend(text.encode(errors='backslashreplace'))

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except OSError:
                # The pipe is full or its reader has closed it; in both cases
                # the buffer remains bounded by ``write``.
                return
            self._buffer = self._buffer[written:]
