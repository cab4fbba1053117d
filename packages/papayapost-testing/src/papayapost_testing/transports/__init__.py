"""Transports that the node's own transport is compared with."""

from papayapost_testing.transports.stream import StreamTransport

__all__ = ["StreamTransport"]
