"""The deployment that is flooded, and the steps of a run."""

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
from papayapost_testing.load import MixRow

__all__ = [
    "CAPACITY_PER_S",
    "FloodScript",
    "flood_deployment",
    "flood_mixes",
]

_UPSTREAMS = 4
_SLOTS = 4
_SERVICE_MS = 80.0
_CONNECTIONS = 40
_REJOIN_MS = 1_500

CAPACITY_PER_S = _UPSTREAMS * _SLOTS * 1_000 / _SERVICE_MS


def flood_deployment() -> Deployment:
    """Return Fengzheng's mix in one region, all ranks on one service."""
    model = next(item for item in DEPLOYMENTS if item.name == "fengzheng")
    behaviour = BehaviourRow(_SLOTS, _SERVICE_MS)
    service = ServicePlan(ServiceName("flyer"), _UPSTREAMS, _CONNECTIONS, behaviour)
    rules = resources.files(__package__).joinpath("floods.rules").read_text()
    return replace(
        model,
        name="floods",
        places=model.places[:2],
        services=(service,),
        rules=rules,
        edits=(),
        # A refused charge that the caller repeats may run the second time, so
        # that only calls without repeats can show that a refusal was untrue.
        mixes=tuple(
            replace(mix, repeats=0) if mix.is_keyed else mix for mix in model.mixes
        ),
    )


def flood_mixes(flood: FloodRow, usual: Iterable[MixRow]) -> list[MixRow]:
    """Return the usual mix with a flood of one rank on top.

    The weights are loads, as multiples of the capacity.

    >>> from papayapost.states import Rank
    >>> flood = FloodRow(Rank.BULK, 2.0, 1_000)
    >>> mixes = flood_mixes(flood, flood_deployment().mixes)
    >>> round(sum(mix.weight for mix in mixes), 6)
    2.0
    """
    usual = list(usual)
    scale = flood.others_load / sum(mix.weight for mix in usual)
    mixes = [replace(mix, weight=mix.weight * scale) for mix in usual]
    flooding = next(mix for mix in usual if mix.rank is flood.rank)
    extra = replace(flooding, weight=flood.load - flood.others_load)
    return [mix for mix in (*mixes, extra) if mix.weight]


class FloodScript(Script):
    """Starts everything, floods again and again, and stops everything."""

    name = "floods"

    def __init__(self, floods: Iterable[FloodRow]):
        self._floods = list(floods)

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps for a deployment."""
        killed = plan_nodes(deployment)[-1].node_id
        steps = [
            StepRow(StepKind.START_PLATFORM),
            StepRow(StepKind.APPLY, "before the nodes start"),
            StepRow(StepKind.START_NODES),
            StepRow(StepKind.REST, rest_ms=500),
        ]
        for flood in self._floods:
            steps += _steps_of(flood, killed)
        return [*steps, StepRow(StepKind.STOP)]


def _steps_of(flood: FloodRow, killed: str) -> list[StepRow]:
    begin = StepRow(StepKind.FLOOD, flood.name, rest_ms=flood.duration_ms)
    measure = StepRow(StepKind.MEASURE, flood.name, limit_ms=40_000)
    if flood.fault is FloodFault.NONE:
        return [begin, measure]
    begin.rest_ms = flood.duration_ms // 3
    return [
        begin,
        StepRow(StepKind.KILL, killed),
        StepRow(StepKind.SLOW_STORE),
        StepRow(StepKind.REST, rest_ms=flood.duration_ms - begin.rest_ms),
        measure,
        StepRow(StepKind.HEAL_STORE),
        StepRow(StepKind.RESTART, killed),
        StepRow(StepKind.REST, rest_ms=_REJOIN_MS),
    ]
