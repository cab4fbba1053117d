"""Read-only pages that a node serves to operators."""

from abc import ABC, abstractmethod

import msgspec

from papayapost.define import define
from papayapost.distribution import DirectWatchRow
from papayapost.ids import DataCentreId, NodeId, RuleVersion, StoreEra
from papayapost.node import NodeWorld
from papayapost.place import SelfRow
from papayapost.timeline import EventRow
from papayapost_node.http import HttpAnswer, SharedLimits
from papayapost_node.observe import CallMeter, EventRecorder
from papayapost_node.transport import PeerTable

__all__ = [
    "AdminPage",
    "MetricsPage",
    "NodeStatus",
    "StatusPage",
    "TimelinePage",
    "TimelineReport",
]

_JSON = [(b"content-type", b"application/json")]
_TEXT = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]


class AdminPage(ABC):
    """A page that the admin listener serves.

    Attributes
    ----------
    path
        Path of the page in its URL.
    """

    path: str

    @abstractmethod
    def render(self) -> HttpAnswer:
        """Return an answer with the current content of the page."""


@define
class TimelineReport:
    """The events that a node holds in memory.

    Parameters
    ----------
    dropped
        Number of older events that were overwritten.
    rows
        Events from oldest to newest.
    """

    node_id: NodeId
    data_centre: DataCentreId
    dropped: int
    rows: list[EventRow]


@define
class NodeStatus:
    """State of a node, as its status page shows it.

    Parameters
    ----------
    version
        The active rules version; 0 while there is none.
    staged_version
        A rules version that waits until its services are known, or None.
    refused_version, refusal
        The newest rules version, if it was refused, and the first reason; None
        and empty if it was not.
    store_era
        Newest era of the store that the node knows; 0 if it knows none.
    older_store_version
        Rules version that the store shows, if it is below the one held by the
        node; None otherwise, and at nodes that do not watch the store.
    """

    node_id: NodeId
    data_centre: DataCentreId
    version: RuleVersion
    staged_version: RuleVersion | None
    is_relay: bool
    is_link_relay: bool
    parent: NodeId | None
    children: int
    directory_rows: int
    free_slots: int
    refused_version: RuleVersion | None = None
    refusal: str = ""
    store_era: StoreEra = StoreEra(0)
    older_store_version: RuleVersion | None = None


class TimelinePage(AdminPage):
    """The page ``/timeline``: the node's latest events as JSON."""

    path = "/timeline"

    def __init__(self, me: SelfRow, recorder: EventRecorder):
        self._self_row = me
        self._recorder = recorder

    def render(self) -> HttpAnswer:
        """Return an answer with the current content of the page."""
        ring = self._recorder.ring
        report = TimelineReport(
            self._self_row.node_id,
            self._self_row.place.data_centre,
            ring.dropped,
            list(ring),
        )
        return HttpAnswer(200, _JSON, msgspec.json.encode(report))


class MetricsPage(AdminPage):
    """The page ``/metrics``: metrics in the Prometheus text format."""

    path = "/metrics"

    def __init__(
        self,
        meter: CallMeter,
        world: NodeWorld,
        peers: PeerTable,
        limits: SharedLimits | None = None,
    ):
        self._limits = limits or SharedLimits()
        self._meter = meter
        self._world = world
        self._peers = peers

    def render(self) -> HttpAnswer:
        """Return an answer with the current content of the page."""
        # Imported here, because its libraries would slow down each start.
        from papayapost_node.observe.exposition import expose

        text = expose(self._meter, self._world, self._peers, self._limits)
        return HttpAnswer(200, _TEXT, text)


class StatusPage(AdminPage):
    """The page ``/status``: the state of the node as JSON."""

    path = "/status"

    def __init__(self, me: SelfRow, world: NodeWorld):
        self._self_row = me
        self._world = world

    def render(self) -> HttpAnswer:
        """Return an answer with the current content of the page."""
        rules = self._world.rules
        tree = self._world.tree
        parent = tree.parent if tree else None
        refused = rules.refused
        contact = self._world.contact or DirectWatchRow()
        is_behind = contact.is_watching and contact.is_behind
        status = NodeStatus(
            node_id=self._self_row.node_id,
            data_centre=self._self_row.place.data_centre,
            version=rules.version,
            staged_version=rules.staged.version if rules.staged else None,
            is_relay=tree is not None and tree.is_relay,
            is_link_relay=tree is not None and tree.is_link_relay,
            parent=parent.node_id if parent else None,
            children=len(tree.children) if tree else 0,
            directory_rows=len(self._world.directory),
            free_slots=self._world.traffic.owner.free_slots,
            refused_version=refused.version if refused else None,
            refusal=str(refused.findings[0]) if refused else "",
            store_era=contact.era,
            older_store_version=contact.shown_version if is_behind else None,
        )
        return HttpAnswer(200, _JSON, msgspec.json.encode(status))
