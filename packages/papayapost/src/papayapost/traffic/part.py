"""Builds the tables and systems with which a node handles calls."""

from papayapost.define import define
from papayapost.distribution import EvidenceRow, RulesTable
from papayapost.ids import Micros
from papayapost.kernel import System
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.traffic.claims.keys import ClaimKeys
from papayapost.traffic.claims.rate_limit import ClaimRateLimit
from papayapost.traffic.claims.requests import ClaimStoreRequests
from papayapost.traffic.claims.results import ApplyClaimResults
from papayapost.traffic.claims.tables import ClaimTables
from papayapost.traffic.drain import GRACE_US, DrainRow, FinishDrain, StartDrain
from papayapost.traffic.entry.answer_times import AnswerTimes
from papayapost.traffic.entry.balancing import BalancingPolicy, NearestOfTwo
from papayapost.traffic.entry.call_endings import EndCalls
from papayapost.traffic.entry.closing import CloseCalls
from papayapost.traffic.entry.failed_attempts import HandleFailedAttempts
from papayapost.traffic.entry.link_budget import LinkBudget
from papayapost.traffic.entry.newcomers import (
    FixedRamp,
    NewcomerPolicy,
    OwnerPacedStart,
)
from papayapost.traffic.entry.offers import Offers
from papayapost.traffic.entry.retries import BudgetedRetries, RetryPolicy
from papayapost.traffic.entry.routing import HOLD_US, RouteCalls
from papayapost.traffic.entry.shared_budget import SharedBudget, WindowedRetries
from papayapost.traffic.entry.tables import EntryTables
from papayapost.traffic.entry.upstream_tracking import OutlierEjector, TrackUpstreams
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.internal import DepartureReadDue, TrafficStarted
from papayapost.traffic.owner.admission import AdmitAttempts
from papayapost.traffic.owner.backend_server import ApplyBackendReports
from papayapost.traffic.owner.concurrency import (
    AdaptiveLimit,
    ConcurrencyLimit,
    FixedLimit,
)
from papayapost.traffic.owner.departure_record import RecordDepartures
from papayapost.traffic.owner.fair import FairQueues
from papayapost.traffic.owner.link_plan import LinkPlan
from papayapost.traffic.owner.queues import QueueDiscipline, RankedQueues
from papayapost.traffic.owner.replies import Replies
from papayapost.traffic.owner.seen import SeenAttempts
from papayapost.traffic.owner.shares import ActiveShares
from papayapost.traffic.owner.slow_start import AdaptiveStart
from papayapost.traffic.owner.tables import OwnerTables
from papayapost.traffic.versions import VersionPolicy

__all__ = ["TrafficOptions", "TrafficPart", "build_traffic"]

_REPORT_INTERVAL_US = 1_500_000


@define
class TrafficPart:
    """Tables and systems that handle a node's calls.

    Parameters
    ----------
    first_messages
        Messages that the node's first tick must receive.
    """

    calls: EntryTables
    upstreams: Upstreams
    owner: OwnerTables
    claims: ClaimTables
    link: LinkBudget
    drain: DrainRow
    systems: list[System]
    first_messages: list[object]


@define(frozen=True)
class TrafficOptions:
    """Settings of a deployment that concern calls.

    Parameters
    ----------
    shared_budget
        Limits retries and hedges over the whole mesh. With None, each node
        earns a retry budget from its own successful calls.
    hold_us
        Longest time in µs for which a call waits at the entry node while there
        are no rules or no backend server for it.
    report_interval_us
        Time in µs between two reports of this node's backend server. Unused if
        the backend server sends no reports.
    drain_grace_us
        Time in µs after a drain request during which this node still accepts
        attempts.
    drain_announce_us
        Time in µs between a drain request and the directory entry that asks
        other nodes to send no more attempts.
    drain_limit_us
        Time in µs that a stopping node has for its running calls; None if the
        deployment does not state it.
    has_targets
        Whether the owner node starts attempts that can still meet the latency
        target of their rule before those that cannot.
    has_exact_slots
        Whether the backend server reports its number of slots. If so, the
        concurrency limit ignores its refusals and its latency.
    announces_version
        Whether the directory row tells the version of the backend server.
    has_adaptive_start
        Whether the owner node finds the pace of a backend server that has just
        started from its answers. If not, entry nodes use it over a ramp.
    """

    shared_budget: SharedBudget | None = None
    hold_us: int = HOLD_US
    report_interval_us: int = _REPORT_INTERVAL_US
    drain_grace_us: int = GRACE_US
    drain_announce_us: int = 0
    drain_limit_us: Micros | None = None
    has_targets: bool = False
    has_exact_slots: bool = False
    announces_version: bool = False
    has_adaptive_start: bool = False


