"""Enumerations for the states of table rows and of messages."""

from enum import Enum, IntEnum

__all__ = [
    "BackendServerState",
    "LinkClass",
    "LinkUse",
    "MemberState",
    "NodeState",
    "Outcome",
    "Rank",
    "StagedState",
    "TreeLevel",
    "TreeState",
    "WatchRole",
]


class Rank(IntEnum):
    """Priority of a call; owner nodes favour calls with a lower number."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    BULK = 3


class Outcome(Enum):
    """Outcome of an attempt, as far as the entry node knows it."""

    ANSWERED = "answered"
    NOT_RUN = "refused-not-run"
    UNKNOWN = "unknown"


class NodeState(Enum):
    """Life cycle of a node's process."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class MemberState(Enum):
    """State of another node according to failure detection."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class BackendServerState(Enum):
    """State of a backend server, which decides if it gets new attempts."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class StagedState(Enum):
    """Progress of a rules version from its download until it is in force."""

    FETCHING = "fetching"
    WAITING_FOR_SERVICES = "waiting-for-services"
    IN_FORCE = "in-force"
    REFUSED = "refused"


class TreeLevel(Enum):
    """Level of a node within the tree of its data centre."""

    RELAY = "relay"
    PARENT = "parent"
    LEAF = "leaf"


class TreeState(Enum):
    """State of a node's attachment to the tree of relays."""

    SEEKING = "seeking"
    ATTACHED = "attached"
    ROOT = "root"


class WatchRole(Enum):
    """Why a node watches the rules object of the store itself, or does not.

    A node that starts waits for rules of its peers, or its turn to watch. A
    follower relies on the relays of its region. A remote relay relies on
    those of a region that is nearer to the store. A node falls back if they
    report no contact with the store.
    """

    STARTING = "starting"
    RELAY = "relay"
    REMOTE_RELAY = "remote-relay"
    FOLLOWER = "follower"
    FALLBACK = "fallback"


class LinkUse(Enum):
    """Whether calls that match a rule may use the link between regions.

    With ``LAST``, a call uses the link only if no backend server is
    available in its own region. This suits large answers: their transfer
    between regions costs more than a wait.
    """

    NO = "no"
    LAST = "last"
    YES = "yes"


class LinkClass(IntEnum):
    """Class of the network link to a peer, ordered from near to far."""

    SELF = 0
    DATA_CENTRE = 1
    REGION = 2
    ACROSS = 3
