"""Encoding of the messages between nodes."""

from papayapost_node.wire.carriers import (
    AnswerCarrier,
    AnswerCredit,
    AnswerPart,
    InterimAnswer,
    OfferCarrier,
    RequestCredit,
    RequestHead,
    RequestPart,
)
from papayapost_node.wire.catalogue import WIRE_NUMBERS
from papayapost_node.wire.codec import Codec, MessagePackCodec

__all__ = [
    "WIRE_NUMBERS",
    "AnswerCarrier",
    "AnswerCredit",
    "AnswerPart",
    "Codec",
    "InterimAnswer",
    "MessagePackCodec",
    "OfferCarrier",
    "RequestCredit",
    "RequestHead",
    "RequestPart",
]
