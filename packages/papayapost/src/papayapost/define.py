"""A decorator that makes rows and messages, at a tenth of a dataclass's cost.

The standard decorator compiles the methods of each class when it is defined,
which takes most of the time in which a node starts. Most classes of a mesh are
never used in a given process, so here the methods are compiled at first use.
"""

import dataclasses
from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import TYPE_CHECKING, Any

__all__ = ["define"]

_DEFAULT_PREFIX = "_default_"


def _define(
    cls: type | None = None,
    /,
    *,
    frozen: bool = False,
    order: bool = False,
    eq: bool = True,
) -> Any:
    """Make a class a dataclass with slots; compile its methods at first use.

    `dataclasses.fields`, `dataclasses.replace` and pattern matching work as
    with the standard decorator. `__post_init__` is not supported.

    Parameters
    ----------
    frozen
        Whether attributes cannot be set after creation. Instances of a frozen
        class with `eq` are hashable.
    order
        Whether instances compare by their fields in order.
    eq
        Whether instances with equal fields are equal.

    Examples
    --------
    >>> @define(frozen=True)
    ... class Point:
    ...     x_mm: int
    ...     y_mm: int = 0
    >>> Point(2)
    Point(x_mm=2, y_mm=0)
    >>> Point(2) == Point(2, 0), dataclasses.replace(Point(2), y_mm=3)
    (True, Point(x_mm=2, y_mm=3))
    """
    if cls is None:
        return lambda item: _define(item, frozen=frozen, order=order, eq=eq)
    make = dataclasses.dataclass(init=False, repr=False, eq=False, slots=True)
    defined: Any = make(cls)
    _compile_at_first_use(defined, "__init__", _init if not frozen else _frozen_init)
    defined.__repr__ = _repr
    if eq:
        _compile_at_first_use(defined, "__eq__", _eq)
        if frozen:
            _compile_at_first_use(defined, "__hash__", _hash)
        else:
            defined.__hash__ = None
    if order:
        _add_order(defined)
    if frozen:
        defined.__setattr__ = _refuse_setting
        defined.__delattr__ = _refuse_deleting
    return defined


if TYPE_CHECKING:
    from dataclasses import dataclass as define
else:
    define = _define


def _compile_at_first_use(
    cls: type, name: str, build: Callable[[type], Callable]
) -> None:
    def first_call(self: Any, *args: Any, **kwargs: Any) -> Any:
        method = build(cls)
        method.__qualname__ = f"{cls.__qualname__}.{name}"
        setattr(cls, name, method)
        return method(self, *args, **kwargs)

    setattr(cls, name, first_call)


def _init(cls: type, assign: str = "self.{name} = {value}") -> Callable:
    names: dict[str, Any] = {"MISSING": dataclasses.MISSING, "set": object.__setattr__}
    parameters, body = ["self"], []
    for field in dataclasses.fields(cls):  # type: ignore[arg-type]
        parameter, value = field.name, field.name
        default = f"{_DEFAULT_PREFIX}{field.name}"
        if field.default_factory is not dataclasses.MISSING:
            names[default] = field.default_factory
            parameter += " = MISSING"
            value = f"{default}() if {field.name} is MISSING else {field.name}"
        elif field.default is not dataclasses.MISSING:
            names[default] = field.default
            parameter += f" = {default}"
        parameters.append(parameter)
        body.append("    " + assign.format(name=field.name, value=value))
    source = f"def __init__({', '.join(parameters)}):\n"
    # The source consists of the names of fields, which are identifiers.
    exec(source + ("\n".join(body) or "    pass"), names)
    return names["__init__"]


def _frozen_init(cls: type) -> Callable:
    return _init(cls, "set(self, {name!r}, {value})")


def _eq(cls: type) -> Callable:
    values_of = _values_getter(_compared_names(cls))

    return _comparison(lambda one, other: values_of(one) == values_of(other))


def _hash(cls: type) -> Callable:
    values_of = _values_getter(_compared_names(cls))
    return lambda self: hash((values_of(self),))


def _repr(self: Any) -> str:
    shown = ", ".join(
        f"{field.name}={getattr(self, field.name)!r}"
        for field in dataclasses.fields(self)
        if field.repr
    )
    return f"{type(self).__qualname__}({shown})"


def _add_order(cls: Any) -> None:
    values_of = _values_getter(_compared_names(cls))
    cls.__lt__ = _comparison(lambda one, other: values_of(one) < values_of(other))
    cls.__le__ = _comparison(lambda one, other: values_of(one) <= values_of(other))
    cls.__gt__ = _comparison(lambda one, other: values_of(one) > values_of(other))
    cls.__ge__ = _comparison(lambda one, other: values_of(one) >= values_of(other))


def _comparison(compare: Callable[[Any, Any], bool]) -> Callable:
    def method(self: Any, other: Any) -> Any:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return compare(self, other)

    return method


def _refuse_setting(self: Any, name: str, value: object) -> None:
    raise dataclasses.FrozenInstanceError(f"cannot assign to field {name!r}")


def _refuse_deleting(self: Any, name: str) -> None:
    raise dataclasses.FrozenInstanceError(f"cannot delete field {name!r}")


def _compared_names(cls: type) -> list[str]:
    return [
        field.name
        for field in dataclasses.fields(cls)  # type: ignore[arg-type]
        if field.compare
    ]


def _values_getter(names: Sequence[str]) -> Callable[[Any], Any]:
    if not names:
        return lambda row: ()
    return attrgetter(*names)
