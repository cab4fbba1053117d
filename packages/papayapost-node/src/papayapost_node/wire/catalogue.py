"""Numbers of the messages that travel between nodes.

A number is never reused, so that mixed versions on the wire stay apart.
"""

from papayapost.membership import Announcement
from papayapost.traffic import (
    AttemptCancel,
    AttemptFailed,
    AttemptOffer,
    AttemptRefused,
)
from papayapost_node.wire.carriers import AnswerCarrier, OfferCarrier

__all__ = ["WIRE_NUMBERS"]

_MEMBERSHIP: dict[type, int] = {
    Announcement: 1,
}
_DISTRIBUTION: dict[type, int] = {}
_TRAFFIC: dict[type, int] = {
    AttemptOffer: 40,
    AttemptCancel: 41,
    AttemptRefused: 42,
    AttemptFailed: 43,
}
_CARRIERS: dict[type, int] = {
    OfferCarrier: 60,
    AnswerCarrier: 61,
}

WIRE_NUMBERS: dict[type, int] = _MEMBERSHIP | _DISTRIBUTION | _TRAFFIC | _CARRIERS
