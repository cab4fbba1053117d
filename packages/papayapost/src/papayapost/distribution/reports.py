"""The system that publishes status reports for the operators."""

from papayapost.distribution.fingerprint import add_hashes, node_hash
from papayapost.distribution.messages import (
    ProgressCollected,
    ReconcileObject,
    RulesStaged,
    StoreBehind,
    StoreCaughtUp,
)
from papayapost.distribution.peer_messages import DataCentreProgress
from papayapost.distribution.status import (
    MAX_REPORTED_LAGGARDS,
    RefusedVersion,
    StatusReport,
    status_key,
)
from papayapost.findings import Finding
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, TreeTables
from papayapost.place import SelfRow

__all__ = ["PublishStatus"]

_STORE_CODE = "D001"
_STORE_REMEDY = (
    "the rules in force stay; apply the rules file again until the store's "
    "version is above the one held"
)


_STORE_RECOVERIES: tuple[type, ...] = (StoreCaughtUp, RulesStaged)


class PublishStatus(System):
    """Publishes the collected progress as one report per data centre."""

    consumes = (ProgressCollected, StoreBehind, StoreCaughtUp, RulesStaged)

    def __init__(self, me: SelfRow, directory: Directory, tree: TreeTables):
        self._me = me
        self._directory = directory
        self._tree = tree
        self._store_fault: RefusedVersion | None = None
        self._parts: dict[str, DataCentreProgress] = {}

    def run(self, tick: Tick) -> None:
        """Publish the collected progress and a fault of the store, if any."""
        if any(tick.take(kind) for kind in _STORE_RECOVERIES):
            self._store_fault = None
        for behind in tick.take(StoreBehind):
            finding = Finding(_STORE_CODE, "store", behind.reason, _STORE_REMEDY)
            self._store_fault = RefusedVersion(behind.version, (finding,))
        for collected in tick.take(ProgressCollected):
            self._parts = {part.data_centre: part for part in collected.parts}
        if self._tree.is_link_relay and self._has_children():
            for part in self._parts.values():
                key = status_key(part.data_centre)
                tick.post(ReconcileObject(key, self._report(part)))

    def _has_children(self) -> bool:
        # A link relay that no other node uses as its parent counts only
        # itself. Unless it knows no other node, it leaves the report to the
        # link relay that has children.
        nodes = sum(part.nodes_total for part in self._parts.values())
        return nodes > 1 or len(self._directory) <= 1

    def _report(self, part: DataCentreProgress) -> StatusReport:
        known_nodes = self._directory.count("data_centre", part.data_centre)
        refused = self._store_fault or (part.refused[0] if part.refused else None)
        laggards = sorted(part.laggards, key=lambda laggard: laggard.node_id)
        return StatusReport(
            part.data_centre,
            self._me.node_id,
            part.version,
            self._min_nodes_in_force(part, known_nodes),
            max(known_nodes, part.nodes_total),
            tuple(laggards[:MAX_REPORTED_LAGGARDS]),
            refused,
        )

    def _min_nodes_in_force(self, part: DataCentreProgress, known_nodes: int) -> int:
        """Return a lower bound of the number of nodes in force.

        Nodes that may be counted twice are subtracted. The full count is
        returned only if the fingerprint covers every node of the directory.
        """
        twice_counted = max(0, part.nodes_total - known_nodes)
        in_force = part.nodes_in_force - min(part.nodes_in_force, twice_counted)
        if in_force < known_nodes or self._covers_directory(part):
            return in_force
        return in_force - 1

    def _covers_directory(self, part: DataCentreProgress) -> bool:
        expected = 0
        for row in self._directory.find("data_centre", part.data_centre):
            expected = add_hashes(expected, node_hash(row.node_id))
        return expected == part.fingerprint
