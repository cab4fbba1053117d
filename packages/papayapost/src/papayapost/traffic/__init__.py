"""Calls: routing at the entry node, admission at the owner node."""

from papayapost.traffic.balancing import BalancingPolicy, NearestLeastOutstanding
from papayapost.traffic.entry import EndCalls, Offers, RouteCalls, SettleRefusals
from papayapost.traffic.messages import (
    AnswerBegun,
    AnswerEnded,
    AttemptCancel,
    AttemptExpired,
    AttemptOffer,
    AttemptRefused,
    BackendCallBegun,
    BackendCallCancel,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
    CallerGone,
    CallExpired,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
    RefusalCode,
)
from papayapost.traffic.owner import AdmitAttempts
from papayapost.traffic.part import TrafficPart, build_traffic
from papayapost.traffic.tables import OwnerTables, TrafficTables

__all__ = [
    "AdmitAttempts",
    "AnswerBegun",
    "AnswerEnded",
    "AttemptCancel",
    "AttemptExpired",
    "AttemptOffer",
    "AttemptRefused",
    "BackendCallBegun",
    "BackendCallCancel",
    "BackendCallEnded",
    "BackendCallStart",
    "BalancingPolicy",
    "CallArrived",
    "CallExpired",
    "CallRefusal",
    "CallerGone",
    "EndCalls",
    "ForwardAnswer",
    "NearestLeastOutstanding",
    "OfferSend",
    "Offers",
    "OwnerTables",
    "RefusalCode",
    "RouteCalls",
    "SettleRefusals",
    "TrafficPart",
    "TrafficTables",
    "build_traffic",
]
