"""Messages between an owner node and its own backend server and process."""

from dataclasses import dataclass

from papayapost.ids import AttemptId, Micros
from papayapost.states import BackendServerState

__all__ = [
    "AttemptExpired",
    "BackendCallBegun",
    "BackendCallCancel",
    "BackendCallEnded",
    "BackendCallStart",
    "DrainComplete",
    "DrainRequested",
    "DropOffer",
    "OwnBackendServerSeen",
]


@dataclass(slots=True)
class AttemptExpired:
    """Timer at the owner node: the attempt's budget is over."""

    attempt_id: AttemptId


@dataclass(slots=True)
class BackendCallStart:
    """Effect at the owner node: send the request to the backend server."""

    attempt_id: AttemptId
    budget_us: Micros


@dataclass(slots=True)
class BackendCallCancel:
    """Effect at the owner node: stop a call that nobody waits for."""

    attempt_id: AttemptId


@dataclass(slots=True)
class BackendCallBegun:
    """Input at the owner node: the head of the answer is here."""

    attempt_id: AttemptId
    status: int


@dataclass(slots=True)
class BackendCallEnded:
    """Input at the owner node: the call no longer holds a slot.

    Parameters
    ----------
    is_sent
        False only when no byte of the request left this node.
    is_whole
        Whether the whole answer arrived.
    """

    attempt_id: AttemptId
    is_sent: bool
    is_whole: bool


@dataclass(slots=True)
class DropOffer:
    """Effect at the owner node: this request will not run; forget it."""

    attempt_id: AttemptId


@dataclass(slots=True)
class OwnBackendServerSeen:
    """Input at the owner node: its backend server says what it is.

    Parameters
    ----------
    state
        ``COLD``, ``READY`` or ``DRAINING``.
    """

    state: BackendServerState


@dataclass(slots=True)
class DrainRequested:
    """Input: this node is to take no new work, finish, and stop.

    Parameters
    ----------
    limit_ms
        Time after which it stops with what is left.
    """

    limit_ms: int = 30_000


@dataclass(slots=True)
class DrainComplete:
    """Effect: the process may exit.

    Parameters
    ----------
    is_clean
        False when the limit passed with calls or attempts left.
    """

    is_clean: bool
