"""Draws the faults of a seed before it runs."""

from dataclasses import dataclass
from enum import Enum
from random import Random

from papayapost.ids import Micros
from papayapost_testing.soak.faults import PLANNED_FAULTS, Fault
from papayapost_testing.soak.rows import FaultId
from papayapost_testing.soak.unplanned import (
    UNPLANNED_FAULTS,
    KillAfterDeparture,
    StoreReturnsFromCopy,
)

__all__ = ["FaultRow", "Profile", "draw_plan", "draw_profile"]

_MEAN_GAP_S = 0.8
_PLANNED_PART = 0.5


class Profile(Enum):
    """Which faults the plan of a seed has."""

    PLANNED = "planned work only"
    PLANNED_FIRST = "planned work, then all faults"
    MIXED = "all faults at any time"


@dataclass(slots=True)
class FaultRow:
    """A fault of the plan.

    Parameters
    ----------
    due_us
        Time in µs from the beginning of the faults to its first step.
    random
        Random source of this fault alone.
    """

    fault_id: FaultId
    fault: Fault
    due_us: Micros
    random: Random


@dataclass(frozen=True, slots=True)
class _ApartRow:
    """A kind of fault whose places in the plans are drawn by themselves.

    Parameters
    ----------
    name
        Names the random source of its places, with the seed.
    """

    kind: type[Fault]
    name: str
    mean_gap_s: float


_APART = (
    _ApartRow(KillAfterDeparture, "departures", 6.0),
    _ApartRow(StoreReturnsFromCopy, "returns of the store", 8.0),
)


def draw_profile(seed: int) -> Profile:
    """Return the profile of a seed."""
    return list(Profile)[seed % len(Profile)]


def draw_plan(seed: int, seconds: float) -> list[FaultRow]:
    """Return the faults of a seed, in the order in which they are due.

    Parameters
    ----------
    seconds
        Time in s in which faults begin.
    """
    random = Random(seed)
    profile = draw_profile(seed)
    rows: list[FaultRow] = []
    due_s = random.expovariate(1 / _MEAN_GAP_S)
    while due_s < seconds:
        kinds = _kinds_at(profile, due_s / seconds)
        kind = random.choices(kinds, [kind.weight for kind in kinds])[0]
        rows.append(
            FaultRow(
                FaultId(len(rows)),
                kind(),
                Micros(int(due_s * 1e6)),
                Random(random.getrandbits(32)),
            )
        )
        due_s += random.expovariate(1 / _MEAN_GAP_S)
    if profile is not Profile.PLANNED:
        begin_s = seconds * _PLANNED_PART if profile is Profile.PLANNED_FIRST else 0.0
        for apart in _APART:
            rows += _draw_apart(apart, seed, FaultId(len(rows)), begin_s, seconds)
    return sorted(rows, key=lambda row: row.due_us)


def _draw_apart(
    apart: _ApartRow, seed: int, first_id: FaultId, begin_s: float, end_s: float
) -> list[FaultRow]:
    random = Random(f"{apart.name} of {seed}")
    rows: list[FaultRow] = []
    due_s = begin_s + random.expovariate(1 / apart.mean_gap_s)
    while due_s < end_s:
        fault_id, due_us = FaultId(first_id + len(rows)), Micros(int(due_s * 1e6))
        own = Random(random.getrandbits(32))
        rows.append(FaultRow(fault_id, apart.kind(), due_us, own))
        due_s += random.expovariate(1 / apart.mean_gap_s)
    return rows


def _kinds_at(profile: Profile, part: float) -> list[type[Fault]]:
    is_planned = profile is Profile.PLANNED or (
        profile is Profile.PLANNED_FIRST and part < _PLANNED_PART
    )
    return [*PLANNED_FAULTS, *(() if is_planned else UNPLANNED_FAULTS)]
