"""Numbered events of the log and the time line."""

from enum import Enum

from papayapost.define import define
from papayapost.ids import AttemptId, CallId, NodeId, RuleVersion

__all__ = ["Event", "Noted"]


class Event(Enum):
    """All events with their numbers, which docs/EVENTS.md describes.

    The hundreds digit gives the area: 1xx node, 2xx rules, 3xx store, 4xx
    messages between nodes, 5xx calls, 6xx membership, 7xx operator tool.
    """

    NODE_STARTED = 100
    NODE_DRAINING = 101
    NODE_STOPPED = 102
    EFFECT_FAILED = 103
    STOPPED_AT_ONCE = 104
    LINES_LEFT_OUT = 105
    SETTINGS_RELOADED = 106
    SETTINGS_REFUSED = 107
    CONNECTION_LIMIT_MET = 108
    HEAD_LIMIT_MET = 109
    BODY_LIMIT_MET = 110
    PACE_LIMIT_MET = 111
    HELD_LIMIT_MET = 112
    SETTING_ADJUSTED = 113
    RULES_IN_FORCE = 200
    RULES_REJECTED = 201
    RULES_WAITING = 202
    RULES_DELTA_REFUSED = 203
    RULES_SNAPSHOT_REFUSED = 204
    RULES_BELOW_FLOOR = 205
    KEYS_UNCERTAIN = 206
    KEYS_CONFIRMED = 207
    ENTRIES_LEFT_OUT = 208
    RULES_UNREADABLE = 209
    STORE_FAILED = 300
    STORE_BEHIND = 301
    STORE_DIVERGED = 302
    STORE_FALLBACK = 303
    STORE_UPDATE_UNKNOWN = 304
    STORE_REGAINED = 305
    ENTRY_UNCERTAIN = 306
    ENTRY_REWRITTEN = 307
    STORE_ERA_CHANGED = 308
    STORE_ERA_DOUBTED = 309
    LEASE_TAKEN = 310
    LEASE_LOST = 311
    LEASE_RELEASED = 312
    LEASE_EXPIRED = 313
    ORDER_REFUSED = 315
    ORDERS_UNREAD = 316
    STATUS_UNCERTAIN = 317
    FRAME_REFUSED = 400
    KEY_REFUSED = 401
    SENDER_REFUSED = 402
    KEYS_RELOADED = 403
    KEYS_REFUSED = 404
    UPSTREAM_EJECTED = 500
    UPSTREAM_READMITTED = 501
    OUTCOME_UNKNOWN = 502
    OFFER_REPLAYED = 503
    OFFER_TO_DRAINING = 504
    DUPLICATE_REFUSED = 505
    CLAIMS_UNAVAILABLE = 506
    CLAIMS_CONFLICTED = 507
    DRAIN_COMPLETE = 508
    OFFER_MISDIRECTED = 509
    BACKEND_SERVER_SEEN = 510
    BACKEND_SERVER_CHANGED = 511
    BACKEND_SERVER_SILENT = 512
    REPORT_REFUSED = 513
    BACKEND_SERVER_CLOSED = 514
    BACKEND_SERVER_REOPENED = 515
    DEPARTURE_STORED = 516
    DEPARTURE_UNSTORED = 517
    DEPARTURE_READ = 518
    DEPARTURE_UNREAD = 519
    QUOTA_REACHED = 520
    LENDER_SILENT = 521
    LENDERS_MISSING = 522
    QUOTAS_IGNORED = 523
    ROLLOUT_ORDERED = 530
    ROLLOUT_STAGE_CHANGED = 531
    ROLLOUT_CALLED_OFF = 532
    ROLLOUT_COMPLETED = 533
    ROLLOUT_ROLLED_BACK = 534
    ROLLOUT_TAKEN_OVER = 535
    VERSION_OPENED = 536
    VERSION_CLOSED = 537
    ACCOUNT_OVER_SHARE = 540
    BACKEND_SERVER_STARTING = 546
    BACKEND_SERVER_AT_FULL_SHARE = 547
    CALL_ARRIVED = 550
    ATTEMPT_OFFERED = 551
    ATTEMPT_TAKEN = 552
    BACKEND_CALL_STARTED = 553
    BACKEND_CALL_ENDED = 554
    ANSWER_BEGUN = 555
    ANSWER_ENDED = 556
    ANSWER_FORWARDED = 557
    ATTEMPT_REFUSED = 558
    CALL_REFUSED = 559
    CALLER_GONE = 560
    PARENT_FOUND = 600
    PARENT_LOST = 601
    ROLE_CHANGED = 602
    CHILD_ACCEPTED = 603
    CHILD_LOST = 604
    MEMBER_SUSPECTED = 605
    MEMBER_DIED = 606
    DEATH_REFUTED = 607
    FAILURES_DOUBTED = 608
    ROWS_REFUSED = 609
    MESH_LEFT = 610
    DIRECTORY_STORED = 611
    DIRECTORY_REPAIRED = 612
    JOINS_DEFERRED = 613
    PEER_FOUND = 614
    PEER_LOST = 615
    CHANGE_RECORDED = 700
    RECORD_FAILED = 701


@define
class Noted:
    """Effect: log an event and keep it for the time line.

    Parameters
    ----------
    version, call_id, attempt_id, peer
        Rules version, call, attempt and node that the event concerns; None
        if the event does not concern one.
    detail
        Further information as short text, such as a reason.
    """

    event: Event
    version: RuleVersion | None = None
    call_id: CallId | None = None
    attempt_id: AttemptId | None = None
    peer: NodeId | None = None
    detail: str = ""
