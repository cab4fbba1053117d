"""Limits of a node's HTTP servers according to its settings."""

from dataclasses import replace

from papayapost_node.http import HttpLimits
from papayapost_node.settings import HttpSettings

__all__ = ["control_limits", "http_limits"]


def http_limits(settings: HttpSettings) -> HttpLimits:
    """Return the limits of the address that callers use."""
    return HttpLimits(
        connections=settings.connections,
        head_bytes=settings.head_bytes,
        body_bytes=settings.body_bytes,
        head_timeout_ms=settings.head_timeout_ms,
        idle_timeout_ms=settings.idle_timeout_ms,
        pace_timeout_ms=settings.pace_timeout_ms,
        pace_bytes=settings.pace_bytes,
        pipelined=settings.pipelined,
    )


def control_limits(settings: HttpSettings, body_bytes: int = 0) -> HttpLimits:
    """Return the limits of an address that callers do not use.

    Parameters
    ----------
    body_bytes
        Largest body of a request there.
    """
    return replace(
        http_limits(settings),
        connections=settings.control_connections,
        body_bytes=body_bytes,
        pipelined=1,
        evicts_idle=True,
    )
