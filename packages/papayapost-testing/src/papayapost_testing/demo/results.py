"""What the demo measured, and whether every promise held."""

from collections import Counter
from collections.abc import Mapping, Sequence

from papayapost.ids import NodeId
from papayapost.states import Rank
from papayapost_testing.demo.figures import NodeFigures
from papayapost_testing.demo.script import Script
from papayapost_testing.demo.tables import ApplicationRow, DemoTables
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
    """Figures of one deployment.

    Attributes
    ----------
    idle_cores
        Share of a core that each node used while no call was sent.
    memory_bytes
        Resident memory of each node after the load.
    figures
        What each node counted that ran to the end.
    timelines
        What the operators' tool told, as text.
    elapsed_s
        Time from the start of the nodes to the end of the load.
    keys
        How often each idempotency key ran, over all backend servers.
    """

    def __init__(self, name: str, script: Script, demo: DemoTables, load: LoadTables):
        self.name = name
        self._script = script
        self._demo = demo
        self._load = load
        self.idle_cores: dict[NodeId, float] = {}
        self.memory_bytes: dict[NodeId, int] = {}
        self.keys: Counter[str] = Counter()
        self.figures: list[NodeFigures] = []
        self.timelines: list[str] = []
        self.elapsed_s = 1.0
        self.account = StoreCountsRow()

    def add_keys(self, keys: Mapping[str, int]) -> None:
        """Add the keys that one backend server ran."""
        self.keys.update(keys)

    def add_timeline(self, title: str, lines: Sequence[str]) -> None:
        """Add what the operators' tool told of a call or a rule."""
        shown = list(lines[:_TIMELINE_LINES])
        if len(lines) > len(shown):
            shown.append(f"... and {len(lines) - len(shown)} more")
        self.timelines.append("\n".join([f"\ntime line of {title}", *shown]))

    def add_figures(self, figures: NodeFigures) -> None:
        """Add what one node counted."""
        self.figures.append(figures)

    def broken_promises(self) -> list[str]:
        """Return a sentence for each promise that was broken."""
        broken = list(self._demo.broken)
        broken += self._broken_by_convergence()
        doubled = [key for key, count in self.keys.items() if count > 1]
        if doubled:
            broken.append(f"{len(doubled)} keys ran more than once: {doubled[:3]}")
        untrue = [key for key in self._load.not_run_keys if self.keys[key]]
        if untrue:
            broken.append(f"{len(untrue)} refusals said 'not run' of what ran")
        missing = [key for key in self._load.whole_keys if not self.keys[key]]
        if missing:
            broken.append(f"{len(missing)} answers to what never ran")
        broken += self._broken_by_answers()
        broken += self._script.broken_promises(self._load, self._demo)
        return broken

    def summary(self) -> str:
        """Return the figures as text."""
        parts = [f"\n=== {self.name}", format_tallies(self._load), ""]
        parts += [self._convergence(row) for row in self._demo.applications]
        parts += [self._resources(), self._bytes(), self._store_calls()]
        if self._load.refusals:
            refusals = sorted(self._load.refusals.items())
            cells = ", ".join(f"{code} {count}" for code, count in refusals)
            parts.append(f"refusals by code: {cells}")
        if self._demo.rejoin_us:
            parts.append(self._rejoins())
        return "\n".join(parts + self.timelines)

    def _broken_by_convergence(self) -> list[str]:
        return [
            f"version {row.version} took {max(row.delays_us.values()) / 1e6:.1f} s"
            for row in list(self._demo.applications)[1:]
            if row.delays_us and max(row.delays_us.values()) > _CONVERGENCE_LIMIT_US
        ]

    def _broken_by_answers(self) -> list[str]:
        broken = []
        for tally in self._load.tallies.values():
            rank = tally.rank.name.lower()
            if tally.verdicts[Verdict.FOREIGN]:
                broken.append(f"{rank} calls got answers that were not their own")
        urgent = self._load.tallies[Rank.URGENT]
        unanswered = urgent.arrived - urgent.verdicts[Verdict.WHOLE]
        if unanswered:
            broken.append(f"{unanswered} urgent calls went unanswered")
        return broken

    def _convergence(self, row: ApplicationRow) -> str:
        centres: dict[str, list[float]] = {}
        for node_id, delay_us in row.delays_us.items():
            node = self._demo.nodes.require(node_id)
            centres.setdefault(node.data_centre, []).append(delay_us / 1e3)
        cells = [
            f"{centre} {len(delays)} nodes, max {max(delays):.0f} ms"
            for centre, delays in sorted(centres.items())
        ]
        return f"version {row.version} ({row.title}): " + "; ".join(cells)

    def _rejoins(self) -> str:
        delays_us = self._demo.rejoin_us.values()
        return (
            f"{len(delays_us)} restarted nodes: rules in force at most "
            f"{max(delays_us) / 1e3:.0f} ms after they joined; "
            f"{self._demo.offers_to_leavers} offers to known leavers"
        )

    def _resources(self) -> str:
        idle = max(self.idle_cores.values(), default=0.0)
        memory_mb = max(self.memory_bytes.values(), default=0) / (1 << 20)
        return (
            f"node at most: idle {idle:.2%} of a core "
            f"(limit {_IDLE_LIMIT_CORES:.0%}), memory {memory_mb:.1f} MB "
            f"(limit {_MEMORY_LIMIT_BYTES >> 20} MB)"
        )

    def _bytes(self) -> str:
        per_node = [item.control_bytes / self.elapsed_s for item in self.figures]
        link_bytes = sum(item.link_bytes for item in self.figures)
        control = sum(item.link_control_bytes for item in self.figures)
        mean = sum(per_node) / max(1, len(per_node))
        return (
            f"control bytes per node and second: mean {mean:,.0f}, most "
            f"{max(per_node, default=0):,.0f} (limit {_CONTROL_LIMIT_BYTES:,}); over "
            f"the link in {self.elapsed_s:.0f} s: {control:,} of control, "
            f"{link_bytes - control:,} of calls"
        )

    def _store_calls(self) -> str:
        account = self.account
        return (
            f"store: {account.reads} reads, {account.writes} writes, "
            f"{account.conflicts} conflicts, {account.read_bytes:,} bytes read"
        )
