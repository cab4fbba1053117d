"""Classes made by `define` behave like dataclasses with slots."""

import dataclasses
from dataclasses import dataclass, field, replace

import pytest

from papayapost.define import define


def classes(**options):
    """Return the same class made by `define` and by the standard decorator."""

    class Row:
        name: str
        size: int = 3
        tags: list = field(default_factory=list)
        note: str = field(default="", repr=False, compare=False)

    standard = type("Row", (), dict(vars(Row)))
    for item in (Row, standard):
        item.__qualname__ = "Row"
    return define(**options)(Row), dataclass(slots=True, **options)(standard)


@pytest.mark.parametrize("options", [{}, {"frozen": True}, {"order": True}])
@pytest.mark.parametrize("values", [("a",), ("a", 4), ("a", 4, ["x"], "n")])
def test_rows_print_and_compare_like_dataclasses(options, values):
    defined, standard = classes(**options)
    assert repr(defined(*values)) == repr(standard(*values))
    assert defined(*values) == defined(*values)
    assert defined(*values) == replace(defined(*values), note="other")
    assert defined(*values) != defined("b")
    assert defined(*values) != standard(*values)
    assert defined.__match_args__ == standard.__match_args__
    names = [item.name for item in dataclasses.fields(defined)]
    assert names == [item.name for item in dataclasses.fields(standard)]


def test_each_row_has_its_own_value_of_a_factory():
    defined, _ = classes()
    assert defined("a").tags is not defined("a").tags


@pytest.mark.parametrize("arguments", [(), ("a", 1, [], "", "extra")])
def test_wrong_numbers_of_arguments_are_refused(arguments):
    defined, _ = classes()
    with pytest.raises(TypeError):
        defined(*arguments)


def test_rows_have_no_other_attributes():
    defined, _ = classes()
    with pytest.raises(AttributeError):
        defined("a").other = 1


def test_frozen_rows_are_hashable_and_cannot_change():
    @define(frozen=True)
    class Key:
        name: str
        number: int = 0

    key = Key("a")
    assert {key: 1}[Key("a", 0)] == 1
    with pytest.raises(dataclasses.FrozenInstanceError):
        key.name = "b"
    with pytest.raises(dataclasses.FrozenInstanceError):
        del key.name


def test_mutable_rows_are_not_hashable_unless_they_compare_by_identity():
    defined, _ = classes()
    with pytest.raises(TypeError):
        hash(defined("a"))

    @define(eq=False)
    class Connection:
        name: str

    one, other = Connection("a"), Connection("a")
    assert one != other
    assert len({one, other}) == 2


def test_ordered_rows_compare_by_their_fields():
    defined, _ = classes(order=True)
    assert defined("a", 2) < defined("a", 3) <= defined("b") > defined("a", 9)
    with pytest.raises(TypeError):
        _ = defined("a") < 1


def test_a_derived_row_has_the_fields_of_its_base_first():
    @define
    class Base:
        name: str

    @define
    class Derived(Base):
        size: int = 1

    assert Derived("a") == Derived("a", 1)
    assert Base("a") != Derived("a")
    assert repr(Derived("a", 2)).endswith("Derived(name='a', size=2)")
