"""Reads the body length from a request's head and rejects invalid heads."""

import h11

from papayapost_node.http.headers import content_length
from papayapost_node.http.messages import Headers

__all__ = ["body_bytes", "head_bytes", "refusal_status"]

_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_NOT_IMPLEMENTED = 501
_VERSION_NOT_SUPPORTED = 505


def body_bytes(headers: Headers) -> int | None:
    """Return the length of a request's body, or None if it is chunked."""
    if any(name == b"transfer-encoding" for name, _ in headers):
        return None
    return content_length(headers) or 0


def head_bytes(head: h11.Request) -> int:
    """Return the size of the request target and all headers together."""
    return len(head.target) + sum(
        len(name) + len(value) + 4 for name, value in head.headers
    )


def refusal_status(head: h11.Request, size_bytes: int, limit_bytes: int) -> int | None:
    """Return the status that refuses a parsed head, or None to accept it.

    This covers what the parser accepts: a head above the limit that arrived
    in one read, Content-Length beside Transfer-Encoding, versions other than
    1.x, and CONNECT requests.

    Parameters
    ----------
    size_bytes, limit_bytes
        Size and largest size of the request target and all headers together.
    """
    if head.method == b"CONNECT":
        return _NOT_IMPLEMENTED
    if not head.http_version.startswith(b"1."):
        return _VERSION_NOT_SUPPORTED
    names = [name for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        return _BAD_REQUEST
    return _HEAD_TOO_LARGE if size_bytes > limit_bytes else None
