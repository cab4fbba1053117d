"""The socket of a caller's connection: its writes, pauses and closing."""

import asyncio
from collections.abc import Callable
from enum import Enum

from papayapost_node.http.limits import HttpLimits
from papayapost_node.http.progress_timer import ProgressTimer

__all__ = ["CallerSocket", "PauseReason"]

_WRITE_BUFFER_BYTES = 16 << 10
"""Unsent bytes above which the caller counts as slow. What is below is held
by each connection without being counted, so it must stay small."""

_LINGER_S = 1.0
"""Time that the caller has to close its side of a closing connection."""

_MAX_DISCARDED_BYTES = 256 << 10
"""Most bytes that are read and discarded on a closing connection."""


class PauseReason(Enum):
    """Why a connection is not read at the moment.

    With ``BODY``, the handler cannot take more of a request's body. With
    ``ORDER``, a request waits for the answers before it. With ``BACKLOG``,
    bytes that were read have not been handled.
    """

    BODY = "body"
    ORDER = "order"
    BACKLOG = "backlog"


_HOLDING_BACK = frozenset([PauseReason.BODY, PauseReason.ORDER])
"""Reasons for which what was read already is not parsed either."""


class CallerSocket:
    """Writes to, pauses and closes the transport of a connection.

    Parameters
    ----------
    on_timeout
        Called when a time limit of the connection has passed.

    Attributes
    ----------
    timer
        Time limits of the connection.
    is_writable
        Whether the caller has read all but a few of the written bytes.
    is_closing
        Whether what arrives is discarded, as the connection is closing.
    is_held_back
        Whether received bytes must not be parsed for now, or not any more.
    """

    def __init__(self, limits: HttpLimits, on_timeout: Callable[[], None]):
        self.timer = ProgressTimer(limits, on_timeout)
        self.is_writable = True
        self.is_closing = False
        self.is_held_back = True
        self._transport: asyncio.Transport | None = None
        self._pauses: set[PauseReason] = set()
        self._discarded_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether the connection has not been lost."""
        return self._transport is not None

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the system has not taken yet."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport is not None else 0

    @property
    def has_backlog(self) -> bool:
        """Whether unhandled bytes keep the connection from being read."""
        return PauseReason.BACKLOG in self._pauses

    def open(self, transport: asyncio.Transport) -> None:
        """Store the transport of an accepted connection."""
        self._transport = transport
        self.is_held_back = False
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self.timer.start(transport)

    def lost(self) -> None:
        """Forget the transport, which is closed."""
        self._transport = None
        self.is_held_back = True
        self.timer.close()

    def write(self, data: bytes) -> None:
        """Write bytes to the caller."""
        self.timer.count_sent(len(data))
        if self._transport is not None and data:
            self._transport.write(data)

    def pause(self, reason: PauseReason) -> None:
        """Stop reading until no reason against it is left."""
        if not self._pauses and not self.is_closing and self._transport is not None:
            self._transport.pause_reading()
        self._pauses.add(reason)
        self._update_held_back()

    def resume(self, reason: PauseReason) -> None:
        """Remove a reason against reading."""
        if reason not in self._pauses:
            return
        self._pauses.remove(reason)
        self._update_held_back()
        if not self._pauses and not self.is_closing and self._transport is not None:
            self._transport.resume_reading()

    def discard(self, size_bytes: int) -> None:
        """Count bytes that arrived while closing, and bound them."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _MAX_DISCARDED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def close(self) -> None:
        """Close the connection once the write buffer is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def close_gracefully(self) -> None:
        """Close the writing side now, and the connection after a short wait.

        If the connection were closed while the caller still sends, a reset
        could reach the caller before the answer does.
        """
        transport = self._transport
        if transport is None:
            return
        if transport.can_write_eof() and not transport.is_closing():
            try:
                transport.write_eof()
            except OSError:
                # The caller has reset the connection; nobody reads the rest.
                transport.abort()
                return
        if self._pauses:
            # Unread bytes would make the close a reset, which could reach the
            # caller before the answer.
            self._pauses.clear()
            transport.resume_reading()
        self.is_closing = self.is_held_back = True
        if transport.get_write_buffer_size():
            self.timer.expect_body()
        else:
            self.timer.expect_within(_LINGER_S)

    def close_after_output(self) -> None:
        """Close an idle connection, whose caller may still read an answer."""
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size():
            self.is_closing = self.is_held_back = True
            self.timer.expect_body()
            transport.close()
        else:
            transport.abort()

    def _update_held_back(self) -> None:
        is_paused = not self._pauses.isdisjoint(_HOLDING_BACK)
        self.is_held_back = is_paused or self.is_closing or self._transport is None
