"""Rows for a node's search for a parent, its repairs and its suspects."""

from collections import deque
from dataclasses import field

from papayapost.define import define
from papayapost.ids import Address, DataCentreId, Micros, NodeId, RuleVersion

__all__ = ["NEVER", "KnownVersion", "RepairRow", "SeekRow", "SuspectRow"]

NEVER = Micros(0)


@define
class KnownVersion:
    """The rules version that a node last acknowledged, as far as is known."""

    version: RuleVersion
    recorded_us: Micros


@define
class SuspectRow:
    """A member whose suspected failure is being confirmed by probes.

    Parameters
    ----------
    stamp
        Stamp of the member's row at the time of the suspicion.
    helper_count
        Number of helpers that were asked to probe the member.
    unreachable
        Number of helpers that reported the member unreachable.
    answered
        Number of helpers that reported any result.
    """

    node_id: NodeId
    stamp: tuple[int, int]
    helper_count: int
    unreachable: int = 0
    answered: int = 0


@define
class RepairRow:
    """A repair in progress: the rows of one data centre are compared.

    Parameters
    ----------
    source
        Address of the node that serves the repair.
    buckets
        Buckets that differ and have not been requested yet.
    """

    source: Address
    data_centre: DataCentreId
    buckets: deque[int] = field(default_factory=deque)


@define
class SeekRow:
    """State of the search for a parent.

    Parameters
    ----------
    silent_since_us
        Time at which a candidate last answered, or else the search began,
        in µs.
    contacts_read_us
        Time at which contacts were last read from the store, in µs.
    target
        Address of the candidate whose answer is outstanding.
    tried
        Addresses that were asked in this round.
    contacts
        Addresses of nodes recommended by the nodes that were asked.
    stored_contacts
        Addresses of contacts that were read from the store.
    answers
        Number of answers in this round.
    rounds
        Number of finished rounds, which determines the back-off. A new
        search, after a parent was found or lost, starts at 0.
    """

    silent_since_us: Micros = NEVER
    contacts_read_us: Micros = NEVER
    target: Address | None = None
    tried: set[Address] = field(default_factory=set)
    contacts: deque[Address] = field(default_factory=deque)
    stored_contacts: tuple[Address, ...] = ()
    answers: int = 0
    rounds: int = 0
