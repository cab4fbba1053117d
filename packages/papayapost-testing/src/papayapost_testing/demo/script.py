"""The steps of the demo."""

from abc import ABC, abstractmethod
from typing import ClassVar

from papayapost_testing.demo.plans import Deployment, plan_nodes
from papayapost_testing.demo.tables import DemoTables, StepKind, StepRow
from papayapost_testing.load.tables import LoadTables

__all__ = ["CONVERGENCE_LIMIT_MS", "MinuteScript", "Script", "closing", "opening"]

CONVERGENCE_LIMIT_MS = 5_000


class Script(ABC):
    """Steps that a deployment goes through, and its own promises."""

    name: ClassVar[str]
    repeats: ClassVar[int] = 1
    """Times that a caller repeats a call that was not answered whole."""

    @abstractmethod
    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps for a deployment."""

    def broken_promises(self, load: LoadTables, demo: DemoTables) -> list[str]:
        """Return a sentence for each broken promise of this script."""
        return []


def opening() -> list[StepRow]:
    """Return the steps up to nodes that serve callers."""
    return [
        StepRow(StepKind.START_PLATFORM),
        StepRow(StepKind.APPLY, "before the nodes start"),
        StepRow(StepKind.START_NODES),
        StepRow(StepKind.LOAD, rest_ms=2_000),
    ]


def closing() -> list[StepRow]:
    """Return the steps from the last call to the last process."""
    return [
        StepRow(StepKind.REST, rest_ms=1_000),
        StepRow(StepKind.FINISH),
        StepRow(StepKind.COLLECT),
        StepRow(StepKind.STOP),
    ]


class MinuteScript(Script):
    """Shows one of each fault.

    A node of the last data centre is killed, one of the first drained, and
    the second data centre is cut from the store.
    """

    name = "minute"

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps for a deployment."""
        nodes = plan_nodes(deployment)
        killed = next(n for n in nodes if n.place == deployment.places[-1]).node_id
        drained = [n for n in nodes if n.place == deployment.places[0]][-1].node_id
        cut = deployment.places[1].data_centre
        apply = StepKind.APPLY
        return [
            StepRow(StepKind.START_PLATFORM),
            StepRow(apply, "before the nodes start"),
            StepRow(StepKind.START_NODES),
            StepRow(StepKind.REST, rest_ms=3_000),
            StepRow(StepKind.IDLE),
            StepRow(StepKind.LOAD, rest_ms=2_000),
            StepRow(apply, "under load", limit_ms=CONVERGENCE_LIMIT_MS),
            StepRow(StepKind.KILL, killed, rest_ms=3_000),
            StepRow(StepKind.DRAIN, drained),
            StepRow(StepKind.CUT_STORE, cut, rest_ms=1_000),
            StepRow(apply, f"{cut} cut off", limit_ms=CONVERGENCE_LIMIT_MS),
            StepRow(StepKind.REST, rest_ms=2_000),
            StepRow(StepKind.HEAL_STORE, cut),
            StepRow(StepKind.RESTART, killed),
            StepRow(StepKind.REST, rest_ms=2_000),
            StepRow(StepKind.FINISH),
            StepRow(StepKind.SHOW),
            StepRow(StepKind.COLLECT),
            StepRow(StepKind.STOP),
        ]
