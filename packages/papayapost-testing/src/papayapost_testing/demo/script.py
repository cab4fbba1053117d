"""Base class of the demo's scripts, and the default script."""

from abc import ABC, abstractmethod
from typing import ClassVar

from papayapost_testing.demo.plans import Deployment, plan_nodes
from papayapost_testing.demo.tables import DemoTables, StepKind, StepRow
from papayapost_testing.load.tables import LoadTables

__all__ = [
    "CONVERGENCE_LIMIT_MS",
    "MinuteScript",
    "Script",
    "setup_steps",
    "teardown_steps",
]

CONVERGENCE_LIMIT_MS = 5_000


class Script(ABC):
    """Steps that the demo runs on a deployment, and checks of the results."""

    name: ClassVar[str]
    repeats: ClassVar[int] = 1
    """Number of times that a caller repeats a call without a whole answer."""

    @abstractmethod
    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps to run on a deployment, in order."""

    def find_violations(self, load: LoadTables, demo: DemoTables) -> list[str]:
        """Return a sentence for each violated guarantee of this script.

        Parameters
        ----------
        load
            Results of the load generator.
        demo
            Observations of the director.
        """
        return []


def setup_steps() -> list[StepRow]:
    """Return the steps that start the deployment and the callers."""
    return [
        StepRow(StepKind.START_PLATFORM),
        StepRow(StepKind.APPLY, "before the nodes start"),
        StepRow(StepKind.START_NODES),
        StepRow(StepKind.START_LOAD, wait_ms=2_000),
    ]


def teardown_steps() -> list[StepRow]:
    """Return the steps that end the calls and stop all processes."""
    return [
        StepRow(StepKind.WAIT, wait_ms=1_000),
        StepRow(StepKind.STOP_LOAD),
        StepRow(StepKind.COLLECT),
        StepRow(StepKind.STOP_PROCESSES),
    ]


class MinuteScript(Script):
    """Kills a node, drains a node and cuts a data centre off from the store.

    The killed node is in the last data centre and the drained node in the
    first; the second data centre is the one that loses the object store.
    """

    name = "minute"

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps to run on a deployment, in order."""
        nodes = plan_nodes(deployment)
        killed = next(n for n in nodes if n.place == deployment.places[-1]).node_id
        drained = [n for n in nodes if n.place == deployment.places[0]][-1].node_id
        cut = deployment.places[1].data_centre
        apply = StepKind.APPLY
        return [
            StepRow(StepKind.START_PLATFORM),
            StepRow(apply, "before the nodes start"),
            StepRow(StepKind.START_NODES),
            StepRow(StepKind.WAIT, wait_ms=3_000),
            StepRow(StepKind.MEASURE_IDLE),
            StepRow(StepKind.START_LOAD, wait_ms=2_000),
            StepRow(apply, "under load", limit_ms=CONVERGENCE_LIMIT_MS),
            StepRow(StepKind.KILL, killed, wait_ms=3_000),
            StepRow(StepKind.DRAIN, drained),
            StepRow(StepKind.CUT_STORE, cut, wait_ms=1_000),
            StepRow(apply, f"{cut} cut off", limit_ms=CONVERGENCE_LIMIT_MS),
            StepRow(StepKind.WAIT, wait_ms=2_000),
            StepRow(StepKind.HEAL_STORE, cut),
            StepRow(StepKind.RESTART, killed),
            StepRow(StepKind.WAIT, wait_ms=2_000),
            StepRow(StepKind.STOP_LOAD),
            StepRow(StepKind.SHOW_TIMELINE),
            StepRow(StepKind.COLLECT),
            StepRow(StepKind.STOP_PROCESSES),
        ]
