"""Deployment, load and steps of the flood benchmark."""

from collections.abc import Iterable
from dataclasses import replace
from importlib import resources

from papayapost.ids import ServiceName
from papayapost_testing.backend import BehaviourRow
from papayapost_testing.demo.plans import (
    DEPLOYMENTS,
    Deployment,
    ServicePlan,
    plan_nodes,
)
from papayapost_testing.demo.script import Script
from papayapost_testing.demo.tables import StepKind, StepRow
from papayapost_testing.floods.tables import FloodFault, FloodRow
from papayapost_testing.load import CallTypeRow

__all__ = [
    "CAPACITY_PER_S",
    "FloodScript",
    "flood_call_types",
    "flood_deployment",
]

_BACKEND_COUNT = 4
_SLOTS = 4
_SERVICE_TIME_MS = 80.0
_CONNECTIONS = 40
_REJOIN_WAIT_MS = 1_500

CAPACITY_PER_S = _BACKEND_COUNT * _SLOTS * 1_000 / _SERVICE_TIME_MS


def flood_deployment() -> Deployment:
    """Return the deployment that is flooded.

    It has the call types and weights of Fengzheng. One service in one region
    with two data centres serves all ranks.
    """
    base = next(item for item in DEPLOYMENTS if item.name == "fengzheng")
    behaviour = BehaviourRow(_SLOTS, _SERVICE_TIME_MS)
    service = ServicePlan(ServiceName("flyer"), _BACKEND_COUNT, _CONNECTIONS, behaviour)
    rules = resources.files(__package__).joinpath("floods.rules").read_text()
    return replace(
        base,
        name="floods",
        places=base.places[:2],
        services=(service,),
        rules=rules,
        edits=(),
        # A keyed call that was refused as not run may run when its caller
        # repeats it. Only calls without repeats can therefore show that a
        # key ran although its call was refused as not run.
        call_types=tuple(
            replace(call_type, repeats=0) if call_type.is_keyed else call_type
            for call_type in base.call_types
        ),
    )


def flood_call_types(
    flood: FloodRow, base_types: Iterable[CallTypeRow]
) -> list[CallTypeRow]:
    """Return the base load with a flood of one rank added.

    The weight of each returned call type is its load, as a multiple of the
    capacity.

    Parameters
    ----------
    flood
        Rank of the flood and the loads to produce.
    base_types
        Call types of the base load, with their relative weights.

    Examples
    --------
    >>> from papayapost.states import Rank
    >>> flood = FloodRow(Rank.BULK, 2.0, 1_000)
    >>> call_types = flood_call_types(flood, flood_deployment().call_types)
    >>> round(sum(call_type.weight for call_type in call_types), 6)
    2.0
    """
    base_types = list(base_types)
    scale = flood.base_load / sum(call_type.weight for call_type in base_types)
    call_types = [
        replace(call_type, weight=call_type.weight * scale) for call_type in base_types
    ]
    flooded_type = next(
        call_type for call_type in base_types if call_type.rank is flood.rank
    )
    extra_type = replace(flooded_type, weight=flood.load - flood.base_load)
    return [call_type for call_type in (*call_types, extra_type) if call_type.weight]


class FloodScript(Script):
    """Starts the deployment, runs the floods in turn and stops it.

    A node that was killed during a flood is restarted before the next flood.
    """

    name = "floods"

    def __init__(self, floods: Iterable[FloodRow]):
        self._floods = list(floods)

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps to run on a deployment, in order."""
        killed = plan_nodes(deployment)[-1].node_id
        steps = [
            StepRow(StepKind.START_PLATFORM),
            StepRow(StepKind.APPLY, "before the nodes start"),
            StepRow(StepKind.START_NODES),
            StepRow(StepKind.WAIT, wait_ms=500),
        ]
        for flood in self._floods:
            steps += _steps_of(flood, killed)
        return [*steps, StepRow(StepKind.STOP_PROCESSES)]


def _steps_of(flood: FloodRow, killed: str) -> list[StepRow]:
    start = StepRow(StepKind.START_FLOOD, flood.name, wait_ms=flood.duration_ms)
    measure = StepRow(StepKind.MEASURE_FLOOD, flood.name, limit_ms=40_000)
    if flood.fault is FloodFault.NONE:
        return [start, measure]
    start.wait_ms = flood.duration_ms // 3
    return [
        start,
        StepRow(StepKind.KILL, killed),
        StepRow(StepKind.SLOW_STORE),
        StepRow(StepKind.WAIT, wait_ms=flood.duration_ms - start.wait_ms),
        measure,
        StepRow(StepKind.HEAL_STORE),
        StepRow(StepKind.RESTART, killed),
        StepRow(StepKind.WAIT, wait_ms=_REJOIN_WAIT_MS),
    ]
