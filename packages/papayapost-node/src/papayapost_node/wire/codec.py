"""Encodes messages as MessagePack arrays that start with a type number.

The array layouts are derived from the message types. The systems therefore
do not depend on the encoding, and the decoder checks the type of each field.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any

import msgspec

from papayapost.errors import FrameError
from papayapost_node.wire.layouts import Layout, Layouts

__all__ = ["Codec", "MessagePackCodec"]


class Codec(ABC):
    """Encodes messages as frames and decodes frames."""

    @abstractmethod
    def encode(self, message: object) -> bytes:
        """Return the frame that encodes a message."""

    @abstractmethod
    def decode(self, frame: bytes) -> object:
        """Return the message that a frame encodes.

        Raises
        ------
        FrameError
            If the type number is unknown or a field has the wrong type.
        """


class MessagePackCodec(Codec):
    """Encodes a message as a MessagePack array: type number, then fields.

    Parameters
    ----------
    numbers
        Type number of each message type that nodes may send.
    """

    def __init__(self, numbers: Mapping[type, int]):
        layouts = Layouts()
        self._numbers = dict(numbers)
        self._by_type: dict[type, Layout] = {}
        self._by_struct_type: dict[type, Layout] = {}
        for message_type, number in numbers.items():
            layout = layouts.layout_of(message_type, number)
            self._by_type[message_type] = layout
            self._by_struct_type[layout.struct_type] = layout
        union: Any = None
        for struct_type in self._by_struct_type:
            union = struct_type if union is None else union | struct_type
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: object) -> bytes:
        """Return the frame that encodes a message."""
        message_type = type(message)
        values = self._by_type[message_type].to_encodable(message)
        return self._encoder.encode((self._numbers[message_type], *values))

    def decode(self, frame: bytes) -> object:
        """Return the message that a frame encodes; check each field's type."""
        try:
            struct = self._decoder.decode(frame)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise FrameError(
                f"{len(frame)} bytes do not decode to a message: {error}; "
                "check the versions of the two nodes"
            ) from None
        return self._by_struct_type[type(struct)].from_decoded(struct)
