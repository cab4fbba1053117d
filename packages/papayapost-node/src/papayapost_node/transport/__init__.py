"""Sends and receives the frames between nodes."""

from papayapost_node.transport.admission import PeerLimits
from papayapost_node.transport.base import DroppedCallback, FrameListener, PeerTransport
from papayapost_node.transport.peers import PeerRow, PeerTable
from papayapost_node.transport.zmq_transport import ZmqTransport

__all__ = [
    "DroppedCallback",
    "FrameListener",
    "PeerLimits",
    "PeerRow",
    "PeerTable",
    "PeerTransport",
    "ZmqTransport",
]
