"""Checks the heads of answers beyond what the HTTP parser does."""

import re

import h11

__all__ = ["HeadCheck", "check_final_head"]

_MAX_STATUS = 599
_VERSION_PREFIX = b"1."

_CHECKED_BYTES = 256
"""Bytes at the start of each line that are checked; longer names are rare."""

_STATUS_LINE_START = b"HTTP/0.0 000"
_DIGITS_TO_ZERO = bytes.maketrans(b"123456789", b"000000000")
_FIELD_START = re.compile(rb"[ \t].*|[!#$%&'*+.^_`|~0-9A-Za-z-]*(?::.*|\r?)")
_WHOLE_FIELD = re.compile(rb"[ \t].*|[^:]+:.*|\r?")
_FORBIDDEN = b"\x00"


def check_final_head(head: h11.Response) -> None:
    """Check the status line of a final answer that the parser accepts.

    The parser refuses statuses below 200 here, but not those above the last
    class of HTTP, nor those of other protocols.

    Raises
    ------
    h11.RemoteProtocolError
        If the status is above 599, or the version is not HTTP/1.x.
    """
    if head.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError(f"{head.status_code} is no status of HTTP")
    if not head.http_version.startswith(_VERSION_PREFIX):
        version = head.http_version.decode("ascii")
        raise h11.RemoteProtocolError(f"HTTP/{version} is not HTTP/1.x")


class HeadCheck:
    """Checks the lines of one head as they arrive.

    The HTTP parser judges a head only when it is complete. Bytes that are no
    answer may never contain the blank line that ends a head, so this check
    finds them earlier. It accepts every head that the parser accepts.

    Examples
    --------
    >>> check = HeadCheck()
    >>> check.feed(b"HTTP/1.1 20")
    >>> check.feed(b"x")
    Traceback (most recent call last):
    ...
    h11._util.RemoteProtocolError: illegal status line: b'HTTP/1.1 20x'
    """

    __slots__ = ("_is_status_line", "_line")

    def __init__(self) -> None:
        self._line = b""
        self._is_status_line = True

    def feed(self, data: bytes) -> None:
        """Check further bytes of the head.

        Raises
        ------
        h11.RemoteProtocolError
            If no head of an answer begins with the bytes fed so far.
        """
        if _FORBIDDEN in data:
            raise h11.RemoteProtocolError("the head contains a null byte")
        *ends, rest = data.split(b"\n")
        for end in ends:
            self._extend_line(end)
            self._check_line(is_whole=True)
            self._line = b""
            self._is_status_line = False
        self._extend_line(rest)
        self._check_line(is_whole=False)

    def _extend_line(self, data: bytes) -> None:
        self._line += data[: _CHECKED_BYTES - len(self._line)]

    def _check_line(self, is_whole: bool) -> None:
        line = self._line
        if self._is_status_line:
            start = line[: len(_STATUS_LINE_START)].translate(_DIGITS_TO_ZERO)
            is_legal = _STATUS_LINE_START.startswith(start) and (
                line[len(start) : len(start) + 1] in (b"", b" ", b"\r")
            )
            is_legal &= not is_whole or len(start) == len(_STATUS_LINE_START)
            kind = "status line"
        else:
            is_legal = _FIELD_START.fullmatch(line) is not None
            if is_whole and len(line) < _CHECKED_BYTES:
                is_legal &= _WHOLE_FIELD.fullmatch(line) is not None
            kind = "header line"
        if not is_legal:
            raise h11.RemoteProtocolError(f"illegal {kind}: {line!r}")
