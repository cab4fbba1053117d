"""Limits that protect an HTTP server from its callers."""

from abc import ABC, abstractmethod

from papayapost.define import define

__all__ = ["FixedLimits", "HttpLimits", "LimitsSource"]


@define(frozen=True)
class HttpLimits:
    """Limits on connections, request heads, and the time that they take.

    Parameters
    ----------
    connections
        Largest number of open connections; further ones are closed as soon as
        they are accepted.
    head_bytes
        Largest size of the request line and headers together.
    body_bytes
        Largest body of a request; with 0, a request that announces a body is
        refused before any of it is read.
    head_timeout_ms
        Longest time from a head's first byte to its last.
    idle_timeout_ms
        Longest time that a connection waits for its next request.
    pace_timeout_ms, pace_bytes
        Minimum transfer rate of a body that the node waits to receive or to
        send: at least `pace_bytes` in each period of `pace_timeout_ms`.
    pipelined
        Largest number of safe requests of one connection served at once.
    evicts_idle
        Whether the oldest connection without a request is closed for a new
        one above the limit, so that nobody can occupy an address.
    """

    connections: int = 2_000
    head_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    pace_timeout_ms: int = 10_000
    pace_bytes: int = 4 << 10
    pipelined: int = 1
    evicts_idle: bool = False


class LimitsSource(ABC):
    """Provides the limits of an HTTP server, which may change."""

    @abstractmethod
    def current(self) -> HttpLimits:
        """Return the limits of connections that are opened now."""


class FixedLimits(LimitsSource):
    """Provides limits that do not change."""

    def __init__(self, limits: HttpLimits):
        self._limits = limits

    def current(self) -> HttpLimits:
        """Return the limits."""
        return self._limits
