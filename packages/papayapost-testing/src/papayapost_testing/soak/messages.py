"""Messages of the soak's world: inputs, timers and effects."""

from dataclasses import dataclass
from enum import Enum

from papayapost.ids import InstanceId, Micros, NodeId, RequestName
from papayapost_testing.soak.rows import (
    AnswerRow,
    CallEnd,
    CallRow,
    FaultId,
    Link,
    LinkMode,
    RunRow,
    ServerMode,
    Start,
    VersionRow,
    WaitRow,
)

__all__ = [
    "CallEnded",
    "CallSent",
    "ChangeOtherObjects",
    "ChangeSettings",
    "CommandServer",
    "CommandStore",
    "CoreAwaited",
    "DrainAcknowledged",
    "FaultDue",
    "FaultsBegun",
    "FaultsEnded",
    "GraceDue",
    "GraceOver",
    "LineWritten",
    "MemoryMeasured",
    "NodeExited",
    "NodeStarted",
    "RecoveryDue",
    "RecoveryOver",
    "RestartDue",
    "RestoreStore",
    "RunEnded",
    "RunStarted",
    "ServerCommand",
    "SetLink",
    "SetServerMode",
    "SignalNode",
    "StartNode",
    "StopNodes",
    "StoreCommand",
    "UnaskedBytes",
    "WriteRules",
]


class ServerCommand(Enum):
    """What a backend server is told to do as a whole."""

    LEAVE = "drain, leave and return under another id"
    CRASH = "end at once and return under the same id"


class StoreCommand(Enum):
    """What the store is told to do."""

    SERVE = "serve"
    REFUSE = "answer 503"
    LIMIT = "answer 429"
    FORGET = "forget its history"
    COPY = "keep a copy of its state"
    LEAVE = "answer nothing until it comes back from the copy"


@dataclass(slots=True)
class CallSent:
    """Input: a caller begins to send a request."""

    call: CallRow


@dataclass(slots=True)
class CallEnded:
    """Input: a call has ended for its caller."""

    request_id: RequestName
    end: CallEnd
    at_us: Micros
    answer: AnswerRow | None = None


@dataclass(slots=True)
class UnaskedBytes:
    """Input: bytes came on a connection with no request waiting."""

    node_id: NodeId
    data: bytes


@dataclass(slots=True)
class RunStarted:
    """Input: a backend server has begun to run a request."""

    run: RunRow


@dataclass(slots=True)
class RunEnded:
    """Input: a backend server has sent its answer to a run, or broken off."""

    run: RunRow


@dataclass(slots=True)
class DrainAcknowledged:
    """Input: a node has acknowledged that its backend server drains."""

    server_id: InstanceId
    node_id: NodeId
    born_ms: int
    at_us: Micros


@dataclass(slots=True)
class NodeStarted:
    """Input: a node's process has been started."""

    node_id: NodeId
    start: Start
    at_us: Micros


@dataclass(slots=True)
class NodeExited:
    """Input: a node's process has ended."""

    node_id: NodeId
    exit_code: int
    at_us: Micros


@dataclass(slots=True)
class LineWritten:
    """Input: a node has written a line that is not a logged event."""

    node_id: NodeId
    line: str


@dataclass(slots=True)
class MemoryMeasured:
    """Input: the resident memory of a node's process in bytes."""

    node_id: NodeId
    resident_bytes: int


@dataclass(slots=True)
class CoreAwaited:
    """Input: a node's process has waited for a core."""

    node_id: NodeId
    wait: WaitRow


@dataclass(slots=True)
class FaultsBegun:
    """Input: the faults of the plan begin now."""


@dataclass(slots=True)
class FaultDue:
    """Timer: the next step of a fault is due."""

    fault_id: FaultId


@dataclass(slots=True)
class StopNodes:
    """Input: end all nodes, and start none again."""


@dataclass(slots=True)
class FaultsEnded:
    """Effect: all faults of the plan have ended."""


@dataclass(slots=True)
class RecoveryDue:
    """Timer: see whether the time for recovery is over."""


@dataclass(slots=True)
class RecoveryOver:
    """Effect, and input of checks: the time for recovery is over."""


@dataclass(slots=True)
class RestartDue:
    """Timer: a node that has exited is to be started again."""

    node_id: NodeId


@dataclass(slots=True)
class GraceDue:
    """Timer: see whether a process has outlasted its grace time."""

    node_id: NodeId
    start: Start


@dataclass(slots=True)
class GraceOver:
    """A process still runs at the end of the grace time after SIGTERM."""

    node_id: NodeId
    start: Start


@dataclass(slots=True)
class StartNode:
    """Effect: start a node's process."""

    node_id: NodeId
    start: Start


@dataclass(slots=True)
class SignalNode:
    """Effect: send a signal to a node's process."""

    node_id: NodeId
    signal_number: int


@dataclass(slots=True)
class ChangeSettings:
    """Effect: change a value in a node's settings file."""

    node_id: NodeId
    hold_ms: int


@dataclass(slots=True)
class SetLink:
    """Effect: set the mode of a node's link; a delay is in ms."""

    node_id: NodeId
    link: Link
    mode: LinkMode
    delay_ms: int = 0


@dataclass(slots=True)
class WriteRules:
    """Effect: write a rules version to the store."""

    version: VersionRow


@dataclass(slots=True)
class CommandServer:
    """Effect: tell a node's backend server to leave or to crash."""

    node_id: NodeId
    command: ServerCommand
    away_ms: int


@dataclass(slots=True)
class SetServerMode:
    """Effect: set how a node's backend server answers."""

    node_id: NodeId
    mode: ServerMode


@dataclass(slots=True)
class CommandStore:
    """Effect: tell the store what to do."""

    command: StoreCommand


@dataclass(slots=True)
class ChangeOtherObjects:
    """Effect: let other programs make a number of changes in the store."""

    count: int


@dataclass(slots=True)
class RestoreStore:
    """Effect: let the store come back from its copy.

    Its revisions go on after that of the copy and as many that are skipped.
    """

    skipped: int
