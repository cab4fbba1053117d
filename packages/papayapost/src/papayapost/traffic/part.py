"""Builds the traffic part of a node's world."""

from dataclasses import dataclass

from papayapost.distribution import RulesTable
from papayapost.kernel import System
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.traffic.balancing import BalancingPolicy, NearestOfTwo
from papayapost.traffic.claim_requests import ClaimRequests
from papayapost.traffic.claim_results import SettleClaims
from papayapost.traffic.claims import ClaimKeys
from papayapost.traffic.claims_tables import ClaimPace, ClaimTables
from papayapost.traffic.concurrency import AdaptiveLimit, ConcurrencyLimit
from papayapost.traffic.drain import DrainRow, FinishDrain, StartDrain
from papayapost.traffic.endings import EndCalls
from papayapost.traffic.entry import RouteCalls
from papayapost.traffic.internal import TrafficStarted
from papayapost.traffic.link import LinkBudget
from papayapost.traffic.offers import Offers
from papayapost.traffic.owner import AdmitAttempts
from papayapost.traffic.owner_tables import OwnerTables
from papayapost.traffic.queues import QueueDiscipline, RankedQueues
from papayapost.traffic.replies import Replies
from papayapost.traffic.retries import BudgetedRetries, RetryPolicy
from papayapost.traffic.seen import SeenAttempts
from papayapost.traffic.settle import SettleAttempts
from papayapost.traffic.shares import SharesInForce
from papayapost.traffic.tables import TrafficTables
from papayapost.traffic.track import FailureWatch, TrackUpstreams
from papayapost.traffic.upstreams import Upstreams

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
