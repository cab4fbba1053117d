"""Encodes and decodes the messages between nodes."""

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
from papayapost_node.wire.codec import Codec, MessagePackCodec
from papayapost_node.wire.compression import CompressingCodec
from papayapost_node.wire.message_numbers import CONTROL_TYPES, MESSAGE_NUMBERS
from papayapost_node.wire.timestamps import TimestampCodec

__all__ = [
    "CONTROL_TYPES",
    "MESSAGE_NUMBERS",
    "AnswerCarrier",
    "AnswerCredit",
    "AnswerPart",
    "Codec",
    "CompressingCodec",
    "InterimAnswer",
    "MessagePackCodec",
    "OfferCarrier",
    "RequestCredit",
    "RequestHead",
    "RequestPart",
    "TimestampCodec",
]
