"""The steps of the demo."""

from papayapost_testing.demo.plans import Deployment, plan_nodes
from papayapost_testing.demo.tables import StepKind, StepRow

__all__ = ["build_script"]

_CONVERGENCE_LIMIT_MS = 5_000


def build_script(deployment: Deployment) -> list[StepRow]:
    """Return the script for a deployment.

    A node of the last data centre is killed, one of the first drained, and
    the second data centre is cut from the store.
    """
    nodes = plan_nodes(deployment)
    killed = next(n for n in nodes if n.place == deployment.places[-1]).node_id
    drained = [n for n in nodes if n.place == deployment.places[0]][-1].node_id
    cut = deployment.places[1].data_centre
    apply = StepKind.APPLY
    return [
        StepRow(StepKind.START_PLATFORM),
        StepRow(apply, "before the nodes start"),
        StepRow(StepKind.START_NODES),
        StepRow(StepKind.IDLE),
        StepRow(StepKind.LOAD, rest_ms=2_000),
        StepRow(apply, "under load", limit_ms=_CONVERGENCE_LIMIT_MS),
        StepRow(StepKind.KILL, killed, rest_ms=3_000),
        StepRow(StepKind.DRAIN, drained),
        StepRow(StepKind.CUT_STORE, cut, rest_ms=1_000),
        StepRow(apply, f"{cut} cut off", limit_ms=_CONVERGENCE_LIMIT_MS),
        StepRow(StepKind.REST, rest_ms=2_000),
        StepRow(StepKind.HEAL_STORE, cut),
        StepRow(StepKind.RESTART, killed),
        StepRow(StepKind.REST, rest_ms=2_000),
        StepRow(StepKind.FINISH),
        StepRow(StepKind.SHOW),
        StepRow(StepKind.COLLECT),
        StepRow(StepKind.STOP),
    ]
