"""The system that reports to the operators."""

from papayapost.distribution.fingerprint import add_hashes, node_hash
from papayapost.distribution.messages import (
    KeepObject,
    ProgressCollected,
    RulesHeld,
    StoreBehind,
    StoreCaughtUp,
)
from papayapost.distribution.peer_messages import PartProgress
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


_ENDS_OF_FAULT: tuple[type, ...] = (StoreCaughtUp, RulesHeld)


class PublishStatus(System):
    """Turns collected progress into one report per data centre."""

    consumes = (ProgressCollected, StoreBehind, StoreCaughtUp, RulesHeld)

    def __init__(self, me: SelfRow, directory: Directory, tree: TreeTables):
        self._me = me
        self._directory = directory
        self._tree = tree
        self._store_fault: RefusedVersion | None = None
        self._parts: dict[str, PartProgress] = {}

    def run(self, tick: Tick) -> None:
        """Report what was collected, and a store that fell behind."""
        if any(tick.take(kind) for kind in _ENDS_OF_FAULT):
            self._store_fault = None
        for behind in tick.take(StoreBehind):
            finding = Finding(_STORE_CODE, "store", behind.reason, _STORE_REMEDY)
            self._store_fault = RefusedVersion(behind.version, (finding,))
        for collected in tick.take(ProgressCollected):
            self._parts = {part.data_centre: part for part in collected.parts}
        if self._tree.is_link_relay and self._has_children():
            for part in self._parts.values():
                key = status_key(part.data_centre)
                tick.post(KeepObject(key, self._report(part)))

    def _has_children(self) -> bool:
        # A stand-by link relay that no relay has chosen sees itself alone and
        # leaves the report to the one that is chosen.
        nodes = sum(part.nodes_total for part in self._parts.values())
        return nodes > 1 or len(self._directory) <= 1

    def _report(self, part: PartProgress) -> StatusReport:
        known = self._directory.count("data_centre", part.data_centre)
        refused = self._store_fault or (part.refused[0] if part.refused else None)
        laggards = sorted(part.laggards, key=lambda laggard: laggard.node_id)
        return StatusReport(
            part.data_centre,
            self._me.node_id,
            part.version,
            self._in_force(part, known),
            max(known, part.nodes_total),
            tuple(laggards[:MAX_REPORTED_LAGGARDS]),
            refused,
        )

    def _in_force(self, part: PartProgress, known: int) -> int:
        """Return the nodes in force, never more than is certain of all."""
        twice_counted = max(0, part.nodes_total - known)
        in_force = part.nodes_in_force - min(part.nodes_in_force, twice_counted)
        if in_force < known or self._is_of_all(part):
            return in_force
        return in_force - 1

    def _is_of_all(self, part: PartProgress) -> bool:
        expected = 0
        for row in self._directory.find("data_centre", part.data_centre):
            expected = add_hashes(expected, node_hash(row.node_id))
        return expected == part.fingerprint
