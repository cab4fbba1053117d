"""Encoding of the messages between nodes."""

from papayapost_node.wire.carriers import AnswerCarrier, OfferCarrier, RequestHead
from papayapost_node.wire.catalogue import WIRE_NUMBERS
from papayapost_node.wire.codec import Codec, MessagePackCodec

__all__ = [
    "WIRE_NUMBERS",
    "AnswerCarrier",
    "Codec",
    "MessagePackCodec",
    "OfferCarrier",
    "RequestHead",
]
