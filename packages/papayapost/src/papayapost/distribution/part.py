"""Construction of the distribution tables and systems of a node."""

from papayapost.define import define
from papayapost.distribution.accept import AcceptRules
from papayapost.distribution.change_history import ChangeHistory
from papayapost.distribution.confirming import ConfirmRules
from papayapost.distribution.deltas import ApplyDeltas
from papayapost.distribution.direct import (
    ActivateCompiledRules,
    DirectWatchRow,
    FollowStoreEras,
    WatchStore,
)
from papayapost.distribution.evidence import EvidenceRow, EvidenceTables
from papayapost.distribution.newer_children import RequestFromChildren
from papayapost.distribution.progress import ReportProgress
from papayapost.distribution.pushing import PushToChildren, RecordDeltaHistory
from papayapost.distribution.reconciling import ReconcileObjects, reconciled_objects
from papayapost.distribution.region_relays import (
    ApplyRelayedDeltas,
    PushToRegion,
    RecordChanges,
)
from papayapost.distribution.reports import PublishStatus
from papayapost.distribution.requests import FetchSnapshots, RequestFromParent
from papayapost.distribution.rules_sharing import (
    AnswerWaitingPeers,
    RulesAnswers,
    ShareRules,
)
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.snapshots import SendSnapshots
from papayapost.distribution.source import (
    OfferStoredRules,
    PollAcceptedRules,
    RecoverAcceptedRules,
    WatchRules,
)
from papayapost.distribution.start import RaiseVersionFloor, StartDistribution, StartDue
from papayapost.distribution.tables import RelayTables, RulesRequestTable, StoreWatchRow
from papayapost.distribution.versions import ActivateStagedRules, CompileRules
from papayapost.distribution.watch_ranks import WatchRanks
from papayapost.distribution.watch_roles import AssignWatchRole, FollowRelays
from papayapost.kernel import System
from papayapost.membership import Directory, TreeTables
from papayapost.place import SelfRow

__all__ = [
    "DirectDistributionPart",
    "DistributionPart",
    "build_direct_distribution",
    "build_distribution",
]


@define
class DistributionPart:
    """Tables and systems that distribute rules over a tree of relays.

    Parameters
    ----------
    first_messages
        Messages for the first tick of the node.
    """

    rules: RulesTable
    requests: RulesRequestTable
    relay: RelayTables
    systems: list[System]
    first_messages: list[object]


@define
class DirectDistributionPart:
    """Tables and systems that distribute rules without a tree of relays.

    Parameters
    ----------
    ranks
        Ranks of the nodes, by which relays are chosen.
    first_messages
        Messages for the first tick of the node.
    """

    rules: RulesTable
    contact: DirectWatchRow
    ranks: WatchRanks
    systems: list[System]
    first_messages: list[object]


def build_direct_distribution(
    me: SelfRow,
    directory: Directory,
    rules: RulesTable,
    evidence: EvidenceRow | None = None,
) -> DirectDistributionPart:
    """Return the part that distributes rules without a tree of relays.

    The systems are ordered along the path of a rules text, so that a relay
    passes a change on in the tick in which it learns of it.

    Parameters
    ----------
    evidence
        Row that keeps the evidence that no newer rules exist; None if the
        deployment needs none.
    """
    own = directory.get(me.node_id)
    contact = DirectWatchRow(link_mbps=own.link_mbps if own else 0.0)
    history = ChangeHistory()
    ranks = WatchRanks(directory, me.place.region)
    answers = RulesAnswers(me, rules, contact, history)
    tables = EvidenceTables(evidence or EvidenceRow())
    systems: list[System] = [
        AssignWatchRole(me, ranks, rules, contact),
        FollowStoreEras(contact),
        WatchStore(rules, contact),
        ApplyRelayedDeltas(rules, directory),
        ShareRules(me, rules, contact, answers),
        CompileRules(rules),
        RecordChanges(rules, contact, history),
        ActivateCompiledRules(rules),
        AnswerWaitingPeers(answers),
        ConfirmRules(me, directory, rules, contact, tables),
        PushToRegion(me, directory, ranks, rules, contact, history, tables),
        FollowRelays(me, directory, ranks, rules, contact),
    ]
    return DirectDistributionPart(rules, contact, ranks, systems, [StartDue()])


def build_distribution(
    me: SelfRow, directory: Directory, tree: TreeTables
) -> DistributionPart:
    """Return the distribution part of a node that holds no rules yet.

    The systems are ordered along the path of a rules text: sources, staging,
    putting into force, pushing to children, reports. A node therefore
    processes and forwards a change within one tick.
    """
    rules, requests, relay = RulesTable(), RulesRequestTable(), RelayTables.empty()
    store, objects = StoreWatchRow(), reconciled_objects()
    systems: list[System] = [
        StartDistribution(tree),
        WatchRules(rules, store, tree),
        OfferStoredRules(rules, store, tree),
        PollAcceptedRules(store, tree),
        RequestFromParent(me, rules, requests, tree),
        RequestFromChildren(me, rules, tree),
        ApplyDeltas(rules, requests),
        FetchSnapshots(me, rules, requests, tree),
        RaiseVersionFloor(rules, tree),
        CompileRules(rules),
        AcceptRules(rules, tree),
        RecoverAcceptedRules(rules, tree),
        ActivateStagedRules(rules, directory, tree),
        RecordDeltaHistory(rules, relay, tree),
        PushToChildren(me, rules, relay, tree),
        SendSnapshots(me, rules, relay),
        ReportProgress(me, rules, relay, tree),
        PublishStatus(me, directory, tree),
        ReconcileObjects(objects, tree),
    ]
    return DistributionPart(rules, requests, relay, systems, [StartDue()])
