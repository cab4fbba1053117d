"""Cost of a tick against the number of systems and rows."""

import time
from dataclasses import dataclass
from random import Random

from papayapost.ids import Micros
from papayapost.kernel import System, Table, Tick, World
from papayapost_testing.bench.rows import BenchRow

__all__ = ["run"]

_SYSTEMS = 40


@dataclass(slots=True)
class _Touch:
    key: int


@dataclass(slots=True)
class _Unused:
    pass


class _TouchRows(System):
    consumes = (_Touch,)

    def __init__(self, table: Table[int, list[int]]):
        self._table = table

    def run(self, tick: Tick) -> None:
        for touch in tick.take(_Touch):
            self._table.require(touch.key)[0] += 1
            self._table.reindex(touch.key)


class _Idle(System):
    consumes = (_Unused,)

    def run(self, tick: Tick) -> None:
        raise AssertionError("no message was posted to this system")


class _ScanRows(System):
    """The baseline: looks at every row for the one that changed."""

    consumes = (_Touch,)

    def __init__(self, table: Table[int, list[int]]):
        self._table = table

    def run(self, tick: Tick) -> None:
        keys = {touch.key for touch in tick.take(_Touch)}
        for key, row in self._table.items():
            if key in keys:
                row[0] += 1


def run(short: bool) -> list[BenchRow]:
    """Return µs per tick of one change at three table sizes.

    Parameters
    ----------
    short
        Fewer repetitions.
    """
    repetitions = 200 if short else 5_000
    rows = []
    for size in (100, 1_000, 12_000):
        table: Table[int, list[int]] = Table("rows", {"parity": lambda row: row[0] % 2})
        for key in range(size):
            table.put(key, [key])
        value = _time_us(_TouchRows(table), repetitions)
        baseline = _time_us(_ScanRows(table), repetitions // 10)
        rows.append(BenchRow("tick of one change", size, value, "us", baseline))
    return rows


def _time_us(system: System, repetitions: int) -> float:
    idle = [_Idle() for _ in range(_SYSTEMS)]
    world = World([*idle, system], Random(1))
    start_ns = time.perf_counter_ns()
    for now in range(repetitions):
        world.tick(Micros(now), [_Touch(now % 100)])
    return (time.perf_counter_ns() - start_ns) / repetitions / 1_000
