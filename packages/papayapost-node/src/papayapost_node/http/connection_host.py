"""What a server and its connections need of each other."""

from abc import ABC, abstractmethod

from papayapost_node.batch import InputBatching
from papayapost_node.http.exchange import RequestHandler
from papayapost_node.http.held_bytes import HeldBytes
from papayapost_node.http.limit_counts import HttpLimit, LimitCounts
from papayapost_node.http.limits import HttpLimits
from papayapost_node.http.turns import Turns

__all__ = ["ConnectionHost", "HostedConnection", "SharedLimits"]

_MAX_HELD_BYTES = 256 << 20
"""Bound for servers that have no settings, such as stand-ins."""


class SharedLimits:
    """The bounds that all HTTP servers of a process share.

    Parameters
    ----------
    held, turns, counts
        Bounds on memory and processor time, and the counters of limits; None
        for bounds that only a process without settings has.
    """

    def __init__(
        self,
        held: HeldBytes | None = None,
        turns: Turns | None = None,
        counts: LimitCounts | None = None,
    ):
        self.held = held or HeldBytes(_MAX_HELD_BYTES)
        self.turns = turns or Turns()
        self.counts = counts or LimitCounts()


class HostedConnection(ABC):
    """A connection as its server sees it."""

    @abstractmethod
    def drain(self) -> None:
        """Close the connection if it stays idle; close it after an answer."""

    @abstractmethod
    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive."""

    @abstractmethod
    def evict(self) -> bool:
        """Close the connection if no request is being served on it."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""


class ConnectionHost(ABC):
    """The server of a connection, as the connection sees it.

    Attributes
    ----------
    handler
        Handles the requests.
    batch
        Collects the messages that result from one read, so that one tick
        handles them.
    shared
        Bounds that all servers of the process share.
    is_draining
        Whether each connection is closed after its current answer.
    read_buffer
        Buffer that the event loop reads into, shared by all connections.
    """

    handler: RequestHandler
    batch: InputBatching
    shared: SharedLimits
    is_draining: bool
    read_buffer: memoryview

    @property
    @abstractmethod
    def limits(self) -> HttpLimits:
        """Limits of the connections that are opened now."""

    @abstractmethod
    def admit(self, connection: HostedConnection) -> bool:
        """Add a new connection; return False if it must be closed."""

    @abstractmethod
    def remove(self, connection: HostedConnection) -> None:
        """Remove a closed connection."""

    @abstractmethod
    def limit_met(self, limit: HttpLimit) -> None:
        """Record that a caller met a limit."""
