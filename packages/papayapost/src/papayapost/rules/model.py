"""Compiled rules, immutable and shared by every table that names them."""

from dataclasses import dataclass, field

from papayapost.ids import Owner, ServiceName
from papayapost.states import Rank

__all__ = ["Route", "RuleSet", "Share"]


@dataclass(frozen=True, slots=True)
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
        Service whose backend servers answer.
    rank
        Rank of the calls.
    idempotent
        Whether a call may run more than once.
    timeout_ms
        Time for the whole call, retries included.
    retries
        Further attempts after the first, at most.
    hedge_ms
        Delay after which a second attempt starts, or None for no hedging.
    cross_link
        Whether calls may take the link between regions.
    owner, reason
        Who asked for the rule, and why.
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


@dataclass(frozen=True, slots=True)
class Share:
    """One ``share`` line: what a rank keeps of each backend server's slots.

    Parameters
    ----------
    floor_percent
        Share that the rank gets whatever the others send, in percent.
    ceiling_percent
        Share that the rank never exceeds while others wait, in percent.
    """

    line: int
    rank: Rank
    floor_percent: int
    ceiling_percent: int
    owner: Owner
    reason: str


@dataclass(frozen=True, slots=True)
class RuleSet:
    """A rules text compiled whole.

    Parameters
    ----------
    text
        The text as the store holds it.
    digest
        64-bit hash of the text, in hexadecimal.
    routes
        In file order; the first that matches a call decides it.
    shares
        At most one for each rank.
    """

    text: str
    digest: str
    routes: tuple[Route, ...]
    shares: tuple[Share, ...]
    services: frozenset[ServiceName] = field(default=frozenset())
