"""Numbers of the messages that travel between nodes.

A number is never reused, so that mixed versions on the wire stay apart.
"""

from papayapost.distribution import Announcement
from papayapost.traffic import AttemptCancel, AttemptOffer, AttemptRefused
from papayapost_node.wire.carriers import AnswerCarrier, OfferCarrier

__all__ = ["WIRE_NUMBERS"]

WIRE_NUMBERS: dict[type, int] = {
    Announcement: 1,
    AttemptOffer: 20,
    AttemptCancel: 21,
    AttemptRefused: 22,
    OfferCarrier: 30,
    AnswerCarrier: 31,
}
