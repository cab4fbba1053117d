"""Messages between an owner node, its process and its backend server."""

from papayapost.define import define
from papayapost.ids import (
    AttemptId,
    InstanceId,
    Micros,
    ReportId,
    ServiceName,
    SoftwareVersion,
)
from papayapost.states import BackendServerState

__all__ = [
    "AnswerBlocked",
    "AnswerUnblocked",
    "AttemptExpired",
    "BackendCallBegun",
    "BackendCallCancel",
    "BackendCallEnded",
    "BackendCallStart",
    "BackendServerDeregistered",
    "BackendServerPolled",
    "BackendServerReported",
    "DrainComplete",
    "DrainRequested",
    "DropOffer",
    "EndUnsentCalls",
    "RefuseQueuedAttempts",
    "ReportDeferred",
    "ReportTaken",
]


@define
class AttemptExpired:
    """Timer at the owner node: the time budget of the attempt has passed."""

    attempt_id: AttemptId


@define
class BackendCallStart:
    """Effect at the owner node: send the request to the backend server.

    `budget_us` is the time in µs that is left for the answer.
    """

    attempt_id: AttemptId
    budget_us: Micros


@define
class BackendCallCancel:
    """Effect at the owner node: stop a call whose answer is not needed."""

    attempt_id: AttemptId


@define
class BackendCallBegun:
    """Input at the owner node: the head of a backend call's answer arrived."""

    attempt_id: AttemptId
    status: int


@define
class BackendCallEnded:
    """Input at the owner node: the call ended and no longer uses a slot.

    Parameters
    ----------
    is_sent
        False only if no byte of the request left this node.
    is_whole
        Whether the whole answer arrived.
    is_refused
        Whether the backend server stated that it did not run the request.
    answer_bytes
        Length of the body of a whole answer.
    """

    attempt_id: AttemptId
    is_sent: bool
    is_whole: bool
    is_refused: bool = False
    answer_bytes: int = 0


@define
class AnswerBlocked:
    """Input at the owner node: parts of an ended call's answer are unsent.

    They wait for credit of the entry node. `AnswerUnblocked` follows.
    """

    attempt_id: AttemptId


@define
class AnswerUnblocked:
    """Input at the owner node: no part of a blocked answer is left to send."""

    attempt_id: AttemptId


@define
class EndUnsentCalls:
    """Effect at the owner node: end the calls that wait for a connection.

    No byte of them was sent, and the backend server takes no more work.
    """


@define
class DropOffer:
    """Effect at the owner node: discard a request that will not be run."""

    attempt_id: AttemptId


@define
class BackendServerPolled:
    """Input at the owner node: a health check read the backend server's state.

    Parameters
    ----------
    state
        ``COLD``, ``READY`` or ``DRAINING``.
    """

    state: BackendServerState


@define
class BackendServerReported:
    """Input at the owner node: the backend server sent a report of itself.

    Parameters
    ----------
    born_ms
        Unix time in ms at which the backend server's process started.
    sequence
        Number of the report among the reports of that process.
    slots
        Number of calls that the backend server runs at the same time.
    state
        ``READY`` or ``DRAINING``.
    version
        Version of the software that the backend server runs; empty if the
        report does not state it.
    warm_after_ms
        Time in ms for which the backend server expects to be slower than
        usual after its start; 0 if it is not.
    """

    report_id: ReportId
    instance: InstanceId
    born_ms: int
    sequence: int
    service: ServiceName
    slots: int
    state: BackendServerState
    version: SoftwareVersion = SoftwareVersion("")
    warm_after_ms: float = 0.0

    @property
    def process(self) -> tuple[InstanceId, int]:
        """Instance and start time, which identify one process.

        A restarted backend server has the same instance and another start
        time.
        """
        return (self.instance, self.born_ms)


@define
class BackendServerDeregistered:
    """Input at the owner node: the backend server deregistered itself.

    Parameters
    ----------
    born_ms
        Unix time in ms at which the backend server's process started, or None
        if the message does not give it.
    """

    report_id: ReportId
    instance: InstanceId
    born_ms: int | None


@define
class ReportTaken:
    """Effect at the owner node: acknowledge a report that was processed."""

    report_id: ReportId


@define
class ReportDeferred:
    """Effect at the owner node: leave a report unacknowledged for now.

    The backend server reports again.
    """

    report_id: ReportId


@define
class RefuseQueuedAttempts:
    """Internal: refuse queued attempts, as no backend server takes them."""


@define
class DrainRequested:
    """Input: this node must take no new work, finish its work and stop.

    Parameters
    ----------
    limit_ms
        Time in ms after which the node stops even if work is left.
    """

    limit_ms: int = 30_000


@define
class DrainComplete:
    """Effect: the process may exit.

    Parameters
    ----------
    is_clean
        False when the time limit passed with calls or attempts left.
    """

    is_clean: bool
