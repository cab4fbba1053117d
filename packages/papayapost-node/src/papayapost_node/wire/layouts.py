"""Derives how typed messages are laid out as arrays of plain values."""

import dataclasses
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

__all__ = ["Layout", "Layouts"]


class Converter(ABC):
    """Turns one field's value into what is encoded, and back."""

    @abstractmethod
    def to_values(self, value: Any) -> Any:
        """Return what is encoded in place of a value."""

    @abstractmethod
    def to_message(self, mirror: Any) -> Any:
        """Return the value of what was decoded."""


class Layout(Converter):
    """The fields of one message type, in order.

    Fields that hold messages are converted by their own layouts; the others
    pass as they are, and msgspec checks their types when it decodes.

    Parameters
    ----------
    mirror
        The struct type that msgspec decodes an array to.
    nested
        Position and converter of each field that needs one.
    """

    def __init__(
        self, kind: Any, mirror: type, nested: Sequence[tuple[int, Converter]]
    ):
        names = [item.name for item in dataclasses.fields(kind)]
        self._kind = kind
        self._nested = tuple(nested)
        self._values_of = _values_getter(names)
        self.mirror = mirror

    def to_values(self, value: Any) -> Sequence:
        """Return the values of a message's fields."""
        values = self._values_of(value)
        if not self._nested:
            return values
        converted = list(values)
        for position, converter in self._nested:
            converted[position] = converter.to_values(converted[position])
        return converted

    def to_message(self, mirror: Any) -> Any:
        """Return the message that a struct mirrors."""
        values = self._values_of(mirror)
        if not self._nested:
            return self._kind(*values)
        converted = list(values)
        for position, converter in self._nested:
            converted[position] = converter.to_message(converted[position])
        return self._kind(*converted)


class _Optional(Converter):
    def __init__(self, inner: Converter):
        self._inner = inner

    def to_values(self, value: Any) -> Any:
        return None if value is None else self._inner.to_values(value)

    def to_message(self, mirror: Any) -> Any:
        return None if mirror is None else self._inner.to_message(mirror)


class _Each(Converter):
    def __init__(self, kind: Callable, inner: Converter):
        self._kind = kind
        self._inner = inner

    def to_values(self, value: Any) -> list:
        return [self._inner.to_values(item) for item in value]

    def to_message(self, mirror: Any) -> Any:
        return self._kind(self._inner.to_message(item) for item in mirror)


class Layouts:
    """Makes the layout of each message type once."""

    def __init__(self):
        self._known: dict[tuple[type, int | None], Layout] = {}

    def layout_of(self, kind: Any, number: int | None) -> Layout:
        """Return the layout of a message type.

        Parameters
        ----------
        number
            Leads the array; None for a type that only occurs as a field.
        """
        known = self._known.get((kind, number))
        if known is not None:
            return known
        hints = get_type_hints(kind)
        fields: list[Any] = []
        nested = []
        for position, item in enumerate(dataclasses.fields(kind)):
            hint, converter = self._field_of(hints[item.name])
            fields.append(_field(item, hint))
            if converter is not None:
                nested.append((position, converter))
        mirror = msgspec.defstruct(kind.__name__, fields, array_like=True, tag=number)
        layout = self._known[kind, number] = Layout(kind, mirror, nested)
        return layout

    def _field_of(self, hint: Any) -> tuple[Any, Converter | None]:
        """Return what msgspec decodes a field to, and its converter."""
        if dataclasses.is_dataclass(hint):
            layout = self.layout_of(hint, None)
            return layout.mirror, layout
        arguments = [self._field_of(item) for item in get_args(hint)]
        converter = next((item for _, item in arguments if item is not None), None)
        if converter is None:
            return hint, None
        mirrors = tuple(mirror for mirror, _ in arguments)
        origin: Any = get_origin(hint)
        if origin in (tuple, list):
            return origin[mirrors], _Each(origin, converter)
        inner = next(mirror for mirror, item in arguments if item is not None)
        return inner | None, _Optional(converter)


def _field(item: dataclasses.Field, hint: Any) -> tuple:
    # A plain default lets a frame of an older version, which ends earlier,
    # decode; a message as default would be of the unmirrored type.
    has_default = item.default is not dataclasses.MISSING
    is_plain = not dataclasses.is_dataclass(item.default)
    if has_default and is_plain:
        return (item.name, hint, item.default)
    return (item.name, hint)


def _values_getter(names: Sequence[str]) -> Callable[[Any], tuple]:
    if not names:
        return lambda message: ()
    getter = attrgetter(*names)
    if len(names) == 1:
        return lambda message: (getter(message),)
    return getter
