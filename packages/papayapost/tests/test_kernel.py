from dataclasses import dataclass
from random import Random

import pytest

from papayapost.errors import UnknownRow
from papayapost.ids import Micros
from papayapost.kernel import System, Table, World


@dataclass
class Countdown:
    number: int


@dataclass
class Number:
    number: int


class EmitNumbers(System):
    consumes = (Number,)

    def run(self, tick):
        for item in tick.take(Number):
            tick.emit(item.number)


class DecrementCountdown(System):
    consumes = (Countdown,)

    def run(self, tick):
        for countdown in tick.take(Countdown):
            tick.post(Number(countdown.number))
            if countdown.number:
                tick.post(Countdown(countdown.number - 1))


def test_a_message_to_an_earlier_system_is_processed_in_the_same_tick():
    world = World([EmitNumbers(), DecrementCountdown()], Random(1))
    assert world.tick(Micros(0), [Countdown(2)]) == [2, 1, 0]


def test_an_endless_cycle_of_messages_raises_an_error():
    world = World([EmitNumbers(), DecrementCountdown()], Random(1))
    with pytest.raises(RuntimeError, match="Countdown"):
        world.tick(Micros(0), [Countdown(1000)])


def test_a_timer_that_is_set_again_fires_once():
    world = World([EmitNumbers()], Random(1))
    for due_us in range(200, 100, -1):
        world.timers.set("key", Micros(due_us), Number(due_us))
    assert world.next_due_us() == 101
    assert world.tick(Micros(100)) == []
    assert world.tick(Micros(300)) == [101]
    assert world.next_due_us() is None


def test_reindex_updates_the_index_of_a_changed_row():
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
