"""An owner node that tests drive by ticks, without network or clock."""

from papayapost.ids import (
    Address,
    AttemptId,
    ConnectionEpoch,
    Incarnation,
    Micros,
    NodeId,
    ServiceName,
)
from papayapost.peering import PeerSend
from papayapost.states import Rank
from papayapost.traffic import (
    AttemptCancel,
    AttemptOffer,
    AttemptRefused,
    BackendCallBegun,
    BackendCallEnded,
    BackendCallStart,
)
from papayapost_testing.traffic_worlds import backend_row, traffic_world

RULES = "route * /* -> gusts idempotent=yes # Mei: wind desk\n"


class Owner:
    def __init__(self, slots=2, rules=RULES, node=None):
        own = backend_row("owner", "gusts", slots=slots)
        self.node = node or traffic_world(own, [], rules)
        self.now_us = 1_000
        self.offers = 0

    @property
    def tables(self):
        return self.node.traffic.owner

    def tick(self, *messages, after_us=10):
        self.now_us += after_us
        return self.node.world.tick(Micros(self.now_us), messages)

    def offer(self, rank=Rank.NORMAL, **fields):
        self.offers += 1
        values = {
            "sender": NodeId("entry"),
            "reply_to": Address("entry:1"),
            "attempt_id": AttemptId(f"entry/1/{self.offers:x}"),
            "epoch": ConnectionEpoch(1),
            "service": ServiceName("gusts"),
            "rank": rank,
            "idempotent": True,
            "budget_us": Micros(1_000_000),
            "idempotency_key": None,
            "incarnation": Incarnation(1),
            "sequence": self.offers,
        }
        return AttemptOffer(**(values | fields))

    def end(self, attempt_id, status=200, after_us=10_000, is_whole=True):
        begun = BackendCallBegun(attempt_id, status)
        ended = BackendCallEnded(attempt_id, True, is_whole)
        return self.tick(begun, ended, after_us=after_us)

    def cancel(self, offer):
        return self.tick(AttemptCancel(offer.sender, offer.attempt_id))

    def is_idle(self):
        tables = self.tables
        return not (len(tables.attempts) or tables.running or tables.waiting)


def started(effects):
    return [e.attempt_id for e in effects if isinstance(e, BackendCallStart)]


def sent_messages(effects, kind=AttemptRefused):
    messages = [e.message for e in effects if isinstance(e, PeerSend)]
    return [message for message in messages if isinstance(message, kind)]


def refusals(effects):
    return {message.attempt_id: message.code for message in sent_messages(effects)}
