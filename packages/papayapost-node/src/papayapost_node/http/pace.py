"""How fast the other side of a connection moves on."""

import asyncio
from collections.abc import Callable

from papayapost_node.deadline import Deadline
from papayapost_node.http.limits import HttpLimits

__all__ = ["Pace"]


class Pace:
    """Counts what moves either way, and the time that it may take.

    Parameters
    ----------
    on_due
        Called when the present time limit has passed.

    Attributes
    ----------
    received_bytes
        Since the present request began.
    """

    def __init__(self, limits: HttpLimits, on_due: Callable[[], None]):
        self._limits = limits
        self._deadline = Deadline(asyncio.get_running_loop(), on_due)
        self._sent_bytes = 0
        self._moved_before = 0
        self._transport: asyncio.Transport | None = None
        self.received_bytes = 0

    def connected(self, transport: asyncio.Transport) -> None:
        """Begin to wait for the first head."""
        self._transport = transport
        self.expect_head()

    def expect_head(self) -> None:
        """Limit the time until a head is whole."""
        self._deadline.set_in(self._limits.head_timeout_ms / 1_000)

    def expect_request(self) -> None:
        """Limit the time until a head begins."""
        self._deadline.set_in(self._limits.idle_timeout_ms / 1_000)

    def expect_body(self) -> None:
        """Limit the time in which a body has to move on, either way."""
        self._moved_before = self._moved_bytes()
        self._deadline.set_in(self._limits.pace_timeout_ms / 1_000)

    def expect_within(self, delay_s: float) -> None:
        """Limit the time of whatever comes next."""
        self._deadline.set_in(delay_s)

    def expect_nothing(self) -> None:
        """Let the other side take its time."""
        self._deadline.clear()

    def sent(self, size_bytes: int) -> None:
        """Count what was handed to the socket."""
        self._sent_bytes += size_bytes

    def is_kept(self) -> bool:
        """Return whether enough moved since `expect_body`."""
        moved = self._moved_bytes() - self._moved_before
        return moved >= self._limits.pace_bytes

    def close(self) -> None:
        """Limit nothing any more."""
        self._transport = None
        self._deadline.close()

    def _moved_bytes(self) -> int:
        transport = self._transport
        waiting = transport.get_write_buffer_size() if transport else 0
        return self.received_bytes + self._sent_bytes - waiting
