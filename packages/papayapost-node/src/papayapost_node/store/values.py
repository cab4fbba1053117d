"""Encodes the values of objects by their kind.

The rules file is plain text, so that operators can edit it in the store. The
accepted rules are the same text after a line with their version: as JSON, a
text near the store's megabyte would outgrow it. Everything else is JSON, so
that operators can read it there.
"""

from collections.abc import Mapping

import msgspec

from papayapost.distribution import AcceptedRules, StatusReport
from papayapost.ids import RuleVersion
from papayapost.storage import ObjectKind
from papayapost.traffic import ClaimsObject

__all__ = ["VALUE_TYPES", "decode_value", "encode_value"]

VALUE_TYPES: Mapping[ObjectKind, type] = {
    ObjectKind.CONFIG: str,
    ObjectKind.ACCEPTED: AcceptedRules,
    ObjectKind.STATUS: StatusReport,
    ObjectKind.CLAIMS: ClaimsObject,
}

_ACCEPTED_PREFIX = "# papayapost version "


def encode_value(value: object) -> bytes:
    """Return the bytes of an object's value."""
    if isinstance(value, str):
        return value.encode()
    if isinstance(value, AcceptedRules):
        return f"{_ACCEPTED_PREFIX}{value.version}\n{value.text}".encode()
    return msgspec.json.encode(value)


def decode_value(kind: ObjectKind, data: bytes) -> object:
    """Return the value of an object's bytes.

    Raises
    ------
    ValueError
        If the bytes are not a value of that kind.
    """
    value_type = VALUE_TYPES[kind]
    if value_type is str:
        return data.decode()
    if value_type is AcceptedRules:
        return _decode_accepted(data.decode())
    return msgspec.json.decode(data, type=value_type)


def _decode_accepted(data: str) -> AcceptedRules:
    head, _, text = data.partition("\n")
    digits = head.removeprefix(_ACCEPTED_PREFIX)
    if digits == head or not digits.isascii() or not digits.isdigit():
        raise ValueError(f"the first line {head[:80]!r} names no version")
    return AcceptedRules(RuleVersion(int(digits)), text)
