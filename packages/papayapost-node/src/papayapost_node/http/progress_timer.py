"""Time limits for the requests and bodies on a caller's connection."""

import asyncio
from collections.abc import Callable

from papayapost_node.deadline import DeadlineTimer
from papayapost_node.http.limits import HttpLimits

__all__ = ["ProgressTimer"]


class ProgressTimer:
    """Limits the time of each phase of a connection and counts its bytes.

    Only one time limit applies at a time: each `expect_…` method replaces
    the earlier limit.

    Parameters
    ----------
    on_timeout
        Called when the current time limit has passed.

    Attributes
    ----------
    received_bytes
        Bytes received since the current request began.
    """

    def __init__(self, limits: HttpLimits, on_timeout: Callable[[], None]):
        self._limits = limits
        self._deadline = DeadlineTimer(asyncio.get_running_loop(), on_timeout)
        self._sent_bytes = 0
        self._start_bytes = 0
        self._transport: asyncio.Transport | None = None
        self.received_bytes = 0

    def start(self, transport: asyncio.Transport) -> None:
        """Store the transport and limit the time until the first request.

        Callers open connections ahead of their requests.
        """
        self._transport = transport
        self.expect_request()

    def expect_head(self) -> None:
        """Limit the time until a request's head is complete."""
        self._deadline.set_in(self._limits.head_timeout_ms / 1_000)

    def expect_request(self) -> None:
        """Limit the time until the next request begins."""
        self._deadline.set_in(self._limits.idle_timeout_ms / 1_000)

    def expect_body(self) -> None:
        """Start a period in which a body must make progress."""
        self._start_bytes = self._transferred_bytes()
        self._deadline.set_in(self._limits.pace_timeout_ms / 1_000)

    def expect_within(self, delay_s: float) -> None:
        """Limit the time until the next event to `delay_s` seconds."""
        self._deadline.set_in(delay_s)

    def clear(self) -> None:
        """Remove the time limit."""
        self._deadline.clear()

    def count_sent(self, size_bytes: int) -> None:
        """Count bytes that were written to the transport."""
        self._sent_bytes += size_bytes

    def is_progress_sufficient(self) -> bool:
        """Return whether enough bytes were transferred since `expect_body`."""
        progress_bytes = self._transferred_bytes() - self._start_bytes
        return progress_bytes >= self._limits.pace_bytes

    def close(self) -> None:
        """Cancel the time limit of a connection that has closed."""
        self._transport = None
        self._deadline.close()

    def _transferred_bytes(self) -> int:
        transport = self._transport
        unsent_bytes = transport.get_write_buffer_size() if transport else 0
        return self.received_bytes + self._sent_bytes - unsent_bytes
