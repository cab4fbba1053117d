"""Writes lines to a file descriptor without blocking on a slow reader."""

import os
import select
from collections import deque

__all__ = ["LineWriter"]

_MAX_BUFFERED_BYTES = 64 << 10
_MAX_WRITE_BYTES = 4096
"""A write of this size never blocks on a pipe that polls as writable."""


class LineWriter:
    """Buffers lines for a slow reader and drops lines if the buffer is full.

    Attributes
    ----------
    dropped
        Number of lines lost to a full buffer or a failed write.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line after the buffered ones.

        If the buffer has no room for the line, drop it.
        """
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._buffered_bytes + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor takes no more."""
        while self._buffered and self._is_writable():
            piece = self._buffered.popleft()
            try:
                written = os.write(self._descriptor, piece[:_MAX_WRITE_BYTES])
            except OSError:
                # The reader is gone, so that later lines would fail as well.
                self.dropped += 1 + len(self._buffered)
                self._buffered.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(piece):
                self._buffered.appendleft(piece[written:])

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
