"""Derives the layouts of messages as arrays of encodable values."""

import dataclasses
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

__all__ = ["Layout", "Layouts"]


class Converter(ABC):
    """Converts a value to its encodable form and back.

    The encodable form consists of values that msgspec encodes as MessagePack.
    """

    @abstractmethod
    def to_encodable(self, value: Any) -> Any:
        """Return the encodable form of a value."""

    @abstractmethod
    def from_decoded(self, decoded: Any) -> Any:
        """Return the value of a decoded form."""


class Layout(Converter):
    """Converts messages of one type to arrays of their fields, in order.

    Fields that contain other messages are converted by the layouts of those
    messages. All other fields are encoded without conversion; msgspec checks
    their types when it decodes.

    Parameters
    ----------
    message_type
        The dataclass of the messages.
    struct_type
        The msgspec struct type to which an array is decoded. It has the same
        fields as the message type.
    nested
        Position and converter of each field that needs a conversion.
    """

    def __init__(
        self,
        message_type: Any,
        struct_type: type,
        nested: Sequence[tuple[int, Converter]],
    ):
        names = [field.name for field in dataclasses.fields(message_type)]
        self._message_type = message_type
        self._nested = tuple(nested)
        self._values_of = _values_getter(names)
        self._required_count = _required_count(message_type)
        self._defaults = [field.default for field in dataclasses.fields(message_type)]
        self.struct_type = struct_type

    def to_encodable(self, value: Any) -> Sequence:
        """Return the encodable values of a message's fields."""
        values = self._values_of(value)
        # The decoder replaces missing values by their defaults.
        count = len(values)
        while (
            count > self._required_count
            and values[count - 1] == (self._defaults[count - 1])
        ):
            count -= 1
        values = values[:count]
        if not self._nested:
            return values
        converted = list(values)
        for position, converter in self._nested:
            if position < len(converted):
                converted[position] = converter.to_encodable(converted[position])
        return converted

    def from_decoded(self, decoded: Any) -> Any:
        """Return the message with the field values of a decoded struct."""
        values = self._values_of(decoded)
        if not self._nested:
            return self._message_type(*values)
        converted = list(values)
        for position, converter in self._nested:
            converted[position] = converter.from_decoded(converted[position])
        return self._message_type(*converted)


class _OptionalConverter(Converter):
    """Converts a value that may be None."""

    def __init__(self, inner: Converter):
        self._inner = inner

    def to_encodable(self, value: Any) -> Any:
        return None if value is None else self._inner.to_encodable(value)

    def from_decoded(self, decoded: Any) -> Any:
        return None if decoded is None else self._inner.from_decoded(decoded)


class _SequenceConverter(Converter):
    """Converts each item of a list or tuple."""

    def __init__(self, sequence_type: Callable, inner: Converter):
        self._sequence_type = sequence_type
        self._inner = inner

    def to_encodable(self, value: Any) -> list:
        return [self._inner.to_encodable(item) for item in value]

    def from_decoded(self, decoded: Any) -> Any:
        return self._sequence_type(self._inner.from_decoded(item) for item in decoded)


class Layouts:
    """Creates and caches the layouts of message types."""

    def __init__(self):
        self._cache: dict[tuple[type, int | None], Layout] = {}

    def layout_of(self, message_type: Any, number: int | None) -> Layout:
        """Return the layout of a message type.

        Parameters
        ----------
        message_type
            The dataclass of the messages.
        number
            Type number at the start of the array; None for a type that occurs
            only as a field of other messages.
        """
        cached = self._cache.get((message_type, number))
        if cached is not None:
            return cached
        hints = get_type_hints(message_type)
        fields: list[Any] = []
        nested = []
        for position, field in enumerate(dataclasses.fields(message_type)):
            hint, converter = self._decoding_of(hints[field.name])
            fields.append(_struct_field(field, hint))
            if converter is not None:
                nested.append((position, converter))
        struct_type = msgspec.defstruct(
            message_type.__name__, fields, array_like=True, tag=number
        )
        layout = self._cache[message_type, number] = Layout(
            message_type, struct_type, nested
        )
        return layout

    def _decoding_of(self, hint: Any) -> tuple[Any, Converter | None]:
        """Return how a field is decoded.

        Returns
        -------
        tuple
            The type to which msgspec decodes the field, and the converter of
            the field or None if it needs no conversion.
        """
        if dataclasses.is_dataclass(hint):
            layout = self.layout_of(hint, None)
            return layout.struct_type, layout
        arguments = [self._decoding_of(item) for item in get_args(hint)]
        converter = next((item for _, item in arguments if item is not None), None)
        if converter is None:
            return hint, None
        decoded_types = tuple(decoded_type for decoded_type, _ in arguments)
        origin: Any = get_origin(hint)
        if origin in (tuple, list):
            return origin[decoded_types], _SequenceConverter(origin, converter)
        inner_type = next(
            decoded_type for decoded_type, item in arguments if item is not None
        )
        return inner_type | None, _OptionalConverter(converter)


def _struct_field(field: dataclasses.Field, hint: Any) -> tuple:
    # A default makes the field optional, so that a shorter frame of an older
    # node still decodes. A message cannot be the default: it would be of the
    # message type, while the decoder needs a value of the struct type.
    has_default = field.default is not dataclasses.MISSING
    is_plain = not dataclasses.is_dataclass(field.default)
    if has_default and is_plain:
        return (field.name, hint, field.default)
    return (field.name, hint)


def _required_count(message_type: Any) -> int:
    """Return the number of fields up to the last without an empty default.

    Only the defaults None and the empty text are left out of frames.
    """
    fields = dataclasses.fields(message_type)
    return max(
        (at for at, field in enumerate(fields, 1) if field.default not in (None, "")),
        default=0,
    )


def _values_getter(names: Sequence[str]) -> Callable[[Any], tuple]:
    if not names:
        return lambda message: ()
    getter = attrgetter(*names)
    if len(names) == 1:
        return lambda message: (getter(message),)
    return getter
