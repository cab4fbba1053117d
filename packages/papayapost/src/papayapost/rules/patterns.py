"""Reads the methods, the host and the path that a route matches."""

import re

from papayapost.rules.faults import RuleFault
from papayapost.rules.model import ANY_HOST
from papayapost.rules.tokens import RuleLine, Word

__all__ = ["METHODS", "read_host", "read_methods", "read_path"]

METHODS = frozenset(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"])

_MAX_HOST_LENGTH = 253
_LABEL = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
_HOST = re.compile(rf"{_LABEL}(\.{_LABEL})*")
# Printable ASCII without '#', '*' and '?', and one '*' at the very end.
_PATH = re.compile(r'/[!"$-)+->@-~]*\*?')


def read_methods(line: RuleLine, word: Word) -> frozenset[str] | None:
    """Return the methods, empty for any, or None if some are unknown."""
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
        f"use '*' or some of {','.join(sorted(METHODS))}, without blanks",
    )
    return None


def read_host(line: RuleLine, word: Word) -> str | None:
    """Return the host of a target in lower case, or None if it is bad."""
    host = word.text.partition("/")[0].lower() or ANY_HOST
    if host == ANY_HOST:
        return host
    if len(host) <= _MAX_HOST_LENGTH and _HOST.fullmatch(host):
        return host
    line.report(
        RuleFault.BAD_HOST,
        word.column,
        f"bad host {host!r}",
        "write a DNS name or an IPv4 number without scheme and port, or "
        f"{ANY_HOST!r} for any host; a name in other letters as 'xn--...'",
    )
    return None


def read_path(line: RuleLine, word: Word) -> str | None:
    """Return the path pattern of a target, or None if it is bad."""
    host, slash, rest = word.text.partition("/")
    path = slash + rest
    if _PATH.fullmatch(path):
        return path
    line.report(
        RuleFault.BAD_PATH,
        word.column + len(host),
        f"bad path {path!r}",
        "write '/path', or a prefix that ends in its only '*'; no query, and "
        "other than ASCII characters percent-encoded",
    )
    return None
