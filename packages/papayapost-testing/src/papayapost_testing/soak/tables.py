"""Tables of the soak: nodes, links, servers, calls, runs and findings."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from papayapost.ids import InstanceId, Micros, NodeId, RequestName
from papayapost.kernel import Table
from papayapost_testing.soak.bounds import STABLE_WINDOW_US
from papayapost_testing.soak.rows import (
    NEVER,
    CallRow,
    FindingRow,
    NodeRow,
    RunRow,
    ServerRow,
    TroubleRow,
    VersionNumber,
    VersionRow,
    WaitRow,
)

__all__ = ["SoakTables"]


@dataclass
class SoakTables:
    """All tables of the soak.

    Attributes
    ----------
    faults_ended_us
        Time at which the last fault ended, or `NEVER`.
    is_ending
        Whether the soak stops its processes and starts no more.
    is_store_away
        Whether the store answers nobody, the operator included.
    ended_processes
        Copies of the node rows, made when their processes ended.
    lags
        Spans of time in µs in which the soak itself did not get to run.
    waits
        How long each node's process has waited for a core.
    """

    nodes: Table[NodeId, NodeRow] = field(default_factory=lambda: Table("nodes"))
    servers: Table[tuple[InstanceId, int], ServerRow] = field(
        default_factory=lambda: Table("servers")
    )
    versions: Table[VersionNumber, VersionRow] = field(
        default_factory=lambda: Table("versions")
    )
    calls: Table[RequestName, CallRow] = field(default_factory=lambda: Table("calls"))
    runs: dict[RequestName, list[RunRow]] = field(default_factory=dict)
    troubles: list[TroubleRow] = field(default_factory=list)
    findings: list[FindingRow] = field(default_factory=list)
    faults_ended_us: Micros = NEVER
    is_ending: bool = False
    is_store_away: bool = False
    ended_processes: list[NodeRow] = field(default_factory=list)
    lags: list[tuple[Micros, Micros]] = field(default_factory=list)
    waits: dict[NodeId, list[WaitRow]] = field(default_factory=dict)

    def newest(self) -> VersionRow:
        """Return the rules version that was acknowledged last."""
        return list(self.versions)[-1]

    def troubles_in(
        self, node_id: NodeId | None, from_us: int, to_us: int
    ) -> Iterator[TroubleRow]:
        """Return the troubles in a span, of one node or, for None, of all.

        The span is extended by the stable window before `from_us`.
        """
        first_us = from_us - STABLE_WINDOW_US
        for row in self.troubles:
            is_there = node_id is None or row.node_id in (None, node_id)
            is_over = row.ended_us is not None and row.ended_us < first_us
            if is_there and row.began_us <= to_us and not is_over:
                yield row

    def is_calm(self, node_id: NodeId, from_us: int, to_us: int) -> bool:
        """Return whether a node had no trouble in a span."""
        return next(self.troubles_in(node_id, from_us, to_us), None) is None

    def has_only_planned(self, from_us: int, to_us: int) -> bool:
        """Return whether no node had an unplanned trouble in a span."""
        return all(row.is_planned for row in self.troubles_in(None, from_us, to_us))

    def lag_us(self, from_us: int, to_us: int) -> Micros:
        """Return for how much of a span the soak did not get to run."""
        overlaps = (min(to_us, end) - max(from_us, begin) for begin, end in self.lags)
        return Micros(sum(max(0, overlap) for overlap in overlaps))

    def wait_us(self, node_id: NodeId, from_us: int, to_us: int) -> Micros:
        """Return how long a node waited for a core around a span, at most."""
        rows = self.waits.get(node_id, ())
        return Micros(
            sum(
                row.waited_us
                for row in rows
                if row.from_us < to_us and from_us < row.to_us
            )
        )

    def find(self, check: str, text: str, at_us: Micros) -> None:
        """Add a finding."""
        self.findings.append(FindingRow(check, text, at_us))
