"""Encoding of the messages between nodes."""

from papayapost_node.wire.carriers import AnswerCarrier, OfferCarrier, RequestHead
from papayapost_node.wire.catalogue import CONTROL_TYPES, WIRE_NUMBERS
from papayapost_node.wire.codec import Codec, MessagePackCodec
from papayapost_node.wire.compression import CompressingCodec

__all__ = [
    "CONTROL_TYPES",
    "WIRE_NUMBERS",
    "AnswerCarrier",
    "Codec",
    "CompressingCodec",
    "MessagePackCodec",
    "OfferCarrier",
    "RequestHead",
]
