"""Reads and writes the headers that callers and backend servers use.

The names and meanings of these headers depend on the platform that the mesh
is deployed on, so a dialect translates them to and from the terms of the
traffic systems.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from enum import Enum

from papayapost.define import define
from papayapost.ids import (
    AccountName,
    CallId,
    IdempotencyKey,
    InstanceId,
    KeyDigest,
    Micros,
    NodeId,
    RequestName,
)
from papayapost.traffic import CallRefusal
from papayapost_node.exchange.call_header import call_header
from papayapost_node.exchange.keys import (
    AUTHORIZATION_HEADER,
    key_digest_of,
    without_key,
)
from papayapost_node.http import Headers, forwardable

__all__ = [
    "AnswerVerdict",
    "BackendTerms",
    "CallTerms",
    "Dialect",
    "NativeDialect",
    "parse_milliseconds",
]

_TIMEOUT_HEADER = b"papayapost-timeout-ms"
_ACCOUNT_HEADER = b"papayapost-account"
_MAX_TIMEOUT_DIGITS = 9


class AnswerVerdict(Enum):
    """How the head of a backend server's answer is to be understood.

    ``ANSWER`` is a usable answer to the request. ``NOT_RUN`` says that the
    backend server did not run the request and never will. ``NOT_RUN_UNNAMED``
    says so without the name of a request. ``BROKEN`` says that the answer is
    unusable, while the request may have run. ``FOREIGN`` says that the answer
    belongs to another request.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    NOT_RUN_UNNAMED = "not-run-unnamed"
    BROKEN = "broken"
    FOREIGN = "foreign"


@define(frozen=True)
class CallTerms:
    """Terms that a caller sets for its request in the request's headers.

    Parameters
    ----------
    budget_us
        Time in microseconds that the caller waits for its answer, or None if
        it sets no limit.
    key
        The request's idempotency key, or None.
    name
        The caller's own name for the request; empty without one.
    key_digest
        Digest of the secret key of a client account, or None without one.
    """

    budget_us: Micros | None
    key: IdempotencyKey | None
    name: RequestName
    key_digest: KeyDigest | None = None


@define(frozen=True)
class BackendTerms:
    """Terms that the owner node adds to a request for the backend server.

    Parameters
    ----------
    budget_ms
        Time in milliseconds that is left for the answer.
    instance
        The only backend server that may run the request; None for any.
    account
        Client account that the request belongs to, or None.
    """

    budget_ms: int
    instance: InstanceId | None
    account: AccountName | None = None


class Dialect(ABC):
    """Reads and writes the headers of requests and answers.

    Header names are in lower case. A dialect only translates; the traffic
    systems make the decisions.
    """

    @abstractmethod
    def parse_call_terms(self, headers: Mapping[bytes, bytes]) -> CallTerms:
        """Return the terms that a caller's request headers set."""

    @abstractmethod
    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return the request headers to send on to the owner node."""

    @abstractmethod
    def forwarded_trailers(self, trailers: Headers) -> Headers:
        """Return the trailers of the request's body for the owner node."""

    @abstractmethod
    def backend_headers(self, headers: Headers, terms: BackendTerms) -> Headers:
        """Return the request headers to send to the backend server."""

    @abstractmethod
    def judge_answer(
        self, request: Headers, status: int, answer: Headers
    ) -> AnswerVerdict:
        """Return the verdict on the answer that followed a request."""

    @abstractmethod
    def refusal(self, refused: CallRefusal) -> tuple[int, Headers]:
        """Return status and headers of the answer to a refused call."""

    @abstractmethod
    def added_answer_headers(self, node_id: NodeId, call_id: CallId) -> Headers:
        """Return the headers that the entry node adds to an answer."""


class NativeDialect(Dialect):
    """Implements papayapost's own headers, which docs/CALLS.md describes."""

    def parse_call_terms(self, headers: Mapping[bytes, bytes]) -> CallTerms:
        """Return the terms that a caller's request headers set."""
        key = headers.get(b"idempotency-key")
        timeout_ms = parse_milliseconds(headers.get(_TIMEOUT_HEADER, b""))
        return CallTerms(
            None if timeout_ms is None else Micros(timeout_ms * 1000),
            IdempotencyKey(key.decode("latin-1")) if key else None,
            RequestName(""),
            key_digest_of(headers.get(AUTHORIZATION_HEADER, b"")),
        )

    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return all headers but the hop-by-hop ones, keys and account."""
        return [
            item
            for item in without_key(forwardable(headers))
            if item[0] != _ACCOUNT_HEADER
        ]

    def forwarded_trailers(self, trailers: Headers) -> Headers:
        """Return the trailers without those that a caller may not set."""
        return self.forwarded_headers(trailers)

    def backend_headers(self, headers: Headers, terms: BackendTerms) -> Headers:
        """Return the headers with the remaining time budget and account."""
        sent_headers = [item for item in headers if item[0] != _TIMEOUT_HEADER]
        sent_headers.append((_TIMEOUT_HEADER, b"%d" % terms.budget_ms))
        if terms.account is not None:
            sent_headers.append((_ACCOUNT_HEADER, terms.account.encode()))
        return sent_headers

    def judge_answer(
        self, request: Headers, status: int, answer: Headers
    ) -> AnswerVerdict:
        """Accept every answer as the answer to its request."""
        return AnswerVerdict.ANSWER

    def refusal(self, refused: CallRefusal) -> tuple[int, Headers]:
        """Return the refusal's status, and its outcome and code as headers."""
        headers = [
            (b"papayapost-outcome", refused.outcome.value.encode()),
            (b"papayapost-code", refused.code.value.encode()),
        ]
        if refused.retry_after_ms is not None:
            headers.append((b"retry-after-ms", b"%d" % refused.retry_after_ms))
        return refused.status, headers

    def added_answer_headers(self, node_id: NodeId, call_id: CallId) -> Headers:
        """Return the header that holds the call's id."""
        return [call_header(node_id, call_id)]


def parse_milliseconds(text: bytes) -> int | None:
    """Return a header's value in milliseconds.

    Returns None if the value is no whole number or has more than 9 digits.

    Examples
    --------
    >>> parse_milliseconds(b"2000"), parse_milliseconds(b"2 s")
    (2000, None)
    """
    if not text.isdigit() or len(text) > _MAX_TIMEOUT_DIGITS:
        return None
    return int(text)
