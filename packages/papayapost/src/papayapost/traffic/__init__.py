"""Routing of calls at the entry node and admission at the owner node."""

from papayapost.traffic.claims.tables import ClaimsObject, ClaimToken
from papayapost.traffic.entry.balancing import BalancingPolicy, NearestOfTwo
from papayapost.traffic.entry.call_endings import EndCalls
from papayapost.traffic.entry.failed_attempts import HandleFailedAttempts
from papayapost.traffic.entry.retries import BudgetedRetries, RetryPolicy
from papayapost.traffic.entry.routing import RouteCalls
from papayapost.traffic.entry.shared_budget import SharedBudget, WindowedRetries
from papayapost.traffic.entry.tables import EntryCounters, EntryTables
from papayapost.traffic.entry.upstreams import Upstreams
from papayapost.traffic.messages import (
    AnswerBegun,
    AnswerEnded,
    AnswerGivenUp,
    AnswerOverdue,
    AttemptCancel,
    AttemptFailed,
    AttemptOffer,
    AttemptRefused,
    CallArrived,
    CallerGone,
    CallExpired,
    CallRefusal,
    ChoiceBasis,
    CutAnswer,
    DropAnswer,
    ForwardAnswer,
    GiveUpAnswer,
    LossCause,
    OfferSend,
    OfferUndelivered,
    OwnerConnectionLost,
    RefusalCode,
)
from papayapost.traffic.owner.admission import AdmitAttempts
from papayapost.traffic.owner.departures import Departure
from papayapost.traffic.owner.link_plan import LARGE_ANSWER_BYTES, bulk_bytes_per_us
from papayapost.traffic.owner.tables import OwnerTables
from papayapost.traffic.owner_messages import (
    AnswerBlocked,
    AnswerUnblocked,
    AttemptExpired,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    BackendServerDeregistered,
    BackendServerPolled,
    BackendServerReported,
    DrainComplete,
    DrainRequested,
    DropOffer,
    ReportDeferred,
    ReportTaken,
)
from papayapost.traffic.part import TrafficOptions, TrafficPart, build_traffic

__all__ = [
    "LARGE_ANSWER_BYTES",
    "AdmitAttempts",
    "AnswerBegun",
    "AnswerBlocked",
    "AnswerEnded",
    "AnswerGivenUp",
    "AnswerOverdue",
    "AnswerUnblocked",
    "AttemptCancel",
    "AttemptExpired",
    "AttemptFailed",
    "AttemptOffer",
    "AttemptRefused",
    "BackendCallBegun",
    "BackendCallCancel",
    "BackendCallEnded",
    "BackendCallStart",
    "BackendServerDeregistered",
    "BackendServerPolled",
    "BackendServerReported",
    "BalancingPolicy",
    "BudgetedRetries",
    "CallArrived",
    "CallExpired",
    "CallRefusal",
    "CallerGone",
    "ChoiceBasis",
    "ClaimToken",
    "ClaimsObject",
    "CutAnswer",
    "Departure",
    "DrainComplete",
    "DrainRequested",
    "DropAnswer",
    "DropOffer",
    "EndCalls",
    "EntryCounters",
    "EntryTables",
    "ForwardAnswer",
    "GiveUpAnswer",
    "HandleFailedAttempts",
    "LossCause",
    "NearestOfTwo",
    "OfferSend",
    "OfferUndelivered",
    "OwnerConnectionLost",
    "OwnerTables",
    "RefusalCode",
    "ReportDeferred",
    "ReportTaken",
    "RetryPolicy",
    "RouteCalls",
    "SharedBudget",
    "TrafficOptions",
    "TrafficPart",
    "Upstreams",
    "WindowedRetries",
    "build_traffic",
    "bulk_bytes_per_us",
]
