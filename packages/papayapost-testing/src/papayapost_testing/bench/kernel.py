"""Time of a tick in a world of many idle systems, by number of rows."""

import time
from dataclasses import dataclass
from random import Random

from papayapost.ids import Micros
from papayapost.kernel import System, Table, Tick, World
from papayapost_testing.bench.rows import BenchRow

__all__ = ["run"]

_IDLE_SYSTEMS = 40


@dataclass(slots=True)
class _RowChange:
    key: int


@dataclass(slots=True)
class _UnusedMessage:
    pass


class _ChangeRows(System):
    consumes = (_RowChange,)

    def __init__(self, table: Table[int, list[int]]):
        self._table = table

    def run(self, tick: Tick) -> None:
        for change in tick.take(_RowChange):
            self._table.require(change.key)[0] += 1
            self._table.reindex(change.key)


class _IdleSystem(System):
    consumes = (_UnusedMessage,)

    def run(self, tick: Tick) -> None:
        raise AssertionError("no message was posted to this system")


class _ScanRows(System):
    """Baseline system: scans all rows for the one to change."""

    consumes = (_RowChange,)

    def __init__(self, table: Table[int, list[int]]):
        self._table = table

    def run(self, tick: Tick) -> None:
        keys = {change.key for change in tick.take(_RowChange)}
        for key, row in self._table.items():
            if key in keys:
                row[0] += 1


def run(short: bool) -> list[BenchRow]:
    """Return the time of a tick that changes one row, by table size, in µs.

    Parameters
    ----------
    short
        Run fewer repetitions.
    """
    repetitions = 200 if short else 5_000
    rows = []
    for size in (100, 1_000, 12_000):
        table: Table[int, list[int]] = Table("rows", {"parity": lambda row: row[0] % 2})
        for key in range(size):
            table.put(key, [key])
        value = _time_us(_ChangeRows(table), repetitions)
        baseline = _time_us(_ScanRows(table), repetitions // 10)
        rows.append(BenchRow("tick of one change", size, value, "us", baseline))
    return rows


def _time_us(system: System, repetitions: int) -> float:
    idle = [_IdleSystem() for _ in range(_IDLE_SYSTEMS)]
    world = World([*idle, system], Random(1))
    start_ns = time.perf_counter_ns()
    for now in range(repetitions):
        world.tick(Micros(now), [_RowChange(now % 100)])
    return (time.perf_counter_ns() - start_ns) / repetitions / 1_000
