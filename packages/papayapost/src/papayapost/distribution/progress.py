"""The system that reports acknowledgements up the tree of relays."""

from dataclasses import field

from papayapost.define import define
from papayapost.distribution.fingerprint import add_hashes, node_hash
from papayapost.distribution.messages import (
    ProgressCollected,
    ProgressDue,
    RequestDue,
    RulesInForce,
    RulesRejected,
    RulesStaged,
)
from papayapost.distribution.peer_messages import (
    DataCentreProgress,
    RulesDelta,
    RulesNotice,
    RulesProgress,
)
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.status import Laggard, RefusedVersion
from papayapost.distribution.tables import ChildPushRow, RelayTables
from papayapost.ids import DataCentreId, Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import (
    ChildJoined,
    ChildLeft,
    ParentChanged,
    RoleChanged,
    TreeTables,
)
from papayapost.peering import PeerSend
from papayapost.place import SelfRow

__all__ = ["MAX_LAGGARDS_SENT", "ReportProgress"]

MAX_LAGGARDS_SENT = 20
"""Maximum number of laggards per data centre in a report to the parent."""

_REPORT_WINDOW_US = 200_000


class ReportProgress(System):
    """Aggregates the children's reports and sends the sum to the parent.

    A node without children reports at once. A node with children reports once
    per time window, so that a parent receives at most one message per child
    and window.
    """

    consumes = (
        RulesStaged,
        RulesInForce,
        RulesRejected,
        RulesProgress,
        RulesDelta,
        RulesNotice,
        RequestDue,
        ChildJoined,
        ChildLeft,
        ParentChanged,
        RoleChanged,
        ProgressDue,
    )

    def __init__(
        self, me: SelfRow, rules: RulesTable, relay: RelayTables, tree: TreeTables
    ):
        self._me = me
        self._rules = rules
        self._relay = relay
        self._tree = tree
        self._is_scheduled = False

    def run(self, tick: Tick) -> None:
        """Store the children's reports; send a report when the window ends."""
        for progress in tick.take(RulesProgress):
            row = self._relay.child_pushes.get(progress.sender)
            if row is not None:
                row.progress = progress
        if tick.take(ProgressDue):
            self._is_scheduled = False
            self._report(tick)
        elif self._is_report_needed(tick) and not self._is_scheduled:
            self._schedule(tick)

    def _is_report_needed(self, tick: Tick) -> bool:
        held_version = self._rules.held_version
        # If the parent pushes the held version or an older one again, the
        # acknowledgement was lost and has to be repeated.
        pushed = [message.version for message in tick.take(RulesDelta)]
        pushed += [message.version for message in tick.take(RulesNotice)]
        if any(version <= held_version for version in pushed):
            return True
        return any(tick.take(kind) for kind in _REPORT_TRIGGERS)

    def _schedule(self, tick: Tick) -> None:
        if len(self._relay.child_pushes):
            self._is_scheduled = True
            due_us = Micros(tick.now_us + _REPORT_WINDOW_US)
            tick.set_timer(ProgressDue, due_us, ProgressDue())
        else:
            self._report(tick)

    def _report(self, tick: Tick) -> None:
        parts = self._collect()
        parent = self._tree.parent
        if parent is not None:
            message = RulesProgress(
                self._me.node_id, self._rules.held_version, tuple(parts)
            )
            tick.emit(PeerSend(parent.address, message))
        if self._tree.is_link_relay:
            tick.post(ProgressCollected(tuple(parts)))

    def _collect(self) -> list[DataCentreProgress]:
        version = self._rules.held_version
        sums: dict[DataCentreId, _ProgressSum] = {}
        own = sums.setdefault(self._me.place.data_centre, _ProgressSum())
        own.total = 1
        self._add_self(own)
        for row in self._relay.child_pushes:
            if row.progress is None:
                continue
            for part in row.progress.parts:
                sums.setdefault(part.data_centre, _ProgressSum()).add(
                    version, row, part
                )
        return [sums[name].to_progress(name, version) for name in sorted(sums)]

    def _add_self(self, own: "_ProgressSum") -> None:
        rules = self._rules
        own.keep_newest_refused(rules.refused)
        if rules.in_force is not None and rules.staged is None:
            own.in_force = 1
            own.fingerprint = node_hash(self._me.node_id)
            return
        laggard = Laggard(self._me.node_id, rules.version, self._own_lag_reason())
        own.laggards.append(laggard)

    def _own_lag_reason(self) -> str:
        staged = self._rules.staged
        if staged is None:
            return "holds no rules yet"
        if staged.missing:
            return "does not know " + ", ".join(sorted(staged.missing)[:5])
        if staged.version < self._tree.floor_version:
            return (
                f"holds version {staged.version} but had {self._tree.floor_version} "
                "before its restart; apply the rules again if this persists"
            )
        return "waits for a parent to report the version held before the restart"


_REPORT_TRIGGERS: tuple[type, ...] = (
    RulesStaged,
    RulesInForce,
    RulesRejected,
    RulesProgress,
    RequestDue,
    ChildJoined,
    ChildLeft,
    ParentChanged,
    RoleChanged,
)


@define
class _ProgressSum:
    """Running sums of the progress of one data centre."""

    in_force: int = 0
    fingerprint: int = 0
    total: int = 0
    laggards: list[Laggard] = field(default_factory=list)
    refused: RefusedVersion | None = None

    def add(
        self, version: RuleVersion, row: ChildPushRow, part: DataCentreProgress
    ) -> None:
        self.total += part.nodes_total
        for refused in part.refused:
            self.keep_newest_refused(refused)
        if part.version >= version:
            self.in_force += part.nodes_in_force
            self.fingerprint = add_hashes(self.fingerprint, part.fingerprint)
            self.laggards.extend(part.laggards)
        else:
            reason = f"has not acknowledged version {version}"
            self.laggards.append(Laggard(row.node_id, part.version, reason))

    def keep_newest_refused(self, refused: RefusedVersion | None) -> None:
        if refused is None:
            return
        if self.refused is None or self.refused.version < refused.version:
            self.refused = refused

    def to_progress(
        self, name: DataCentreId, version: RuleVersion
    ) -> DataCentreProgress:
        return DataCentreProgress(
            name,
            version,
            self.in_force,
            self.total,
            self.fingerprint,
            tuple(self.laggards[:MAX_LAGGARDS_SENT]),
            () if self.refused is None else (self.refused,),
        )
