"""Carries frames between nodes."""

from papayapost_node.transport.base import FrameHandler, PeerTransport
from papayapost_node.transport.zmq_transport import ZmqTransport

__all__ = ["FrameHandler", "PeerTransport", "ZmqTransport"]
