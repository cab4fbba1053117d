"""Scripts with rolling restarts, paused processes and store faults."""

from papayapost.ids import NodeId
from papayapost.states import Rank
from papayapost_testing.demo.plans import Deployment, plan_nodes
from papayapost_testing.demo.script import (
    CONVERGENCE_LIMIT_MS,
    MinuteScript,
    Script,
    setup_steps,
    teardown_steps,
)
from papayapost_testing.demo.tables import DemoTables, StepKind, StepRow
from papayapost_testing.load.tables import LoadTables, Verdict
from papayapost_testing.store import FaultsRow

__all__ = ["LINK_RELAY", "SCRIPTS"]

LINK_RELAY = "link relay"
_IDEMPOTENT_RANKS = (Rank.URGENT, Rank.NORMAL, Rank.BULK)
_LOST_REPLIES = 40


class WavesScript(Script):
    """Restarts every node of the deployment in a rolling restart.

    The nodes of the first data centre restart one at a time, those of the
    other data centres two at a time. Callers repeat only calls whose
    connection was refused, so that each error of a node reaches the results.
    """

    name = "waves"
    repeats = 0

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps to run on a deployment, in order."""
        steps = setup_steps()
        for place in deployment.places:
            size = 1 if place == deployment.places[0] else 2
            nodes = [n.node_id for n in plan_nodes(deployment) if n.place == place]
            for first in range(0, len(nodes), size):
                steps.append(_restart_wave(tuple(nodes[first : first + size])))
        return steps + teardown_steps()

    def find_violations(self, load: LoadTables, demo: DemoTables) -> list[str]:
        """Return a sentence for each rank with errors and for late offers.

        A late offer is one that a node sent to an owner node although it knew
        that the owner node was draining.
        """
        violations = []
        for tally in load.tallies.values():
            errors = tally.arrived - tally.verdicts[Verdict.WHOLE]
            if errors:
                violations.append(
                    f"{errors} {tally.rank.name.lower()} calls ended in an error"
                )
        if demo.offers_to_draining_nodes:
            violations.append(
                f"{demo.offers_to_draining_nodes} offers went to nodes known to drain"
            )
        return violations


def _restart_wave(nodes: tuple[NodeId, ...]) -> StepRow:
    return StepRow(StepKind.RESTART_WAVE, ", ".join(nodes), nodes=nodes)


class PausesScript(Script):
    """Pauses a link relay during a rules change, then an owner node.

    The owner node runs calls with idempotency keys.
    """

    name = "pauses"

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps to run on a deployment, in order."""
        keyed_service = deployment.services[0].name
        nodes = plan_nodes(deployment)
        owner = next(n for n in nodes if n.service.name == keyed_service).node_id
        limit_ms = CONVERGENCE_LIMIT_MS
        edit = StepRow(StepKind.APPLY, "link relay paused", limit_ms=limit_ms)
        return [
            *setup_steps(),
            StepRow(StepKind.PAUSE, LINK_RELAY, wait_ms=1_000),
            edit,
            StepRow(StepKind.WAIT, wait_ms=3_000),
            StepRow(StepKind.RESUME, LINK_RELAY, limit_ms=limit_ms),
            StepRow(StepKind.WAIT, wait_ms=2_000),
            StepRow(StepKind.PAUSE, owner, wait_ms=8_000),
            StepRow(StepKind.RESUME, owner, limit_ms=limit_ms),
            StepRow(StepKind.WAIT, wait_ms=2_000),
            *teardown_steps(),
        ]


class OutageScript(Script):
    """Simulates four faults of the object store, one after the other.

    The store is down, answers slowly, loses replies to updates and answers
    reads with old values.
    """

    name = "outage"

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps to run on a deployment, in order."""
        limit_ms = CONVERGENCE_LIMIT_MS
        return [
            *setup_steps(),
            _faults("down", FaultsRow(is_down=True), wait_ms=3_000),
            StepRow(StepKind.TRY_APPLY, "store down"),
            StepRow(StepKind.WAIT, wait_ms=6_000),
            _faults("none", FaultsRow(), wait_ms=0),
            StepRow(StepKind.APPLY, "after the outage", limit_ms=limit_ms),
            _faults("slow", FaultsRow(slow_ms=500), wait_ms=4_000),
            _faults("lost replies", FaultsRow(lost_replies=_LOST_REPLIES), wait_ms=0),
            StepRow(StepKind.TRY_APPLY, "replies lost"),
            _faults("stale", FaultsRow(is_stale=True), wait_ms=4_000),
            _faults("none", FaultsRow(), wait_ms=500),
            StepRow(StepKind.APPLY, "after all faults", limit_ms=limit_ms),
            *teardown_steps(),
        ]

    def find_violations(self, load: LoadTables, demo: DemoTables) -> list[str]:
        """Return a sentence for each rank with a call that failed.

        Calls with idempotency keys may also be refused as not run, because a
        node without the store cannot claim a key.
        """
        violations = []
        for rank in _IDEMPOTENT_RANKS:
            tally = load.tallies[rank]
            failed = tally.arrived - tally.verdicts[Verdict.WHOLE]
            if failed:
                violations.append(
                    f"{failed} {rank.name.lower()} calls got no whole answer"
                )
        keyed_verdicts = load.tallies[Rank.HIGH].verdicts
        unclear = sum(keyed_verdicts.values())
        unclear -= keyed_verdicts[Verdict.WHOLE] + keyed_verdicts[Verdict.NOT_RUN]
        if unclear:
            violations.append(
                f"{unclear} high calls neither whole nor refused as not run"
            )
        return violations


def _faults(title: str, faults: FaultsRow, wait_ms: int) -> StepRow:
    return StepRow(StepKind.SET_FAULTS, title, wait_ms=wait_ms, faults=faults)


SCRIPTS: dict[str, Script] = {
    script.name: script
    for script in (MinuteScript(), WavesScript(), PausesScript(), OutageScript())
}
