"""Rows that the lines of a rules text compile to; all are immutable."""

from dataclasses import replace

from papayapost.define import define
from papayapost.ids import AccountName, KeyDigest, Owner, ServiceName
from papayapost.states import Rank

__all__ = [
    "ANY_HOST",
    "AccessRule",
    "Account",
    "AccountKey",
    "CallerLimits",
    "Route",
    "RoutePattern",
    "RuleRow",
    "Share",
    "WeightedService",
]

ANY_HOST = "*"
"""Host pattern that matches every host."""


@define(frozen=True)
class RoutePattern:
    """The methods, the host and the path of the calls that a route matches."""

    methods: frozenset[str]
    host: str
    path: str


@define(frozen=True)
class WeightedService:
    """A service of a route, with its relative share of the route's calls."""

    service: ServiceName
    weight: int


@define(frozen=True)
class Route:
    """One ``route`` line.

    Parameters
    ----------
    line
        Line number in the rules file, from 1.
    methods
        HTTP methods in upper case; empty for any.
    host
        Host without port in lower case, or ``*`` for any.
    path
        Exact path, or a prefix when it ends in ``*``.
    service
        Service that gets the calls; if `parts` is set, the first of them.
    rank
        Priority of the calls.
    idempotent
        Whether a call may run more than once.
    timeout_ms
        Time budget of the whole call in ms, including retries.
    retries
        Maximum of attempts after the first. If the route is not idempotent,
        only an attempt that was refused as not run is retried.
    hedge_ms
        Delay in ms after which a hedge starts, or None for no hedging.
    cross_link
        Whether calls may take the link between regions.
    owner, reason
        Who asked for the rule, and why.
    target_ms
        Desired answer time in ms, or None if the rule sets none.
    parts
        The services that share the calls; empty if one service gets all.
    link_last
        Whether calls take the link between regions only while no nearer
        backend server is available.
    anonymous
        Whether calls need no key of a client account.
    """

    line: int
    methods: frozenset[str]
    host: str
    path: str
    service: ServiceName
    rank: Rank
    idempotent: bool
    timeout_ms: int
    retries: int
    hedge_ms: int | None
    cross_link: bool
    owner: Owner
    reason: str
    target_ms: int | None = None
    parts: tuple[WeightedService, ...] = ()
    link_last: bool = False
    anonymous: bool = False

    def at_line(self, line: int) -> "Route":
        """Return a copy of the route with another line number."""
        # dataclasses.replace takes four times as long as this call, and a
        # line inserted at the top of a file renumbers every route.
        return Route(
            line,
            self.methods,
            self.host,
            self.path,
            self.service,
            self.rank,
            self.idempotent,
            self.timeout_ms,
            self.retries,
            self.hedge_ms,
            self.cross_link,
            self.owner,
            self.reason,
            self.target_ms,
            self.parts,
            self.link_last,
            self.anonymous,
        )

    @property
    def pattern(self) -> RoutePattern:
        """The methods, host and path of the calls that the route matches."""
        return RoutePattern(self.methods, self.host, self.path)

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """All services that calls of the route may go to."""
        if not self.parts:
            return (self.service,)
        return tuple(part.service for part in self.parts)

    @property
    def stem(self) -> str | None:
        """The path without its final ``*``, or None if the path is exact."""
        return self.path[:-1] if self.path.endswith("*") else None


@define(frozen=True)
class Share:
    """One ``share`` line: a rank's part of each backend server's slots.

    Parameters
    ----------
    line
        Line number in the rules file, from 1.
    floor_percent
        Minimum percentage of the slots that the rank gets under any load.
    ceiling_percent
        Maximum percentage of the slots for the rank while other ranks wait.
    owner, reason
        Who asked for the rule, and why.
    """

    line: int
    rank: Rank
    floor_percent: int
    ceiling_percent: int
    owner: Owner
    reason: str

    def at_line(self, line: int) -> "Share":
        """Return a copy of the share with another line number."""
        return replace(self, line=line)


@define(frozen=True)
class Account:
    """One ``account`` line: a client account.

    Parameters
    ----------
    line
        Line number in the rules file, from 1.
    rank
        Priority of the account's calls, or None to use that of the route.
    rate_per_s, burst
        Quota of the account over all nodes together: calls per second, and
        calls that may exceed this rate at once. A rate of 0 sets no limit.
    owner, reason
        Who asked for the rule, and why.
    """

    line: int
    name: AccountName
    rank: Rank | None
    rate_per_s: float
    burst: float
    owner: Owner
    reason: str

    @property
    def has_quota(self) -> bool:
        """Whether the number of the account's calls is limited."""
        return self.rate_per_s > 0

    def at_line(self, line: int) -> "Account":
        """Return a copy of the account with another line number."""
        return replace(self, line=line)


@define(frozen=True)
class AccountKey:
    """One ``key`` line: the digest of a secret key of a client account."""

    line: int
    digest: KeyDigest
    account: AccountName
    owner: Owner
    reason: str

    def at_line(self, line: int) -> "AccountKey":
        """Return a copy of the key with another line number."""
        return replace(self, line=line)


@define(frozen=True)
class AccessRule:
    """An ``access`` line: whether calls need a key without any account."""

    line: int
    requires_keys: bool
    owner: Owner
    reason: str

    def at_line(self, line: int) -> "AccessRule":
        """Return a copy of the rule with another line number."""
        return replace(self, line=line)


@define(frozen=True)
class CallerLimits:
    """A ``limits`` line: bounds on the requests of callers.

    Parameters
    ----------
    line
        Line number in the rules file, from 1.
    head_bytes, body_bytes
        Largest head and largest body of a request; None for the node's own
        setting, like the times below.
    head_timeout_ms
        Time within which a head must arrive.
    idle_timeout_ms
        Time after which a connection without a request is closed.
    owner, reason
        Who asked for the rule, and why.
    """

    line: int
    head_bytes: int | None
    body_bytes: int | None
    head_timeout_ms: int | None
    idle_timeout_ms: int | None
    owner: Owner
    reason: str

    def at_line(self, line: int) -> "CallerLimits":
        """Return a copy of the limits with another line number."""
        return replace(self, line=line)


RuleRow = Route | Share | Account | AccountKey | AccessRule | CallerLimits
"""Row of any line of a rules text."""
