"""Writes lines to a file descriptor without blocking on a slow reader."""

import asyncio
import os
import select

__all__ = ["LineWriter"]

_MAX_BUFFERED_BYTES = 64 << 10
_FLUSH_BYTES = 8 << 10
_FLUSH_DELAY_S = 0.05
"""While an event loop runs, lines are written together after this time, or
once there are so many bytes: a call has about five lines."""

_MAX_WRITE_BYTES = 4096
"""A write of this size never blocks on a pipe that polls as writable."""


class LineWriter:
    """Buffers lines, and drops lines if the buffer is full.

    The buffer is for a slow reader, and collects the lines of a short time.

    Attributes
    ----------
    dropped
        Number of lines lost to a full buffer or a failed write.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._buffered = bytearray()
        self._is_scheduled = False
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line after the buffered ones.

        If the buffer has no room for the line, drop it.
        """
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if len(self._buffered) + len(data) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffered += data
        if len(self._buffered) >= _FLUSH_BYTES or not self._schedule():
            self.flush()

    def _schedule(self) -> bool:
        """Have the lines written soon; return False without an event loop."""
        if self._is_scheduled:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._is_scheduled = True
        loop.call_later(_FLUSH_DELAY_S, self._flush_scheduled)
        return True

    def _flush_scheduled(self) -> None:
        self._is_scheduled = False
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor takes no more."""
        while self._buffered and self._is_writable():
            try:
                written = os.write(
                    self._descriptor, bytes(self._buffered[:_MAX_WRITE_BYTES])
                )
            except OSError:
                # The reader is gone, so that later lines would fail as well.
                self.dropped += self._buffered.count(b"\n")
                self._buffered.clear()
                return
            del self._buffered[:written]

    def _is_writable(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))
