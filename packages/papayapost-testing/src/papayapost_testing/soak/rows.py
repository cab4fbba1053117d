"""Rows and states of the soak: nodes, links, servers, calls, findings."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from papayapost.ids import (
    AccountName,
    InstanceId,
    Micros,
    NodeId,
    RequestName,
    ServiceName,
)
from papayapost_testing.demo.tables import ProcessState

__all__ = [
    "NEVER",
    "NO_KEY",
    "AnswerRow",
    "CallEnd",
    "CallRow",
    "FaultId",
    "FindingRow",
    "Link",
    "LinkMode",
    "NodeRow",
    "RouteKind",
    "RouteRow",
    "RunRow",
    "SecretKey",
    "ServerMode",
    "ServerRow",
    "Start",
    "TroubleRow",
    "VersionNumber",
    "VersionRow",
    "WaitRow",
]

FaultId = NewType("FaultId", int)
"""Number of a fault in the plan of a seed."""

Start = NewType("Start", int)
"""Number of starts of a node's process so far; identifies the process."""

VersionNumber = NewType("VersionNumber", int)
"""Number of a rules version, as the operator counts them."""

SecretKey = NewType("SecretKey", str)
"""Key of a client account; empty for a caller without one."""

NO_KEY = SecretKey("")

NEVER = Micros(-1)
"""Stands for a time that has not come."""

_NO_START = Start(0)


class Link(Enum):
    """What a proxy stands in front of."""

    NODE = "callers to node"
    SERVER = "node to backend server"
    STORE = "node to store"


class LinkMode(Enum):
    """How a proxy treats the bytes and connections of a link."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    HOLD_REQUESTS = "hold requests"
    HOLD_ANSWERS = "hold answers"
    SILENT = "silent"


class ServerMode(Enum):
    """How a backend server answers."""

    SOUND = "sound"
    SLOW = "slow"
    GARBLING = "garbling"


class RouteKind(Enum):
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class CallEnd(Enum):
    """How a call ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "cut in the answer"
    CLOSED = "closed without an answer"
    EXPIRED = "no answer in time"
    LEFT = "left by the caller"
    UNREACHED = "closed by the proxy, whose node took no connection"


@dataclass(slots=True)
class NodeRow:
    """A node's process as the soak has started and signalled it.

    Attributes
    ----------
    start
        Number of the process.
    started_us, term_us, kill_us, exited_us
        Times of this process's start, first SIGTERM, SIGKILL and exit.
    exit_code
        Exit code of this process, or None while it runs.
    served_us
        Time at which the last call that ended with a success was sent.
    """

    node_id: NodeId
    service: ServiceName
    state: ProcessState = ProcessState.ABSENT
    start: Start = _NO_START
    started_us: Micros = NEVER
    term_us: Micros = NEVER
    kill_us: Micros = NEVER
    exited_us: Micros = NEVER
    exit_code: int | None = None
    served_us: Micros = NEVER


@dataclass(slots=True)
class TroubleRow:
    """A span of time in which a node is under a fault or planned work.

    Parameters
    ----------
    node_id
        The node, or None if all nodes are affected.
    ends_with_start
        Whether the span ends when the node's process is started again.
    """

    node_id: NodeId | None
    is_planned: bool
    what: str
    began_us: Micros
    ended_us: Micros | None = None
    ends_with_start: bool = False


@dataclass(slots=True)
class RouteRow:
    """One route of a rules version.

    Parameters
    ----------
    is_anonymous
        Whether its requests need no key.
    """

    prefix: str
    service: ServiceName
    kind: RouteKind
    timeout_ms: int
    is_anonymous: bool = False


@dataclass(slots=True)
class VersionRow:
    """A rules version, by prefix of its routes, and its acknowledgement.

    Parameters
    ----------
    keys
        Client account of each secret key.
    """

    version: VersionNumber
    routes: dict[str, RouteRow]
    keys: dict[SecretKey, AccountName]
    acked_us: Micros = NEVER

    def service_of(self, target: str) -> ServiceName | None:
        """Return the service that runs a target, or None without a route."""
        route = self.routes.get(target[: target.index("/", 1) + 1])
        return route.service if route else None


@dataclass(slots=True)
class AnswerRow:
    """An answer as its caller read it.

    Attributes
    ----------
    names_request, signature
        The request that the answer names and the signature that it carries;
        empty without them.
    body_hash
        Hash of the body that was read.
    """

    status: int
    names_request: RequestName
    signature: str
    body_hash: str


@dataclass(slots=True)
class CallRow:
    """A request as its caller sent it, and how it ended.

    Attributes
    ----------
    start
        The process to which the caller's connection was opened.
    sent_us, whole_us
        Times of the first and the last byte of the request.
    is_behind
        Whether it was sent behind a request without an answer yet.
    manner
        How it was sent, for findings.
    key
        Secret key that it was sent with.
    """

    request_id: RequestName
    node_id: NodeId
    start: Start
    method: str
    target: str
    body_hash: str
    kind: RouteKind
    timeout_ms: int
    sent_us: Micros
    whole_us: Micros = NEVER
    is_behind: bool = False
    manner: str = ""
    key: SecretKey = NO_KEY
    end: CallEnd = CallEnd.OPEN
    ended_us: Micros = NEVER
    answer: AnswerRow | None = None

    @property
    def unsigned_status(self) -> int:
        """Status of a whole answer that no backend server has signed, or 0."""
        is_answered = self.end is CallEnd.ANSWERED and self.answer is not None
        if not is_answered or self.answer is None or self.answer.signature:
            return 0
        return self.answer.status

    @property
    def is_served(self) -> bool:
        """Whether the answer is a success of a backend server."""
        answer = self.answer
        is_success = answer is not None and answer.status < 300
        return self.end is CallEnd.ANSWERED and is_success


@dataclass(slots=True)
class RunRow:
    """A request that a backend server has begun to run.

    Attributes
    ----------
    node_id
        The node on the VM of the backend server.
    is_broken_off
        Whether the backend server broke off its own answer or spoiled it.
    account
        Client account that the node named; empty if it named none.
    shows_key
        Whether a secret key reached the backend server.
    """

    request_id: RequestName
    server_id: InstanceId
    node_id: NodeId
    service: ServiceName
    method: str
    target: str
    body_hash: str
    caller_service: str
    began_us: Micros
    ended_us: Micros = NEVER
    status: int = 0
    signature: str = ""
    is_broken_off: bool = False
    account: str = ""
    shows_key: bool = False


@dataclass(slots=True)
class ServerRow:
    """A process of a backend server, by id and time of its start.

    Attributes
    ----------
    drain_acked_us
        Time of the acknowledgement that it drains.
    """

    server_id: InstanceId
    node_id: NodeId
    born_ms: int
    drain_acked_us: Micros = NEVER


@dataclass(slots=True)
class WaitRow:
    """How long in µs a process has waited for a core in a span of time."""

    from_us: Micros
    to_us: Micros
    waited_us: int


@dataclass(slots=True)
class FindingRow:
    """A promise that was seen broken."""

    check: str
    text: str
    at_us: Micros
