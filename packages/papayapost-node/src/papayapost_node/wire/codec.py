"""Encodes typed messages as MessagePack arrays led by a type number.

The array layouts are derived from the message types, so that the decisions
know nothing of the encoding and each field is checked when a frame comes in.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any

import msgspec

from papayapost.errors import FrameError
from papayapost_node.wire.layouts import Layout, Layouts

__all__ = ["Codec", "MessagePackCodec"]


class Codec(ABC):
    """Turns messages into frames and back."""

    @abstractmethod
    def encode(self, message: object) -> bytes:
        """Return the frame of a message."""

    @abstractmethod
    def decode(self, frame: bytes) -> object:
        """Return the message of a frame.

        Raises
        ------
        FrameError
            If the frame is of no known type or a field does not fit.
        """


class MessagePackCodec(Codec):
    """One MessagePack array per message: its number, then its fields.

    Parameters
    ----------
    numbers
        Type number of each message that may travel.
    """

    def __init__(self, numbers: Mapping[type, int]):
        layouts = Layouts()
        self._numbers = dict(numbers)
        self._by_type: dict[type, Layout] = {}
        self._by_mirror: dict[type, Layout] = {}
        for kind, number in numbers.items():
            layout = layouts.layout_of(kind, number)
            self._by_type[kind] = layout
            self._by_mirror[layout.mirror] = layout
        mirrors: Any = None
        for mirror in self._by_mirror:
            mirrors = mirror if mirrors is None else mirrors | mirror
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(mirrors)

    def encode(self, message: object) -> bytes:
        """Return the frame of a message."""
        kind = type(message)
        values = self._by_type[kind].to_values(message)
        return self._encoder.encode((self._numbers[kind], *values))

    def decode(self, frame: bytes) -> object:
        """Return the message of a frame, every field checked."""
        try:
            mirror = self._decoder.decode(frame)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise FrameError(
                f"{len(frame)} bytes do not decode to a message: {error}; "
                "check the versions of the two nodes"
            ) from None
        return self._by_mirror[type(mirror)].to_message(mirror)
