"""Measurements of the demo and checks of its guarantees."""

from collections import Counter
from collections.abc import Mapping, Sequence

from papayapost.ids import NodeId
from papayapost.states import Rank
from papayapost_testing.demo.node_metrics import NodeMetrics
from papayapost_testing.demo.script import Script
from papayapost_testing.demo.tables import DemoTables, RolloutRow
from papayapost_testing.load.report import format_tallies
from papayapost_testing.load.tables import LoadTables, Verdict
from papayapost_testing.store import StoreCountsRow

__all__ = ["DemoResults"]

_CONVERGENCE_LIMIT_US = 5_000_000
_IDLE_LIMIT_CORES = 0.01
_MEMORY_LIMIT_BYTES = 64 << 20
_CONTROL_LIMIT_BYTES = 8_000
_TIMELINE_LINES = 16


class DemoResults:
    """Measurements of one deployment.

    Attributes
    ----------
    idle_cores
        Share of a core that each node used while callers sent no calls.
    memory_bytes
        Resident memory of each node after the load, in bytes.
    node_metrics
        Traffic counters of each node that ran until the end.
    timelines
        Output of ``papaya timeline`` with a title, as text.
    elapsed_s
        Time from the start of the nodes to the end of the load, in s.
    runs_by_key
        Number of runs for each idempotency key, over all backend servers.
    store_counts
        Calls that the object store stand-in answered.
    """

    def __init__(self, name: str, script: Script, demo: DemoTables, load: LoadTables):
        self.name = name
        self._script = script
        self._demo = demo
        self._load = load
        self.idle_cores: dict[NodeId, float] = {}
        self.memory_bytes: dict[NodeId, int] = {}
        self.runs_by_key: Counter[str] = Counter()
        self.node_metrics: list[NodeMetrics] = []
        self.timelines: list[str] = []
        self.elapsed_s = 1.0
        self.store_counts = StoreCountsRow()

    def add_runs_by_key(self, runs_by_key: Mapping[str, int]) -> None:
        """Add the runs of one backend server, by idempotency key."""
        self.runs_by_key.update(runs_by_key)

    def add_timeline(self, title: str, lines: Sequence[str]) -> None:
        """Add the output of ``papaya timeline`` for a call or a rules version.

        The first 16 lines are kept; a last line states how many are left out.
        """
        shown = list(lines[:_TIMELINE_LINES])
        if len(lines) > len(shown):
            shown.append(f"... and {len(lines) - len(shown)} more")
        self.timelines.append("\n".join([f"\ntimeline of {title}", *shown]))

    def add_node_metrics(self, node_metrics: NodeMetrics) -> None:
        """Add the metrics of one node."""
        self.node_metrics.append(node_metrics)

    def find_violations(self) -> list[str]:
        """Return a sentence for each guarantee that was violated."""
        violations = list(self._demo.violations)
        violations += self._convergence_violations()
        duplicated = [key for key, count in self.runs_by_key.items() if count > 1]
        if duplicated:
            violations.append(
                f"{len(duplicated)} keys ran more than once: {duplicated[:3]}"
            )
        wrongly_refused = [
            key for key in self._load.not_run_keys if self.runs_by_key[key]
        ]
        if wrongly_refused:
            violations.append(f"{len(wrongly_refused)} keys refused as not run did run")
        missing = [key for key in self._load.whole_keys if not self.runs_by_key[key]]
        if missing:
            violations.append(f"{len(missing)} keys answered as whole never ran")
        violations += self._answer_violations()
        violations += self._script.find_violations(self._load, self._demo)
        return violations

    def summary(self) -> str:
        """Return the measurements as text."""
        parts = [f"\n=== {self.name}", format_tallies(self._load), ""]
        parts += [self._format_rollout(row) for row in self._demo.rollouts]
        parts += [
            self._format_resources(),
            self._format_traffic(),
            self._format_store_calls(),
        ]
        if self._load.refusals:
            refusals = sorted(self._load.refusals.items())
            cells = ", ".join(f"{code} {count}" for code, count in refusals)
            parts.append(f"refusals by code: {cells}")
        if self._demo.rejoin_delays_us:
            parts.append(self._format_rejoins())
        return "\n".join(parts + self.timelines)

    def _convergence_violations(self) -> list[str]:
        return [
            f"version {row.version} took {max(row.delays_us.values()) / 1e6:.1f} s"
            for row in list(self._demo.rollouts)[1:]
            if row.delays_us and max(row.delays_us.values()) > _CONVERGENCE_LIMIT_US
        ]

    def _answer_violations(self) -> list[str]:
        violations = []
        for tally in self._load.tallies.values():
            rank = tally.rank.name.lower()
            if tally.verdicts[Verdict.WRONG_ANSWER]:
                violations.append(f"{rank} calls got the answer of another call")
        urgent = self._load.tallies[Rank.URGENT]
        unanswered = urgent.arrived - urgent.verdicts[Verdict.WHOLE]
        if unanswered:
            violations.append(f"{unanswered} urgent calls got no whole answer")
        return violations

    def _format_rollout(self, row: RolloutRow) -> str:
        centres: dict[str, list[float]] = {}
        for node_id, delay_us in row.delays_us.items():
            node = self._demo.nodes.require(node_id)
            centres.setdefault(node.data_centre, []).append(delay_us / 1e3)
        cells = [
            f"{centre} {len(delays)} nodes, max {max(delays):.0f} ms"
            for centre, delays in sorted(centres.items())
        ]
        return f"version {row.version} ({row.title}): " + "; ".join(cells)

    def _format_rejoins(self) -> str:
        delays_us = self._demo.rejoin_delays_us.values()
        return (
            f"{len(delays_us)} restarted nodes: rules active at most "
            f"{max(delays_us) / 1e3:.0f} ms after they joined; "
            f"{self._demo.offers_to_draining_nodes} offers to nodes known to drain"
        )

    def _format_resources(self) -> str:
        idle = max(self.idle_cores.values(), default=0.0)
        memory_mb = max(self.memory_bytes.values(), default=0) / (1 << 20)
        return (
            f"highest of all nodes: idle {idle:.2%} of a core "
            f"(limit {_IDLE_LIMIT_CORES:.0%}), memory {memory_mb:.1f} MB "
            f"(limit {_MEMORY_LIMIT_BYTES >> 20} MB)"
        )

    def _format_traffic(self) -> str:
        per_node = [item.control_bytes / self.elapsed_s for item in self.node_metrics]
        link_bytes = sum(item.link_bytes for item in self.node_metrics)
        control = sum(item.link_control_bytes for item in self.node_metrics)
        mean = sum(per_node) / max(1, len(per_node))
        return (
            f"control bytes per node and second: mean {mean:,.0f}, highest "
            f"{max(per_node, default=0):,.0f} (limit {_CONTROL_LIMIT_BYTES:,}); over "
            f"the link in {self.elapsed_s:.0f} s: {control:,} of control, "
            f"{link_bytes - control:,} of calls"
        )

    def _format_store_calls(self) -> str:
        counts = self.store_counts
        return (
            f"store: {counts.reads} reads, {counts.writes} writes, "
            f"{counts.conflicts} conflicts, {counts.read_bytes:,} bytes read"
        )
