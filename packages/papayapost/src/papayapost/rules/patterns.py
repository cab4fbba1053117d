"""Parses the methods, the host and the path of a ``route`` line."""

import re

from papayapost.rules.faults import RuleFault
from papayapost.rules.model import ANY_HOST
from papayapost.rules.tokens import RuleLine, Word

__all__ = [
    "METHODS",
    "is_host",
    "is_path_pattern",
    "read_host",
    "read_methods",
    "read_path",
]

METHODS = frozenset(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"])

_MAX_HOST_CHARACTERS = 253
# Names of services in a mesh may have '_', which those of the DNS have not.
_DNS_LABEL = r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?"
_HOST_PATTERN = re.compile(rf"{_DNS_LABEL}(\.{_DNS_LABEL})*")
# Matches printable ASCII without '#', '*' and '?', then at most one '*'. A
# literal '*' is written '\*' and is never the last character.
_PATH_CHARACTERS = r'[!"$-)+->@-~]*'
_PATH_PATTERN = re.compile(rf"/{_PATH_CHARACTERS}(?:\\\*(?=.){_PATH_CHARACTERS})*\*?")


def is_host(text: str) -> bool:
    """Return whether a text is a host of a route, in lower case.

    Examples
    --------
    >>> is_host("wind.example"), is_host("*"), is_host("wind.example:80")
    (True, True, False)
    """
    if text == ANY_HOST:
        return True
    is_short = len(text) <= _MAX_HOST_CHARACTERS
    return is_short and _HOST_PATTERN.fullmatch(text) is not None


def is_path_pattern(text: str) -> bool:
    r"""Return whether a text is the path of a route, exact or a prefix.

    Examples
    --------
    >>> is_path_pattern("/gusts/*"), is_path_pattern("/a*b/*")
    (True, False)
    >>> is_path_pattern(r"/a\*b/*")
    True
    """
    return _PATH_PATTERN.fullmatch(text) is not None


def read_methods(line: RuleLine, word: Word) -> frozenset[str] | None:
    """Return the methods, empty for any; None after an unknown method."""
    if word.text == "*":
        return frozenset()
    methods = frozenset(word.text.split(","))
    unknown = sorted(methods - METHODS)
    if not unknown:
        return methods
    line.report(
        RuleFault.UNKNOWN_METHOD,
        word.column,
        f"unknown method {', '.join(map(repr, unknown))}",
        f"use '*' or some of {','.join(sorted(METHODS))}, without spaces",
    )
    return None


def read_host(line: RuleLine, word: Word) -> str | None:
    """Return the host of a target in lower case, or None if it is invalid."""
    host = word.text.partition("/")[0].lower() or ANY_HOST
    if is_host(host):
        return host
    line.report(
        RuleFault.BAD_HOST,
        word.column,
        f"invalid host {host!r}",
        "write a DNS name or an IPv4 address without scheme and port, or "
        f"{ANY_HOST!r} for any host; write a non-ASCII name as 'xn--...'",
    )
    return None


def read_path(line: RuleLine, word: Word) -> str | None:
    """Return the path pattern of a target, or None if it is invalid."""
    host, slash, rest = word.text.partition("/")
    path = slash + rest
    if is_path_pattern(path):
        return path[:-1].replace(r"\*", "*") + path[-1]
    line.report(
        RuleFault.BAD_PATH,
        word.column + len(host),
        f"invalid path {path!r}",
        "write '/path', or a prefix with a single '*' at its end; leave out "
        "the query and percent-encode characters that are not ASCII",
    )
    return None
