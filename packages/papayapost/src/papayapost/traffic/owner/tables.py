"""Tables of the owner node: attempts, its backend server, and counters."""

from dataclasses import field
from enum import Enum
from typing import NewType

from papayapost.define import define
from papayapost.ids import (
    AttemptId,
    InstanceId,
    Micros,
    ServiceName,
    SoftwareVersion,
)
from papayapost.kernel import Table
from papayapost.states import BackendServerState, Rank
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.departures import DepartureTables
from papayapost.traffic.owner_messages import BackendServerReported

__all__ = [
    "OwnBackendRow",
    "OwnedRow",
    "OwnedState",
    "OwnerCounters",
    "OwnerTables",
    "Standing",
    "WorkClass",
    "work_class",
]

WorkClass = NewType("WorkClass", tuple[Rank, bool, Micros | None])
"""Attempts that take similar times: those of rules with the same rank, the
same target latency, and the same leave to run twice."""


def work_class(offer: AttemptOffer) -> WorkClass:
    """Return the class of an offered attempt's work."""
    return WorkClass((offer.rank, offer.idempotent, offer.rule_target_us))


class Standing(Enum):
    """How an attempt competes with others for the slots.

    One below its floor belongs to an account or a kind of request that got too
    few slots. One over its share belongs to an account that got more than its
    share. An inner call is made by a backend server for a running request.
    """

    ORDINARY = "ordinary"
    INNER_CALL = "inner-call"
    BELOW_FLOOR = "below-floor"
    OVER_SHARE = "over-share"


class OwnedState(Enum):
    """State of an attempt at its owner node."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"


@define
class OwnedRow:
    """One attempt at its owner node.

    Parameters
    ----------
    arrived_us, started_us
        Tick times in µs at which the offer arrived and the call started.
    deadline_us
        Tick time in µs at which the attempt's time budget ends.
    charged_us
        Slot time in µs that was charged to the attempt's rank at the start; 0
        if none was.
    has_answer_begun
        Whether the head of the answer has arrived.
    is_shed, is_failed
        Whether the status of the answer says that the backend server sheds
        load, and whether it says that the server failed in any way.
    is_cancelled
        Whether the entry node has cancelled the attempt.
    is_claimed
        Whether the attempt's idempotency key is claimed for it, or a request
        to claim it is under way.
    """

    offer: AttemptOffer
    arrived_us: Micros
    deadline_us: Micros
    state: OwnedState
    started_us: Micros = Micros(0)
    charged_us: float = 0.0
    has_answer_begun: bool = False
    is_shed: bool = False
    is_failed: bool = False
    is_cancelled: bool = False
    is_claimed: bool = False

    @property
    def target_due_us(self) -> int | None:
        """Tick time in µs at which the target latency passes, or None."""
        target_us = self.offer.target_us
        return None if target_us is None else self.arrived_us + target_us

    @property
    def size_bytes(self) -> int:
        """Length of the request body in bytes, 0 if the caller gave none."""
        return self.offer.content_bytes or 0


@define
class OwnBackendRow:
    """The backend server of this node according to its last report.

    Parameters
    ----------
    born_ms
        Unix time in ms at which the backend server's process started.
    sequence
        Number of the report among those of the process.
    slots
        Calls that the backend server runs at once.
    state
        Reported state.
    version
        Version of the software that it runs; empty if it is not known.
    warm_us
        Tick time in µs from which the backend server is as fast as usual.
    """

    instance: InstanceId
    born_ms: int
    sequence: int
    service: ServiceName
    slots: int
    state: BackendServerState
    version: SoftwareVersion = SoftwareVersion("")
    warm_us: Micros = Micros(0)

    @property
    def process(self) -> tuple[InstanceId, int]:
        """Instance and start time, which differ for each backend process."""
        return (self.instance, self.born_ms)


@define
class OwnerCounters:
    """Totals of the owner node since its process started.

    Parameters
    ----------
    started, refused
        Attempts that were started and refused, by rank.
    evicted
        Waiting attempts that were removed to make room for others.
    expired
        Attempts that were refused because too little of their time budget was
        left to run them.
    replayed
        Repeated offers, which were dropped.
    misdirected
        Non-idempotent offers that were meant for an earlier process.
    stale_epochs
        Offers that were sent on a connection replaced since.
    duplicates
        Attempts whose idempotency key another attempt had claimed.
    offers_after_grace
        Offers that arrived after the grace period of a drain.
    over_share
        Attempts refused because their account had more than its share.
    link_full
        Attempts refused because their answer would have waited too long for
        the link of this VM.
    """

    started: list[int] = field(default_factory=lambda: [0] * len(Rank))
    refused: list[int] = field(default_factory=lambda: [0] * len(Rank))
    evicted: int = 0
    expired: int = 0
    replayed: int = 0
    misdirected: int = 0
    stale_epochs: int = 0
    duplicates: int = 0
    offers_after_grace: int = 0
    over_share: int = 0
    link_full: int = 0


class OwnerTables:
    """Attempts that wait for or hold a slot of this node's backend server.

    Parameters
    ----------
    slots
        Calls that the backend server runs at once.

    Attributes
    ----------
    limit
        Largest number of slots that may be in use; adapted to load shedding
        and slowness of the backend server.
    running, running_by_rank
        Number of attempts that hold a slot, in total and by rank.
    waiting
        Number of attempts in the queue.
    waiting_for_claim
        Number of attempts that wait for the claim of their idempotency key.
    refuses_offers
        Whether offers are refused because the grace period of a drain is over.
    is_backend_draining
        Whether the backend server has reported that it drains or has left.
    backend
        The backend server's last report; None before the first.
    unconfirmed
        The newest report of a process that an earlier process of this node may
        have seen leave; None if there is none.
    departures
        The backend process that left last.
    blocked_answers
        Attempts that hold no slot any more, but whose answer waits for credit
        of its entry node.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.limit = slots
        self.running = 0
        self.running_by_rank = [0] * len(Rank)
        self.waiting = 0
        self.waiting_for_claim = 0
        self.refuses_offers = False
        self.is_backend_draining = False
        self.backend: OwnBackendRow | None = None
        self.unconfirmed: BackendServerReported | None = None
        self.departures = DepartureTables()
        self.attempts: Table[AttemptId, OwnedRow] = Table("owned attempts")
        self.blocked_answers: set[AttemptId] = set()
        self.counters = OwnerCounters()

    @property
    def free_slots(self) -> int:
        """Slots within the limit that no running or waiting attempt needs."""
        return max(0, self.limit - self.running - self.waiting)
