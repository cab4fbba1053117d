"""What the decisions are told of a request."""

from papayapost.ids import CallId, IdempotencyKey, Micros
from papayapost.traffic import CallArrived
from papayapost_node.http import HttpRequest, content_length

__all__ = ["arrival_of", "host_of", "origin_form"]

_MAX_TIMEOUT_DIGITS = 9


def arrival_of(call_id: CallId, request: HttpRequest, is_whole: bool) -> CallArrived:
    """Return the input for a request.

    Parameters
    ----------
    is_whole
        Whether `request` holds the whole body.
    """
    headers = dict(request.headers)
    authority, target = origin_form(request.target)
    key = headers.get(b"idempotency-key")
    size = len(request.body) if is_whole else content_length(request.headers)
    return CallArrived(
        call_id,
        request.method,
        host_of(authority or headers.get(b"host", b"").decode("latin-1")),
        target.partition("?")[0],
        _budget_us(headers),
        IdempotencyKey(key.decode("latin-1")) if key else None,
        size,
    )


def origin_form(target: str) -> tuple[str, str]:
    """Split a request target into its authority, if it has one, and the rest.

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
    """Return the host of an authority, without its port and in lower case.

    Examples
    --------
    >>> host_of("Wind.Example:80"), host_of("[::1]:80")
    ('wind.example', '[::1]')
    """
    host, bracket, _ = authority.partition("]")
    if bracket:
        return (host + bracket).lower()
    return authority.partition(":")[0].lower()


def _budget_us(headers: dict[bytes, bytes]) -> Micros | None:
    text = headers.get(b"papayapost-timeout-ms", b"")
    if not text.isdigit() or len(text) > _MAX_TIMEOUT_DIGITS:
        return None
    return Micros(int(text) * 1000)
