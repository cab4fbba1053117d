"""Servers that restart or hang under load, and how they were used then."""

from dataclasses import dataclass

from papayapost.ids import NodeId, ServiceName
from papayapost.states import Rank
from papayapost_testing.load_patterns.figures import CallEnd
from papayapost_testing.load_patterns.rows import (
    KindRow,
    LoadPattern,
    ServiceRow,
    Trouble,
    TroubleRow,
)
from papayapost_testing.load_patterns.simulation import LoadSimulation, RunRow
from papayapost_testing.traffic_worlds import FOUR_PLACES

__all__ = ["START_CASES", "StartCase", "StartFigures", "measure_start"]

_FEEDS = ServiceName("feeds")
_SLOTS, _WORK_MS, _TARGET_MS, _TIMEOUT_MS = 9, 390, 1_086, 4_000
_SPEEDS = (0.6, 0.8, 1.0, 1.1, 1.6, 0.9)
_HANGING_FROM_S, _LEFT_S, _STARTED_S, _END_S = 3, 6, 8, 20
_BEFORE_S = (1.0, 3.0)
"""Time before any trouble, in which the usual part of the servers counts."""

_STEP_S, _WINDOW_S = 0.25, 1.5
_FULL_SHARE = 0.8
_FIRST_S = 5
_COUNTED_S = 10


@dataclass(frozen=True, slots=True)
class StartCase:
    """What happens to some servers of a service.

    Parameters
    ----------
    factor, cold_s
        How many times as slow a new process is, and for how long.
    """

    name: str
    trouble: Trouble
    factor: float = 1.0
    cold_s: float = 0.0
    servers: int = 1


_RESTARTS = tuple(
    StartCase(name, Trouble.RESTARTING, *case)
    for name, *case in (
        ("never cold", 1, 0),
        ("2 times, 1 s", 2, 1),
        ("2 times, 3 s", 2, 3),
        ("2 times, 10 s", 2, 10),
        ("5 times, 1 s", 5, 1),
        ("5 times, 3 s", 5, 3),
        ("5 times, 10 s", 5, 10),
        ("five, never cold", 1, 0, 5),
        ("five, 2 times, 3 s", 2, 3, 5),
        ("five, 5 times, 3 s", 5, 3, 5),
    )
)

START_CASES = (*_RESTARTS, StartCase("hung", Trouble.HANGING))


@dataclass(frozen=True, slots=True)
class StartFigures:
    """How the servers were used after they had started.

    Attributes
    ----------
    full_s
        Time until they began, in a window of 1.5 s, 0.8 of the part of the
        calls that they had before; infinite if they did not.
    missed, begun
        Calls that they began in their first 10 s, and those of them that were
        not answered in time.
    idle
        Share of their slots that were idle in their first 5 s.
    timely
        Share of all calls of the run that were answered in time.
    """

    full_s: float
    missed: int
    begun: int
    idle: float
    timely: float


def measure_start(
    case: StartCase, is_adaptive: bool, load: float, seed: int, places: int = 4
) -> StartFigures:
    """Run a case at a load, in shares of the slots, and return its figures."""
    simulation = LoadSimulation(_pattern(case, is_adaptive, load, places), seed)
    figures = simulation.run()["feed"]
    started = {name for name, row in simulation.servers.items() if row.troubles}
    runs = [run for run in simulation.runs if run.node_id in started]
    others = [run for run in simulation.runs if run.node_id not in started]
    first = [run for run in runs if 0 <= _age_s(run) < _COUNTED_S]
    return StartFigures(
        _full_s(runs, others),
        sum(run.request.end is not CallEnd.TIMELY for run in first),
        len(first),
        _idle(runs, started),
        figures.share(CallEnd.TIMELY),
    )


def _pattern(
    case: StartCase, is_adaptive: bool, load: float, places: int
) -> LoadPattern:
    servers = dict.fromkeys(FOUR_PLACES[:places], 4)
    count = 4 * places
    per_s = load * count * _SLOTS / (_WORK_MS / 1000)
    from_s = _HANGING_FROM_S if case.trouble is Trouble.HANGING else _LEFT_S
    return LoadPattern(
        case.name,
        (ServiceRow(_FEEDS, _SLOTS, servers, _SPEEDS),),
        (
            KindRow(
                "feed",
                _FEEDS,
                Rank.URGENT,
                per_s,
                _WORK_MS,
                _TARGET_MS,
                _TIMEOUT_MS,
                _TIMEOUT_MS,
            ),
        ),
        _END_S,
        troubles=(
            TroubleRow(
                from_s,
                _STARTED_S,
                _FEEDS,
                case.trouble,
                case.servers / count,
                case.factor,
                cold_s=case.cold_s,
            ),
        ),
        has_adaptive_start=is_adaptive,
    )


def _age_s(run: RunRow) -> float:
    return run.started_us / 1e6 - _STARTED_S


def _full_s(runs: list[RunRow], others: list[RunRow]) -> float:
    usual = _begun_in(runs, *_BEFORE_S) / max(1, _begun_in(others, *_BEFORE_S))
    from_s = float(_STARTED_S)
    while (to_s := from_s + _WINDOW_S) <= _END_S:
        part = _begun_in(runs, from_s, to_s) / max(1, _begun_in(others, from_s, to_s))
        if part >= _FULL_SHARE * usual:
            return from_s - _STARTED_S
        from_s += _STEP_S
    return float("inf")


def _begun_in(runs: list[RunRow], from_s: float, to_s: float) -> int:
    return sum(from_s <= run.started_us / 1e6 < to_s for run in runs)


def _idle(runs: list[RunRow], started: set[NodeId]) -> float:
    begin_us, end_us = _STARTED_S * 1e6, (_STARTED_S + _FIRST_S) * 1e6
    busy_us = sum(
        max(0.0, min(end_us, run.ended_us or end_us) - max(begin_us, run.started_us))
        for run in runs
    )
    return 1 - busy_us / (len(started) * _SLOTS * (end_us - begin_us))
