"""Messages about the tokens that calls of accounts with a quota need.

Types whose first field is ``sender`` travel between nodes. The others pass
between the systems of one node. All calls of one tick that need a token of the
same lender share one message, and so do the answers.
"""

from enum import Enum

from papayapost.define import define
from papayapost.ids import (
    AccountName,
    Address,
    CallId,
    Incarnation,
    LeaseTerm,
    Micros,
    NodeId,
    QuotaPartition,
)

__all__ = [
    "AskDue",
    "LeaseRenewed",
    "LeaseStepDue",
    "NotLender",
    "TokenDenied",
    "TokenGrant",
    "TokenGranted",
    "TokenNeeded",
    "TokenReturned",
    "TokenSettled",
    "TokenUnneeded",
    "TokenUnused",
    "TokenVerdict",
    "TokenWanted",
    "TokensSent",
    "TokensWanted",
    "WaitingDue",
]


@define
class TokenWanted:
    """Entry node to lender: these calls need one token each.

    Parameters
    ----------
    incarnation
        Incarnation of the sender. The answers repeat it, so that a new process
        of the entry node does not take them for its own.
    calls
        Id and account of each call. All accounts belong to the partition.
    """

    sender: NodeId
    reply_to: Address
    incarnation: Incarnation
    partition: QuotaPartition
    calls: tuple[tuple[CallId, AccountName], ...]


@define
class TokenGranted:
    """Lender to entry node: each of these calls has its token.

    Parameters
    ----------
    incarnation
        Incarnation of the entry node that asked.
    term, granted_us
        Term of the lender's lease, and time of its clock in µs. A token that
        is returned is returned with both.
    """

    sender: NodeId
    incarnation: Incarnation
    partition: QuotaPartition
    term: LeaseTerm
    granted_us: Micros
    call_ids: tuple[CallId, ...]


@define
class TokenDenied:
    """Lender to entry node: the quotas of the accounts are used up.

    Parameters
    ----------
    incarnation
        Incarnation of the entry node that asked.
    denials
        Id of each call, and the time in ms after which its account has room.
    """

    sender: NodeId
    incarnation: Incarnation
    partition: QuotaPartition
    denials: tuple[tuple[CallId, int], ...]


@define
class NotLender:
    """Answer of a node that was asked for tokens, but does not lend them.

    Parameters
    ----------
    incarnation
        Incarnation of the node that asked.
    holder
        Node that holds the lease as far as the sender knows, or None.
    call_ids
        Calls that asked; empty if a lender did.
    """

    sender: NodeId
    incarnation: Incarnation
    partition: QuotaPartition
    holder: NodeId | None
    call_ids: tuple[CallId, ...]


@define
class TokenReturned:
    """Entry node to lender: tokens that were granted are not used.

    Parameters
    ----------
    term, granted_us
        Term and time in µs of the answer that granted the tokens.
    accounts
        Account of each token.
    """

    sender: NodeId
    partition: QuotaPartition
    term: LeaseTerm
    granted_us: Micros
    accounts: tuple[AccountName, ...]


@define
class LeaseRenewed:
    """Lender to the other candidates of its region: the lease's new version.

    It saves them from reading the lease in the store. They take it over by a
    write that expects this version, so that a message that is lost or late
    does no harm.

    Parameters
    ----------
    version
        Version of the lease in the store.
    is_released
        Whether the sender has given the lease up.
    """

    sender: NodeId
    partition: QuotaPartition
    version: int
    is_released: bool = False


@define
class TokensWanted:
    """Lender to the lender of another region: send tokens of an account.

    Parameters
    ----------
    incarnation
        Incarnation of the sender.
    count
        Number of tokens of which the sender is short.
    asked_us
        Time of the sender's clock in µs, which the answer repeats.
    """

    sender: NodeId
    reply_to: Address
    incarnation: Incarnation
    account: AccountName
    count: float
    asked_us: Micros


@define
class TokensSent:
    """Lender to the lender of another region: these tokens are yours.

    Parameters
    ----------
    count
        Number of tokens that the sender has taken from its bucket; may be 0.
    asked_us
        The time in the request.
    """

    sender: NodeId
    incarnation: Incarnation
    account: AccountName
    count: float
    asked_us: Micros


@define(frozen=True)
class TokenGrant:
    """A token that a call holds, with what is needed to return it.

    Parameters
    ----------
    lender
        Node that granted the token.
    term, granted_us
        Term and time in µs of the answer that granted it.
    """

    account: AccountName
    lender: NodeId
    partition: QuotaPartition
    term: LeaseTerm
    granted_us: Micros


class TokenVerdict(Enum):
    """What became of a call's request for a token."""

    GRANTED = "granted"
    DENIED = "denied"
    NO_LENDER = "no-lender"
    TOO_LATE = "too-late"


@define
class TokenNeeded:
    """Internal: a call needs a token before its first attempt.

    Parameters
    ----------
    deadline_us
        Time in µs after which the call has no use for a token.
    """

    call_id: CallId
    account: AccountName
    deadline_us: Micros


@define
class TokenUnneeded:
    """Internal: a call that waits for a token has ended."""

    call_id: CallId


@define
class TokenSettled:
    """Internal: a call has its token, or gets none.

    Parameters
    ----------
    grant
        The token; None unless the verdict is GRANTED.
    retry_after_ms
        Time in ms after which the account has room, if the call was denied.
    """

    call_id: CallId
    verdict: TokenVerdict
    grant: TokenGrant | None = None
    retry_after_ms: int | None = None


@define
class TokenUnused:
    """Internal: a call that had a token ended as not run."""

    grant: TokenGrant


@define
class AskDue:
    """Timer: a request for a token may have waited for too long."""


@define
class LeaseStepDue:
    """Timer: a lease must be renewed, or read again."""


@define
class WaitingDue:
    """Timer: calls that wait at this lender get tokens, or are denied."""
