"""Tables and rows of the systems that transfer rules versions."""

from collections import deque
from dataclasses import field

from papayapost.define import define
from papayapost.distribution.line_edits import LineEdit
from papayapost.distribution.peer_messages import RulesProgress
from papayapost.ids import Address, Micros, NodeId, RuleVersion
from papayapost.kernel import Table
from papayapost.storage import ObjectKey

__all__ = [
    "ChildPushRow",
    "DeltaRow",
    "FetchRow",
    "ReconcileRow",
    "RelayTables",
    "RulesRequestTable",
    "StoreWatchRow",
    "TransferRow",
]


@define
class StoreWatchRow:
    """State of the watch on the rules object and of reads from the store.

    Parameters
    ----------
    watched_after
        Store version of the rules object; the watch returns on a change from
        it.
    failures
        Number of consecutive watches that failed.
    accepted_object_version
        Store version of the accepted object at the last read.
    reported_version
        The older or conflicting version that was last reported, or None. It
        prevents a second report of the same version.
    is_watching
        Whether the node has the role that watches the rules object.
    """

    watched_after: int = 0
    failures: int = 0
    accepted_object_version: int = 0
    reported_version: int | None = None
    is_watching: bool = False


@define
class FetchRow:
    """A snapshot that the node fetches from its parent or a newer child.

    Parameters
    ----------
    source
        Node id of the node that announced the snapshot.
    received
        Bytes of the text received so far.
    failures
        Number of consecutive retries of the current chunk request.
    """

    source: NodeId
    version: RuleVersion
    digest: str
    size_bytes: int
    received: bytearray = field(default_factory=bytearray)
    failures: int = 0


@define
class RulesRequestTable:
    """State of this node's requests for rules.

    Parameters
    ----------
    fetch
        The snapshot that is being fetched, or None.
    failures
        Number of consecutive requests to the parent without an answer.
    """

    fetch: FetchRow | None = None
    failures: int = 0


@define
class DeltaRow:
    """The delta between two consecutive versions that the node held.

    Parameters
    ----------
    size_bytes
        Approximate size of the edits in a message.
    """

    base_version: RuleVersion
    base_digest: str
    version: RuleVersion
    edits: tuple[LineEdit, ...]
    size_bytes: int


@define
class ChildPushRow:
    """State of the pushes of rules versions to one child.

    Parameters
    ----------
    acked_version
        Newest version that the child reported to hold.
    push_count
        Number of pushes and repush timers since the newest version was first
        pushed to the child; 0 once the child has acknowledged the version.
    is_fetching
        Whether the last message was a notice, on which the child fetches the
        whole text.
    progress
        The child's last progress report; None before the first one.
    """

    node_id: NodeId
    address: Address
    acked_version: RuleVersion
    push_count: int = 0
    is_fetching: bool = False
    progress: RulesProgress | None = None


@define
class TransferRow:
    """A snapshot that is being sent to a child in chunks."""

    node_id: NodeId
    version: RuleVersion
    data: bytes
    last_request_us: Micros


@define
class RelayTables:
    """State that a node holds for its children.

    Parameters
    ----------
    child_pushes
        One row per child with the state of the pushes to it.
    transfers
        One row per child that is sent a snapshot.
    history
        Deltas between the last held versions, oldest first.
    lagging
        Children that have not acknowledged the newest held version.
    next_chunk_us
        Earliest time in µs at which the rate limit allows the next chunk.
    next_transfer_us
        Earliest retry time in µs for the next child whose request is deferred
        because the maximum number of transfers is in progress.
    """

    child_pushes: Table[NodeId, ChildPushRow]
    transfers: Table[NodeId, TransferRow]
    history: deque[DeltaRow] = field(default_factory=deque)
    lagging: dict[NodeId, None] = field(default_factory=dict)
    next_chunk_us: int = 0
    next_transfer_us: int = 0

    @classmethod
    def empty(cls) -> "RelayTables":
        """Return the tables of a node without children."""
        return cls(Table("child pushes"), Table("transfers"))


@define
class ReconcileRow:
    """A store object that this node reconciles with a desired value.

    Parameters
    ----------
    desired_value
        The value that the object should hold.
    written_value
        The value that the node last wrote to or read from the object; None
        if it is unknown.
    known_version
        Store version that the next update replaces; None if the object has
        to be read first.
    is_outstanding
        Whether a request to the store is outstanding.
    is_scheduled
        Whether the next request is scheduled.
    is_confirmed
        Whether an update by this process has succeeded.
    failures
        Number of consecutive requests that failed.
    earliest_us
        Earliest time of the next update in µs.
    last_result_us
        Time in µs at which the store last confirmed the object's value.
    yielded_version
        Store version of another writer's value that was left in place.
    """

    key: ObjectKey
    desired_value: object
    written_value: object = None
    known_version: int | None = None
    is_outstanding: bool = False
    is_scheduled: bool = False
    is_confirmed: bool = False
    failures: int = 0
    earliest_us: int = 0
    last_result_us: int = 0
    yielded_version: int | None = None
