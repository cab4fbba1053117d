"""Numbered events: what the log and the time line are made of."""

from dataclasses import dataclass
from enum import Enum

from papayapost.ids import AttemptId, CallId, NodeId, RuleVersion

__all__ = ["Event", "Noted"]


class Event(Enum):
    """Every event; docs/EVENTS.md is the catalogue.

    Numbers go by hundreds: 1xx node, 2xx rules, 3xx store, 4xx messages
    between nodes, 5xx calls, 6xx membership, 7xx operators' tool.
    """

    NODE_STARTED = 100
    NODE_DRAINING = 101
    NODE_STOPPED = 102
    RULES_IN_FORCE = 200
    RULES_REJECTED = 201
    RULES_WAITING = 202
    RULES_DELTA_REFUSED = 203
    RULES_SNAPSHOT_REFUSED = 204
    RULES_BELOW_FLOOR = 205
    STORE_FAILED = 300
    STORE_BEHIND = 301
    STORE_DIVERGED = 302
    STORE_FALLBACK = 303
    STORE_UPDATE_UNKNOWN = 304
    FRAME_REFUSED = 400


@dataclass(slots=True)
class Noted:
    """Effect: an event happened; the shell logs it and keeps it.

    Parameters
    ----------
    version, call_id, attempt_id, peer
        What the event is about, where that applies.
    detail
        Further fields as short text, such as a reason.
    """

    event: Event
    version: RuleVersion | None = None
    call_id: CallId | None = None
    attempt_id: AttemptId | None = None
    peer: NodeId | None = None
    detail: str = ""
