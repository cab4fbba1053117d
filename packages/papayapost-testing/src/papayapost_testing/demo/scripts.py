"""Scripts of rolling restarts, paused processes and a failing store."""

from papayapost.ids import NodeId
from papayapost.states import Rank
from papayapost_testing.demo.plans import Deployment, plan_nodes
from papayapost_testing.demo.script import (
    CONVERGENCE_LIMIT_MS,
    MinuteScript,
    Script,
    closing,
    opening,
)
from papayapost_testing.demo.tables import DemoTables, StepKind, StepRow
from papayapost_testing.load.tables import LoadTables, Verdict
from papayapost_testing.store import FaultsRow

__all__ = ["LINK_RELAY", "SCRIPTS"]

LINK_RELAY = "link relay"
_IDEMPOTENT_RANKS = (Rank.URGENT, Rank.NORMAL, Rank.BULK)
_LOST_REPLIES = 40


class WavesScript(Script):
    """Restarts the whole fleet: a data centre by ones, the others by twos."""

    name = "waves"
    repeats = 0

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps for a deployment."""
        steps = opening()
        for place in deployment.places:
            size = 1 if place == deployment.places[0] else 2
            nodes = [n.node_id for n in plan_nodes(deployment) if n.place == place]
            for first in range(0, len(nodes), size):
                steps.append(_wave(tuple(nodes[first : first + size])))
        return steps + closing()

    def broken_promises(self, load: LoadTables, demo: DemoTables) -> list[str]:
        """Return a sentence if a caller saw an error, or a leaver got work."""
        broken = []
        for tally in load.tallies.values():
            errors = tally.arrived - tally.verdicts[Verdict.WHOLE]
            if errors:
                broken.append(f"{errors} {tally.rank.name.lower()} calls saw an error")
        if demo.offers_to_leavers:
            broken.append(f"{demo.offers_to_leavers} offers went to a known leaver")
        return broken


def _wave(nodes: tuple[NodeId, ...]) -> StepRow:
    return StepRow(StepKind.RESTART_WAVE, ", ".join(nodes), nodes=nodes)


class PausesScript(Script):
    """Pauses a link relay during an edit, then an owner of charges."""

    name = "pauses"

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps for a deployment."""
        charged = deployment.services[0].name
        nodes = plan_nodes(deployment)
        owner = next(n for n in nodes if n.service.name == charged).node_id
        limit_ms = CONVERGENCE_LIMIT_MS
        edit = StepRow(StepKind.APPLY, "link relay paused", limit_ms=limit_ms)
        return [
            *opening(),
            StepRow(StepKind.PAUSE, LINK_RELAY, rest_ms=1_000),
            edit,
            StepRow(StepKind.REST, rest_ms=3_000),
            StepRow(StepKind.RESUME, LINK_RELAY, limit_ms=limit_ms),
            StepRow(StepKind.REST, rest_ms=2_000),
            StepRow(StepKind.PAUSE, owner, rest_ms=8_000),
            StepRow(StepKind.RESUME, owner, limit_ms=limit_ms),
            StepRow(StepKind.REST, rest_ms=2_000),
            *closing(),
        ]


class OutageScript(Script):
    """Takes the store down, slows it, loses its replies, shows old values."""

    name = "outage"

    def build(self, deployment: Deployment) -> list[StepRow]:
        """Return the steps for a deployment."""
        limit_ms = CONVERGENCE_LIMIT_MS
        return [
            *opening(),
            _faults("down", FaultsRow(is_down=True), rest_ms=3_000),
            StepRow(StepKind.TRY_APPLY, "store down"),
            StepRow(StepKind.REST, rest_ms=6_000),
            _faults("none", FaultsRow(), rest_ms=0),
            StepRow(StepKind.APPLY, "after the outage", limit_ms=limit_ms),
            _faults("slow", FaultsRow(slow_ms=500), rest_ms=4_000),
            _faults("lost replies", FaultsRow(lost_replies=_LOST_REPLIES), rest_ms=0),
            StepRow(StepKind.TRY_APPLY, "replies lost"),
            _faults("stale", FaultsRow(is_stale=True), rest_ms=4_000),
            _faults("none", FaultsRow(), rest_ms=500),
            StepRow(StepKind.APPLY, "after all faults", limit_ms=limit_ms),
            *closing(),
        ]

    def broken_promises(self, load: LoadTables, demo: DemoTables) -> list[str]:
        """Return a sentence for each rank that was not served."""
        broken = []
        for rank in _IDEMPOTENT_RANKS:
            tally = load.tallies[rank]
            lost = tally.arrived - tally.verdicts[Verdict.WHOLE]
            if lost:
                broken.append(f"{lost} {rank.name.lower()} calls were not answered")
        charges = load.tallies[Rank.HIGH].verdicts
        unclear = sum(charges.values())
        unclear -= charges[Verdict.WHOLE] + charges[Verdict.NOT_RUN]
        if unclear:
            broken.append(f"{unclear} charges neither whole nor refused as not run")
        return broken


def _faults(title: str, faults: FaultsRow, rest_ms: int) -> StepRow:
    return StepRow(StepKind.SET_FAULTS, title, rest_ms=rest_ms, faults=faults)


SCRIPTS: dict[str, Script] = {
    script.name: script
    for script in (MinuteScript(), WavesScript(), PausesScript(), OutageScript())
}
