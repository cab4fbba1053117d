"""Encodes typed messages as MessagePack arrays led by a type number.

The array layouts are derived from the message types, so that the decisions
know nothing of the encoding and each field is checked when a frame comes in.
"""

import dataclasses
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, get_type_hints

import msgspec

from papayapost.errors import FrameError

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
        self._numbers = dict(numbers)
        self._mirrors: dict[tuple[type, int | None], type] = {}
        mirrors = [self._mirror(kind, number) for kind, number in self._numbers.items()]
        union: Any = mirrors[0]
        for mirror in mirrors[1:]:
            union = union | mirror
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)

    def encode(self, message: object) -> bytes:
        """Return the frame of a message."""
        number = self._numbers[type(message)]
        return self._encoder.encode((number, *_fields_of(message)))

    def decode(self, frame: bytes) -> object:
        """Return the message of a frame, every field checked."""
        try:
            mirror = self._decoder.decode(frame)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise FrameError(
                f"{len(frame)} bytes do not decode to a message: {error}; "
                "check the versions of the two nodes"
            ) from None
        return _message_of(mirror)

    def _mirror(self, kind: Any, number: int | None) -> type:
        known = self._mirrors.get((kind, number))
        if known is not None:
            return known
        hints = get_type_hints(kind)
        names = [item.name for item in dataclasses.fields(kind)]
        fields = [(name, self._mirror_hint(hints[name])) for name in names]
        mirror = msgspec.defstruct(
            kind.__name__,
            fields,
            namespace={"message_type": kind},
            array_like=True,
            tag=number,
        )
        self._mirrors[kind, number] = mirror
        return mirror

    def _mirror_hint(self, hint: Any) -> Any:
        if dataclasses.is_dataclass(hint):
            return self._mirror(hint, None)
        origin = getattr(hint, "__origin__", None)
        if origin in (tuple, list):
            arguments = tuple(self._mirror_hint(a) for a in hint.__args__)
            return origin[arguments]
        return hint


def _fields_of(message: Any) -> tuple:
    return tuple(
        _plain(getattr(message, name)) for name in type(message).__dataclass_fields__
    )


def _plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return _fields_of(value)
    if type(value) is tuple or type(value) is list:
        return [_plain(item) for item in value]
    return value


def _message_of(mirror: Any) -> Any:
    message_type = getattr(mirror, "message_type", None)
    if message_type is not None:
        values = [_message_of(getattr(mirror, f)) for f in mirror.__struct_fields__]
        return message_type(*values)
    if type(mirror) is tuple:
        return tuple(_message_of(item) for item in mirror)
    if type(mirror) is list:
        return [_message_of(item) for item in mirror]
    return mirror