def build_traffic(
    me: SelfRow,
    directory: Directory,
    rules: RulesTable,
    slots: int,
    retries: RetryPolicy | None = None,
    queue: QueueDiscipline | None = None,
    concurrency: ConcurrencyLimit | None = None,
    balancing: BalancingPolicy | None = None,
    options: TrafficOptions | None = None,
    evidence: EvidenceRow | None = None,
    has_lenders: bool = False,
    versions: VersionPolicy | None = None,
) -> TrafficPart:
    """Return the traffic tables and systems of a node that has no calls yet.

    Parameters
    ----------
    me
        Identity and place of this node.
    slots
        Number of calls that this node's backend server runs at the same time;
        0 if the node has no backend server.
    retries, queue, concurrency, balancing
        Policies to use in place of the defaults `BudgetedRetries`,
        `RankedQueues`, `AdaptiveLimit` and `NearestOfTwo`.
    options
        Settings of the deployment; the defaults of `TrafficOptions` if None.
    evidence
        How recently the rules in force were known to be the newest.
    has_lenders
        Whether lenders grant the tokens of accounts with a quota.
    versions
        Chooses among the versions of a service; any version if None.
    """
    options = options or TrafficOptions()
    calls = EntryTables()
    owner = OwnerTables(slots)
    claims = ClaimTables(me)
    requests = ClaimStoreRequests(claims)
    upstreams = Upstreams(me, directory, versions)
    link = LinkBudget(me)
    replies = Replies(me, owner)
    drain = DrainRow()
    answer_times = AnswerTimes()
    ejector = OutlierEjector(upstreams, calls)
    if retries is None and options.shared_budget is not None:
        retries = WindowedRetries(options.shared_budget, directory)
    retries = retries or BudgetedRetries()
    newcomers: NewcomerPolicy = FixedRamp()
    if options.has_adaptive_start:
        newcomers = OwnerPacedStart()
    policy = balancing or NearestOfTwo(
        owner, options.shared_budget is not None, newcomers
    )
    offers = Offers(me, calls, upstreams, policy, link, retries, versions, newcomers)
    if queue is None:
        queue = FairQueues(slots) if options.has_targets else RankedQueues(slots)
    if concurrency is None:
        has_exact_slots = options.has_exact_slots
        concurrency = FixedLimit(slots) if has_exact_slots else AdaptiveLimit(slots)
    if options.has_adaptive_start:
        concurrency = AdaptiveStart(concurrency, slots)
    systems: list[System] = [
        StartDrain(
            me,
            directory,
            upstreams,
            owner,
            drain,
            options.drain_grace_us,
            options.drain_announce_us,
        ),
        ApplyBackendReports(
            me,
            directory,
            upstreams,
            owner,
            queue,
            concurrency,
            drain,
            options.report_interval_us,
            options.announces_version,
        ),
        RecordDepartures(me, owner.departures),
        TrackUpstreams(directory, upstreams, calls, link),
        RouteCalls(
            rules,
            calls,
            offers,
            retries,
            options.hold_us,
            drain,
            answer_times,
            evidence,
            has_lenders,
        ),
        ApplyClaimResults(claims, requests),
        ClaimKeys(claims, ClaimRateLimit(rules, directory), requests),
        AdmitAttempts(
            me,
            directory,
            owner,
            SeenAttempts(),
            queue,
            concurrency,
            ActiveShares(rules),
            replies,
            drain,
            LinkPlan(me, directory, owner, options.drain_limit_us),
            versions,
        ),
        HandleFailedAttempts(calls, upstreams, offers, retries, ejector),
        EndCalls(
            calls,
            upstreams,
            offers,
            retries,
            ejector,
            link,
            answer_times,
            newcomers,
            drain,
        ),
        FinishDrain(drain, calls, owner, claims, me, replies),
        CloseCalls(calls, offers),
    ]
    first: list[object] = [TrafficStarted()]
    if options.has_exact_slots:
        first.append(DepartureReadDue())
    return TrafficPart(calls, upstreams, owner, claims, link, drain, systems, first)
