"""Transports that the node's own is measured against."""

from papayapost_testing.transports.stream import StreamTransport

__all__ = ["StreamTransport"]
