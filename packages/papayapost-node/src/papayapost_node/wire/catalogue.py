"""Numbers of the messages that travel between nodes.

A number is never reused, so that mixed versions on the wire stay apart.
"""

from papayapost.distribution import (
    ChunkRequest,
    RulesBusy,
    RulesChunk,
    RulesDelta,
    RulesGone,
    RulesNotice,
    RulesProgress,
    RulesRequest,
)
from papayapost.membership import Announcement
from papayapost.traffic import AttemptCancel, AttemptOffer, AttemptRefused
from papayapost_node.wire.carriers import AnswerCarrier, OfferCarrier

__all__ = ["CONTROL_TYPES", "WIRE_NUMBERS"]

_MEMBERSHIP: dict[type, int] = {
    Announcement: 1,
}
_DISTRIBUTION: dict[type, int] = {
    RulesRequest: 20,
    RulesNotice: 21,
    RulesDelta: 22,
    ChunkRequest: 23,
    RulesChunk: 24,
    RulesBusy: 25,
    RulesGone: 26,
    RulesProgress: 27,
}
_TRAFFIC: dict[type, int] = {
    AttemptOffer: 40,
    AttemptCancel: 41,
    AttemptRefused: 42,
}
_CARRIERS: dict[type, int] = {
    OfferCarrier: 60,
    AnswerCarrier: 61,
}

WIRE_NUMBERS: dict[type, int] = _MEMBERSHIP | _DISTRIBUTION | _TRAFFIC | _CARRIERS

CONTROL_TYPES: frozenset[type] = frozenset([*_MEMBERSHIP, *_DISTRIBUTION])
"""Messages that keep the mesh together, as opposed to calls."""
