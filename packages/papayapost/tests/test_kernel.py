from dataclasses import dataclass
from random import Random

import pytest

from papayapost.errors import UnknownRow
from papayapost.ids import Micros
from papayapost.kernel import System, Table, World


@dataclass
class Ask:
    number: int


@dataclass
class Told:
    number: int


class Teller(System):
    consumes = (Told,)

    def run(self, tick):
        for told in tick.take(Told):
            tick.emit(told.number)


class Asker(System):
    consumes = (Ask,)

    def run(self, tick):
        for ask in tick.take(Ask):
            tick.post(Told(ask.number))
            if ask.number:
                tick.post(Ask(ask.number - 1))


def test_a_message_to_an_earlier_system_is_taken_in_the_same_tick():
    world = World([Teller(), Asker()], Random(1))
    assert world.tick(Micros(0), [Ask(2)]) == [2, 1, 0]


def test_a_cycle_of_messages_is_reported_instead_of_looping_for_ever():
    world = World([Teller(), Asker()], Random(1))
    with pytest.raises(RuntimeError, match="Ask"):
        world.tick(Micros(0), [Ask(1000)])


def test_a_replaced_timer_fires_once():
    world = World([Teller()], Random(1))
    for due_us in range(200, 100, -1):
        world.timers.set("key", Micros(due_us), Told(due_us))
    assert world.next_due_us() == 101
    assert world.tick(Micros(100)) == []
    assert world.tick(Micros(300)) == [101]
    assert world.next_due_us() is None


def test_an_index_follows_a_changed_row():
    table: Table[int, list[str]] = Table("words", {"first": lambda row: row[0]})
    table.put(1, ["a"])
    table.put(2, ["a"])
    table.require(2)[0] = "b"
    table.reindex(2)
    assert list(table.find("first", "a")) == [["a"]]
    table.pop(1)
    assert list(table.values("first")) == ["b"]
    with pytest.raises(UnknownRow):
        table.require(1)
