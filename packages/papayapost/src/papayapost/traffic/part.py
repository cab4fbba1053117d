"""Builds the traffic part of a node's world."""

from dataclasses import dataclass

from papayapost.distribution import RulesTable
from papayapost.kernel import System
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.traffic.claims.keys import ClaimKeys
from papayapost.traffic.claims.pace import ClaimPace
from papayapost.traffic.claims.requests import ClaimRequests
from papayapost.traffic.claims.results import SettleClaims
from papayapost.traffic.claims.tables import ClaimTables
from papayapost.traffic.drain import DrainRow, FinishDrain, StartDrain
from papayapost.traffic.entry.balancing import BalancingPolicy, NearestOfTwo
from papayapost.traffic.entry.endings import EndCalls
from papayapost.traffic.entry.link import LinkBudget
from papayapost.traffic.entry.offers import Offers
from papayapost.traffic.entry.retries import BudgetedRetries, RetryPolicy
from papayapost.traffic.entry.routing import RouteCalls
from papayapost.traffic.entry.settle import SettleAttempts
from papayapost.traffic.entry.tables import TrafficTables
from papayapost.traffic.entry.track import FailureWatch, TrackUpstreams
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.internal import TrafficStarted
from papayapost.traffic.owner.admission import AdmitAttempts
from papayapost.traffic.owner.concurrency import AdaptiveLimit, ConcurrencyLimit
from papayapost.traffic.owner.queues import QueueDiscipline, RankedQueues
from papayapost.traffic.owner.replies import Replies
from papayapost.traffic.owner.seen import SeenAttempts
from papayapost.traffic.owner.shares import SharesInForce
from papayapost.traffic.owner.tables import OwnerTables

__all__ = ["TrafficPart", "build_traffic"]


@dataclass(slots=True)
class TrafficPart:
    """Tables and systems of calls, and what their first tick takes."""

    calls: TrafficTables
    upstreams: Upstreams
    owner: OwnerTables
    claims: ClaimTables
    link: LinkBudget
    drain: DrainRow
    systems: list[System]
    first_messages: list[object]


def build_traffic(
    me: SelfRow,
    directory: Directory,
    rules: RulesTable,
    slots: int,
    retries: RetryPolicy | None = None,
    queue: QueueDiscipline | None = None,
    concurrency: ConcurrencyLimit | None = None,
    balancing: BalancingPolicy | None = None,
) -> TrafficPart:
    """Return the traffic part of a node without any calls.

    Parameters
    ----------
    slots
        Calls that the own backend server runs at once; 0 without one.
    retries, queue, concurrency, balancing
        In place of `BudgetedRetries`, `RankedQueues`, `AdaptiveLimit` and
        `NearestOfTwo`.
    """
    calls = TrafficTables()
    owner = OwnerTables(slots)
    claims = ClaimTables(me)
    requests = ClaimRequests(claims)
    upstreams = Upstreams(me, directory)
    link = LinkBudget(me)
    drain = DrainRow()
    offers = Offers(me, calls, upstreams, balancing or NearestOfTwo(owner), link)
    watch = FailureWatch(upstreams, calls)
    retries = retries or BudgetedRetries()
    systems: list[System] = [
        StartDrain(me, directory, upstreams, owner, drain),
        TrackUpstreams(directory, upstreams, calls, link),
        RouteCalls(rules, calls, offers),
        SettleClaims(claims, requests),
        ClaimKeys(claims, ClaimPace(rules, directory), requests),
        AdmitAttempts(
            me,
            directory,
            owner,
            SeenAttempts(),
            RankedQueues(slots) if queue is None else queue,
            concurrency or AdaptiveLimit(slots),
            SharesInForce(rules),
            Replies(me, owner),
        ),
        SettleAttempts(calls, upstreams, offers, retries, watch),
        EndCalls(calls, upstreams, offers, retries, watch, link),
        FinishDrain(drain, calls, owner, claims),
    ]
    return TrafficPart(
        calls, upstreams, owner, claims, link, drain, systems, [TrafficStarted()]
    )
