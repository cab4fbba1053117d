"""Rows that describe a load: kinds of calls, servers, bursts and troubles."""

import math
from dataclasses import dataclass
from enum import Enum

from papayapost.ids import AccountName, ServiceName
from papayapost.place import Place
from papayapost.states import Rank

__all__ = [
    "AccountRow",
    "BurstRow",
    "InnerCalls",
    "KindRow",
    "LoadPattern",
    "ServiceRow",
    "Trouble",
    "TroubleRow",
    "WaveRow",
]

DEFAULT_SPEEDS = (0.8, 0.8, 1.4)
SMALL_ANSWER_BYTES = 1_000


class Trouble(Enum):
    """What is wrong with a backend server.

    A slow one takes longer for each call. One that sheds refuses calls as not
    run; one that fails answers them with status 500. One that hangs neither
    answers nor reports. One that restarts leaves at the begin of its trouble,
    and a new process of it starts at its end, which may be cold at first.
    Where it is killed, its node ends with it, and neither comes back.
    """

    SLOW = "slow"
    SHEDDING = "shedding"
    FAILING = "failing"
    KILLED = "killed"
    HANGING = "hanging"
    RESTARTING = "restarting"


@dataclass(frozen=True, slots=True)
class InnerCalls:
    """Calls that a backend server makes for a call, all at the same time.

    Parameters
    ----------
    kind
        Name of the kind of the inner calls.
    share
        Probability that a call makes them.
    """

    kind: str
    count: int
    share: float


@dataclass(frozen=True, slots=True)
class KindRow:
    """A kind of call.

    Parameters
    ----------
    per_s
        Calls of callers per second in the whole mesh; 0 for inner calls.
    work_ms
        Mean time for which a backend server works on a call; it varies.
    patience_ms
        Time for which a caller waits, over all of its attempts.
    answer_bytes
        Length of an answer. Large answers to other nodes share the link of the
        server's VM.
    """

    name: str
    service: ServiceName
    rank: Rank
    per_s: float
    work_ms: float
    target_ms: int
    timeout_ms: int
    patience_ms: int
    is_idempotent: bool = True
    inner: InnerCalls | None = None
    answer_bytes: int = SMALL_ANSWER_BYTES
    is_link_last: bool = False


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """A service, with the number of its backend servers in each place.

    Parameters
    ----------
    speeds, links_mbps
        Factors of the working time and rates of the links that its servers
        have in turn. A link of rate 0 is never full.
    """

    name: ServiceName
    slots: int
    servers: dict[Place, int]
    speeds: tuple[float, ...] = DEFAULT_SPEEDS
    links_mbps: tuple[float, ...] = (0.0,)


@dataclass(frozen=True, slots=True)
class AccountRow:
    """A client account.

    Parameters
    ----------
    weight
        Share of the calls that the account sends, relative to the others.
    rank
        Rank that replaces that of the kinds, or None.
    """

    name: AccountName
    weight: float
    rank: Rank | None = None


@dataclass(frozen=True, slots=True)
class BurstRow:
    """A time in which callers send `factor` times as many calls.

    Parameters
    ----------
    kind, account
        Kind of call and account that the burst is limited to; None for all.
    """

    from_s: float
    to_s: float
    factor: float
    kind: str | None = None
    account: AccountName | None = None


@dataclass(frozen=True, slots=True)
class WaveRow:
    """A load of callers in one place that rises and falls by a share."""

    place: Place
    share: float
    period_s: float
    phase_s: float

    def factor_at(self, at_s: float) -> float:
        """Return by how much the calls are multiplied at a time."""
        angle = 2 * math.pi * (at_s + self.phase_s) / self.period_s
        return 1 + self.share * math.sin(angle)


@dataclass(frozen=True, slots=True)
class TroubleRow:
    """A time in which some backend servers of a service are in trouble.

    Parameters
    ----------
    share
        Share of the service's backend servers, in the given place if any.
    strength
        Factor of the time for a slow server, or for a new process while it is
        cold; else the share of the calls that the server refuses or fails.
    cold_s
        Time for which the new process of a server that restarts is cold.
    """

    from_s: float
    to_s: float
    service: ServiceName
    trouble: Trouble
    share: float
    strength: float
    place: Place | None = None
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """A load that a mesh has to cope with.

    Parameters
    ----------
    seconds
        Time during which callers send calls.
    impatient_share
        Share of the callers that try again at once, whatever they are told.
    caller_attempts
        Number of times that a patient caller sends a request.
    accounts
        Client accounts that send the calls of callers; empty if calls need no
        account. Calls that backend servers make have none.
    """

    name: str
    services: tuple[ServiceRow, ...]
    kinds: tuple[KindRow, ...]
    seconds: float
    bursts: tuple[BurstRow, ...] = ()
    waves: tuple[WaveRow, ...] = ()
    troubles: tuple[TroubleRow, ...] = ()
    impatient_share: float = 0.0
    retry_slack: float = 172.0
    caller_attempts: int = 2
    accounts: tuple[AccountRow, ...] = ()
    has_adaptive_start: bool = False

    def slots_of(self, service: ServiceName) -> int:
        """Return the slots of each backend server of a service."""
        return next(row.slots for row in self.services if row.name == service)

    def factor_at(
        self, at_s: float, kind: str, account: AccountName | None = None
    ) -> float:
        """Return by how much bursts multiply the calls at a time."""
        factor = 1.0
        for burst in self.bursts:
            if (
                burst.from_s <= at_s < burst.to_s
                and burst.kind in (None, kind)
                and burst.account in (None, account)
            ):
                factor *= burst.factor
        return factor
