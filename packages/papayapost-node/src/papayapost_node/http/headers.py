"""Selects the headers to forward, and adds those that frame a body."""

from collections.abc import Iterable

from papayapost_node.http.messages import Headers

__all__ = ["content_length", "forwardable", "framing_headers", "has_known_end"]

_HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)


def forwardable(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers without those that are hop-by-hop.

    Headers that a Connection header names are hop-by-hop too.

    Parameters
    ----------
    headers
        Pairs of name and value; names are in lower case.

    Examples
    --------
    >>> forwardable([(b"connection", b"x-hop"), (b"x-hop", b"1"), (b"a", b"")])
    [(b'a', b'')]
    """
    end_to_end = []
    listed_names: set[bytes] = set()
    for name, value in headers:
        if name not in _HOP_BY_HOP:
            end_to_end.append((name, value))
        elif name == b"connection":
            listed_names.update(token.strip().lower() for token in value.split(b","))
    # A caller could list Content-Length in its Connection header. It is
    # forwarded nevertheless, as the end of the request's body would be unknown
    # without it.
    listed_names -= {b"close", b"keep-alive", b"content-length", b""}
    if listed_names:
        return [header for header in end_to_end if header[0] not in listed_names]
    return end_to_end


def content_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the value of the Content-Length header in bytes, or None."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def framing_headers(headers: Headers, body_bytes: int, is_whole: bool) -> Headers:
    """Return the headers to add to a request so that its body is framed.

    Parameters
    ----------
    body_bytes
        Length of the body that has arrived.
    is_whole
        Whether the whole body has arrived.

    Examples
    --------
    >>> framing_headers([], 5, True), framing_headers([], 0, True)
    ([(b'content-length', b'5')], [])
    >>> framing_headers([], 5, False)
    [(b'transfer-encoding', b'chunked')]
    """
    if content_length(headers) is not None:
        return []
    if not is_whole:
        return [(b"transfer-encoding", b"chunked")]
    return [(b"content-length", b"%d" % body_bytes)] if body_bytes else []


def has_known_end(headers: Headers) -> bool:
    """Return whether headers tell where a body ends, if there is one.

    If they do not, the body of an answer ends with its connection.

    Examples
    --------
    >>> has_known_end([(b"content-length", b"5")]), has_known_end([])
    (True, False)
    """
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
