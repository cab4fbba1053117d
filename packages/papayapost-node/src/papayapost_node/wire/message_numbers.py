"""Type numbers of the messages that nodes send to each other.

A number is never reused for another message type, so that nodes of different
versions never mistake one message type for another.
"""

from papayapost.distribution import (
    ChunkRequest,
    ContactEcho,
    RulesBusy,
    RulesChunk,
    RulesDelta,
    RulesGone,
    RulesNotice,
    RulesProgress,
    RulesRequest,
    RulesShared,
    RulesWanted,
    StoreContact,
)
from papayapost.membership import (
    Announcement,
    BucketDigests,
    BucketRows,
    BucketsWanted,
    Detach,
    DigestsOffered,
    DirectoryDelta,
    Heartbeat,
    HeartbeatAnswer,
    JoinAccepted,
    JoinRedirected,
    JoinRequest,
    Probe,
    ProbeAnswer,
    ProbeRequest,
    ProbeResult,
    Vouch,
)
from papayapost.quota import (
    LeaseRenewed,
    NotLender,
    TokenDenied,
    TokenGranted,
    TokenReturned,
    TokensSent,
    TokensWanted,
    TokenWanted,
)
from papayapost.rollout import (
    AnswerCounts,
    OrdersKnown,
    OrdersWanted,
    RolloutStage,
    WatcherBeat,
)
from papayapost.roster import (
    Beat,
    Hello,
    HelloSuperseded,
    PeersLost,
    PeersWanted,
    RowsShared,
)
from papayapost.traffic import (
    AttemptCancel,
    AttemptFailed,
    AttemptOffer,
    AttemptRefused,
)
from papayapost_node.wire.carriers import (
    AnswerCarrier,
    AnswerCredit,
    AnswerPart,
    InterimAnswer,
    OfferCarrier,
    RequestCredit,
    RequestPart,
)

__all__ = ["CONTROL_TYPES", "MESSAGE_NUMBERS"]

_MEMBERSHIP_NUMBERS: dict[type, int] = {
    Announcement: 1,
    JoinRequest: 2,
    JoinAccepted: 3,
    JoinRedirected: 4,
    Heartbeat: 5,
    HeartbeatAnswer: 6,
    Detach: 7,
    DirectoryDelta: 8,
    DigestsOffered: 9,
    BucketDigests: 10,
    BucketsWanted: 11,
    BucketRows: 12,
    Vouch: 13,
    Probe: 14,
    ProbeAnswer: 15,
    ProbeRequest: 16,
    ProbeResult: 17,
    Beat: 18,
    Hello: 19,
    HelloSuperseded: 30,
    PeersWanted: 36,
    PeersLost: 37,
    RowsShared: 38,
}
_DISTRIBUTION_NUMBERS: dict[type, int] = {
    RulesRequest: 20,
    RulesNotice: 21,
    RulesDelta: 22,
    ChunkRequest: 23,
    RulesChunk: 24,
    RulesBusy: 25,
    RulesGone: 26,
    RulesProgress: 27,
    RulesWanted: 28,
    RulesShared: 29,
    StoreContact: 35,
    ContactEcho: 39,
}
_TRAFFIC_NUMBERS: dict[type, int] = {
    AttemptOffer: 40,
    AttemptCancel: 41,
    AttemptRefused: 42,
    AttemptFailed: 43,
}
_QUOTA_NUMBERS: dict[type, int] = {
    TokenWanted: 67,
    TokenGranted: 68,
    TokenDenied: 69,
    NotLender: 70,
    TokenReturned: 71,
    TokensWanted: 72,
    TokensSent: 73,
    LeaseRenewed: 74,
}
_CARRIER_NUMBERS: dict[type, int] = {
    OfferCarrier: 60,
    AnswerCarrier: 61,
    RequestPart: 62,
    RequestCredit: 63,
    AnswerPart: 64,
    AnswerCredit: 65,
    InterimAnswer: 66,
}
_ROLLOUT_NUMBERS: dict[type, int] = {
    RolloutStage: 80,
    AnswerCounts: 81,
    OrdersWanted: 82,
    OrdersKnown: 83,
    WatcherBeat: 84,
}

MESSAGE_NUMBERS: dict[type, int] = (
    _MEMBERSHIP_NUMBERS
    | _DISTRIBUTION_NUMBERS
    | _TRAFFIC_NUMBERS
    | _QUOTA_NUMBERS
    | _CARRIER_NUMBERS
    | _ROLLOUT_NUMBERS
)
"""Type number of each message type."""

CONTROL_TYPES: frozenset[type] = frozenset(
    [*_MEMBERSHIP_NUMBERS, *_DISTRIBUTION_NUMBERS, *_ROLLOUT_NUMBERS]
)
"""Message types of membership and rules distribution, as opposed to calls."""
