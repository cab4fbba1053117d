"""Tables of the ways that rules versions take."""

from collections import deque
from dataclasses import dataclass, field

from papayapost.distribution.lines import LineEdit
from papayapost.distribution.peer_messages import RulesProgress
from papayapost.ids import Address, Micros, NodeId, RuleVersion
from papayapost.kernel import Table
from papayapost.storage import ObjectKey

__all__ = [
    "FeedRow",
    "FetchRow",
    "FollowTable",
    "HistoryRow",
    "KeptRow",
    "RelayTables",
    "StoreRow",
    "TransferRow",
]


@dataclass(slots=True)
class StoreRow:
    """What a node knows of the store's rules object.

    Parameters
    ----------
    watched_after
        Version that the watch waits to change from.
    failures
        Answers in a row that failed.
    accepted_at
        Store version of the accepted object that was read last.
    refused_version
        Lower version that was reported last, to report it once.
    """

    watched_after: int = 0
    failures: int = 0
    accepted_at: int = 0
    refused_version: int | None = None
    is_watching: bool = False


@dataclass(slots=True)
class FetchRow:
    """A snapshot on its way from the parent, or from a child ahead of it.

    Parameters
    ----------
    source
        The node that announced it.
    """

    source: NodeId
    version: RuleVersion
    digest: str
    size_bytes: int
    received: bytearray = field(default_factory=bytearray)
    failures: int = 0


@dataclass(slots=True)
class FollowTable:
    """How this node follows its parent.

    Parameters
    ----------
    failures
        Requests in a row without an answer.
    """

    fetch: FetchRow | None = None
    failures: int = 0


@dataclass(slots=True)
class HistoryRow:
    """One step from a version to the next that was held here."""

    base_version: RuleVersion
    base_digest: str
    version: RuleVersion
    edits: tuple[LineEdit, ...]
    size_bytes: int


@dataclass(slots=True)
class FeedRow:
    """What a child has acknowledged and been sent.

    Parameters
    ----------
    acked
        Newest version that the child said it holds.
    pushes
        Times that the newest version was sent without acknowledgement.
    is_fetching
        Whether the last message told the child to fetch the whole text.
    progress
        The child's last report, or None before the first.
    """

    node_id: NodeId
    address: Address
    acked: RuleVersion
    pushes: int = 0
    is_fetching: bool = False
    progress: RulesProgress | None = None


@dataclass(slots=True)
class TransferRow:
    """A snapshot on its way to a child."""

    node_id: NodeId
    version: RuleVersion
    data: bytes
    last_request_us: Micros


@dataclass(slots=True)
class RelayTables:
    """What a node keeps for its children.

    Parameters
    ----------
    history
        Steps between the last held versions, oldest first.
    behind
        Children that have not acknowledged the newest held version.
    next_chunk_us
        When the next chunk may leave at the bounded rate.
    next_transfer_us
        Until when the coming transfers are given away.
    """

    feeds: Table[NodeId, FeedRow]
    transfers: Table[NodeId, TransferRow]
    history: deque[HistoryRow] = field(default_factory=deque)
    behind: dict[NodeId, None] = field(default_factory=dict)
    next_chunk_us: int = 0
    next_transfer_us: int = 0

    @classmethod
    def empty(cls) -> "RelayTables":
        """Return the tables of a node without children."""
        return cls(Table("feeds"), Table("transfers"))


@dataclass(slots=True)
class KeptRow:
    """An object that this node brings to a wanted value.

    Parameters
    ----------
    known_version
        Store version to replace, or None to read it first.
    is_asked
        Whether a request is under way.
    settled_us
        When the store last showed what the object holds.
    is_confirmed
        Whether an update of this process has succeeded.
    ceded_at
        Store version that was left in place for another writer.
    """

    key: ObjectKey
    wanted: object
    written: object = None
    known_version: int | None = None
    is_asked: bool = False
    is_scheduled: bool = False
    is_confirmed: bool = False
    failures: int = 0
    earliest_us: int = 0
    settled_us: int = 0
    ceded_at: int | None = None
