"""Builds the `CallArrived` input from the head of a caller's request."""

from papayapost.ids import CallId
from papayapost.traffic import CallArrived
from papayapost_node.exchange.dialect import Dialect
from papayapost_node.http import HttpRequest, content_length

__all__ = ["arrival_of", "host_of", "origin_form"]


def arrival_of(
    call_id: CallId, request: HttpRequest, is_whole: bool, dialect: Dialect
) -> CallArrived:
    """Return the input that reports a request to the traffic systems.

    Parameters
    ----------
    request
        The request's head, and its body as far as it has arrived.
    is_whole
        Whether `request` holds the whole body. Otherwise the body's size is
        read from the Content-Length header.
    dialect
        Reads the time budget, the idempotency key and the request's name
        from the headers.
    """
    headers = dict(request.headers)
    authority, target = origin_form(request.target)
    terms = dialect.parse_call_terms(headers)
    size = len(request.body) if is_whole else content_length(request.headers)
    return CallArrived(
        call_id,
        request.method,
        host_of(authority or headers.get(b"host", b"").decode("latin-1")),
        target.partition("?")[0],
        terms.budget_us,
        terms.key,
        size,
        terms.name,
        terms.key_digest,
    )


def origin_form(target: str) -> tuple[str, str]:
    """Split a request target into authority and path with query.

    The authority is empty unless the target is an absolute URL.

    Examples
    --------
    >>> origin_form("/gusts?now"), origin_form("http://wind.example:80/gusts?now")
    (('', '/gusts?now'), ('wind.example:80', '/gusts?now'))
    """
    if target.startswith("/") or "://" not in target:
        return "", target
    authority, slash, path = target.partition("://")[2].partition("/")
    return authority, slash + path or "/"


def host_of(authority: str) -> str:
    """Return the host of an authority in lower case, without the port.

    Examples
    --------
    >>> host_of("Wind.Example:80"), host_of("[::1]:80")
    ('wind.example', '[::1]')
    """
    host, bracket, _ = authority.partition("]")
    if bracket:
        return (host + bracket).lower()
    return authority.partition(":")[0].lower()
