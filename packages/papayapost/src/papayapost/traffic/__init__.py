"""Calls: routing at the entry node, admission at the owner node."""

from papayapost.traffic.balancing import BalancingPolicy, NearestOfTwo
from papayapost.traffic.claims_tables import ClaimsObject, ClaimToken
from papayapost.traffic.endings import EndCalls
from papayapost.traffic.entry import RouteCalls
from papayapost.traffic.messages import (
    AnswerBegun,
    AnswerEnded,
    AttemptCancel,
    AttemptFailed,
    AttemptOffer,
    AttemptRefused,
    CallArrived,
    CallerGone,
    CallExpired,
    CallRefusal,
    CutAnswer,
    DropAnswer,
    ForwardAnswer,
    LossCause,
    OfferSend,
    OfferUndelivered,
    OwnerLost,
    RefusalCode,
)
from papayapost.traffic.owner import AdmitAttempts
from papayapost.traffic.owner_messages import (
    AttemptExpired,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    DrainComplete,
    DrainRequested,
    DropOffer,
    OwnBackendServerSeen,
)
from papayapost.traffic.owner_tables import OwnerTables
from papayapost.traffic.part import TrafficPart, build_traffic
from papayapost.traffic.retries import BudgetedRetries, RetryPolicy
from papayapost.traffic.settle import SettleAttempts
from papayapost.traffic.tables import TrafficCounters, TrafficTables
from papayapost.traffic.upstreams import Upstreams

__all__ = [
    "AdmitAttempts",
    "AnswerBegun",
    "AnswerEnded",
    "AttemptCancel",
    "AttemptExpired",
    "AttemptFailed",
    "AttemptOffer",
    "AttemptRefused",
    "BackendCallBegun",
    "BackendCallCancel",
    "BackendCallEnded",
    "BackendCallStart",
    "BalancingPolicy",
    "BudgetedRetries",
    "CallArrived",
    "CallExpired",
    "CallRefusal",
    "CallerGone",
    "ClaimToken",
    "ClaimsObject",
    "CutAnswer",
    "DrainComplete",
    "DrainRequested",
    "DropAnswer",
    "DropOffer",
    "EndCalls",
    "ForwardAnswer",
    "LossCause",
    "NearestOfTwo",
    "OfferSend",
    "OfferUndelivered",
    "OwnBackendServerSeen",
    "OwnerLost",
    "OwnerTables",
    "RefusalCode",
    "RetryPolicy",
    "RouteCalls",
    "SettleAttempts",
    "TrafficCounters",
    "TrafficPart",
    "TrafficTables",
    "Upstreams",
    "build_traffic",
]
