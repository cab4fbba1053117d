"""Decodes JSON that another program may have written."""

import re
from typing import TypeVar

import msgspec

__all__ = ["decode_json", "prune_json"]

T = TypeVar("T")

_MAX_DEPTH = 64
"""Deepest nesting that is kept; no document of a mesh nests half as deep."""

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL)
_OPENING = b"[{"


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON of any nesting as a value of a type.

    The decoder itself raises RecursionError for a deeply nested value, also
    where no field needs it.

    Raises
    ------
    ValueError
        If the bytes do not encode a value of the type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError:
        return msgspec.json.decode(prune_json(data), type=kind)


def prune_json(data: bytes) -> bytes:
    """Return a JSON text with null in place of each deeply nested value.

    Examples
    --------
    >>> deep = b"[" * 100 + b"]" * 100
    >>> prune_json(b'{"a": 1, "b": ' + deep + b"}").count(b"[")
    63
    """
    kept: list[bytes] = []
    depth = kept_to = 0
    for token in _TOKEN.finditer(data):
        first = token.group()[:1]
        if first == b'"':
            continue
        if first in _OPENING:
            if depth == _MAX_DEPTH:
                kept += [data[kept_to : token.start()], b"null"]
            depth += 1
        else:
            depth -= 1
            if depth == _MAX_DEPTH:
                kept_to = token.end()
    # Without its closing bracket the rest is no JSON, and does not decode.
    rest = data[kept_to:] if depth <= _MAX_DEPTH else b""
    return b"".join([*kept, rest])
