"""The system that passes acknowledgements up the tree."""

from dataclasses import dataclass, field

from papayapost.distribution.fingerprint import add_hashes, node_hash
from papayapost.distribution.held import RulesTable
from papayapost.distribution.messages import (
    ProgressCollected,
    ProgressDue,
    RequestDue,
    RulesHeld,
    RulesInForce,
    RulesRejected,
)
from papayapost.distribution.peer_messages import (
    PartProgress,
    RulesDelta,
    RulesNotice,
    RulesProgress,
)
from papayapost.distribution.status import Laggard, RefusedVersion
from papayapost.distribution.tables import FeedRow, RelayTables
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
"""Laggards named for each data centre in one report to the parent."""

_WINDOW_US = 200_000


class ReportProgress(System):
    """Adds up the reports of the children and reports the sum.

    A node without children acknowledges at once; the others once per window,
    so that a change costs each parent one message per child and window.
    """

    consumes = (
        RulesHeld,
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
        """Keep the children's reports and report when the window ends."""
        for progress in tick.take(RulesProgress):
            row = self._relay.feeds.get(progress.sender)
            if row is not None:
                row.progress = progress
        if tick.take(ProgressDue):
            self._is_scheduled = False
            self._report(tick)
        elif self._is_news(tick) and not self._is_scheduled:
            self._schedule(tick)

    def _is_news(self, tick: Tick) -> bool:
        held_version = self._rules.held_version
        # What is held already was pushed again: the acknowledgement was lost.
        pushed = [message.version for message in tick.take(RulesDelta)]
        pushed += [message.version for message in tick.take(RulesNotice)]
        if any(version <= held_version for version in pushed):
            return True
        return any(tick.take(kind) for kind in _NEWS)

    def _schedule(self, tick: Tick) -> None:
        if len(self._relay.feeds):
            self._is_scheduled = True
            due_us = Micros(tick.now_us + _WINDOW_US)
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

    def _collect(self) -> list[PartProgress]:
        version = self._rules.held_version
        sums: dict[DataCentreId, _Sum] = {}
        own = sums.setdefault(self._me.place.data_centre, _Sum())
        own.total = 1
        self._add_self(own)
        for row in self._relay.feeds:
            if row.progress is None:
                continue
            for part in row.progress.parts:
                sums.setdefault(part.data_centre, _Sum()).add(version, row, part)
        return [sums[name].part(name, version) for name in sorted(sums)]

    def _add_self(self, own: "_Sum") -> None:
        rules = self._rules
        own.note_refused(rules.refused)
        if rules.in_force is not None and rules.staged is None:
            own.in_force = 1
            own.fingerprint = node_hash(self._me.node_id)
            return
        laggard = Laggard(self._me.node_id, rules.version, self._own_reason())
        own.laggards.append(laggard)

    def _own_reason(self) -> str:
        staged = self._rules.staged
        if staged is None:
            return "holds no rules yet"
        if staged.missing:
            return "does not know " + ", ".join(sorted(staged.missing)[:5])
        if staged.version < self._tree.floor_version:
            return (
                f"holds version {staged.version} but had {self._tree.floor_version} "
                "before its restart; apply the rules again if this stays"
            )
        return "waits to hear of its version before the restart"


_NEWS: tuple[type, ...] = (
    RulesHeld,
    RulesInForce,
    RulesRejected,
    RulesProgress,
    RequestDue,
    ChildJoined,
    ChildLeft,
    ParentChanged,
    RoleChanged,
)


@dataclass(slots=True)
class _Sum:
    """Progress of one data centre while it is added up."""

    in_force: int = 0
    fingerprint: int = 0
    total: int = 0
    laggards: list[Laggard] = field(default_factory=list)
    refused: RefusedVersion | None = None

    def add(self, version: RuleVersion, row: FeedRow, part: PartProgress) -> None:
        self.total += part.nodes_total
        for refused in part.refused:
            self.note_refused(refused)
        if part.version >= version:
            self.in_force += part.nodes_in_force
            self.fingerprint = add_hashes(self.fingerprint, part.fingerprint)
            self.laggards.extend(part.laggards)
        else:
            reason = f"has not acknowledged version {version}"
            self.laggards.append(Laggard(row.node_id, part.version, reason))

    def note_refused(self, refused: RefusedVersion | None) -> None:
        if refused is None:
            return
        if self.refused is None or self.refused.version < refused.version:
            self.refused = refused

    def part(self, name: DataCentreId, version: RuleVersion) -> PartProgress:
        return PartProgress(
            name,
            version,
            self.in_force,
            self.total,
            self.fingerprint,
            tuple(self.laggards[:MAX_LAGGARDS_SENT]),
            () if self.refused is None else (self.refused,),
        )
