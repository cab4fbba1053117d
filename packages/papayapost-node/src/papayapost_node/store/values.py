"""Encodes the values of store objects according to their kind.

- The rules are plain text, so that operators can edit them in the store.
- The accepted rules are the same text after a line with their version. They
  are not JSON, because escaping could make a text of almost 1 MB larger than
  the store's limit of 1 MB.
- Directories are JSON compressed with zstandard, because each is sent as a
  whole over the link between regions, whose traffic is paid for.
- All other values are JSON, so that operators can read them in the store.
"""

from collections.abc import Mapping

import msgspec
import zstandard

from papayapost.distribution import AcceptedRules, StatusReport
from papayapost.ids import RuleVersion
from papayapost.membership import DirectoryObject
from papayapost.quota import QuotaLease
from papayapost.record import ChangeDetail, RecordPage
from papayapost.roster import RosterEntry
from papayapost.rules import decode_text
from papayapost.storage import ObjectKind
from papayapost.traffic import ClaimsObject, Departure
from papayapost_node.foreign_json import decode_json
from papayapost_node.settings_file import is_address

__all__ = ["VALUE_TYPES", "decode_value", "encode_value"]

VALUE_TYPES: Mapping[ObjectKind, type] = {
    ObjectKind.CONFIG: str,
    ObjectKind.ACCEPTED: AcceptedRules,
    ObjectKind.STATUS: StatusReport,
    ObjectKind.CLAIMS: ClaimsObject,
    ObjectKind.DIRECTORY: DirectoryObject,
    ObjectKind.RECORD: RecordPage,
    ObjectKind.RECORD_DETAIL: ChangeDetail,
    ObjectKind.ENTRY: RosterEntry,
    ObjectKind.DEPARTURE: Departure,
    ObjectKind.QUOTA_LEASE: QuotaLease,
}

_ACCEPTED_PREFIX = "# papayapost version "
_MAX_DIRECTORY_BYTES = 8 << 20


def encode_value(value: object) -> bytes:
    """Return the bytes that the store holds for an object's value."""
    if isinstance(value, str):
        return value.encode()
    if isinstance(value, AcceptedRules):
        return f"{_ACCEPTED_PREFIX}{value.version}\n{value.text}".encode()
    data = msgspec.json.encode(value)
    if isinstance(value, DirectoryObject):
        return zstandard.ZstdCompressor().compress(data)
    return data


def decode_value(kind: ObjectKind, data: bytes) -> object:
    """Return the value that the bytes of an object encode.

    Raises
    ------
    ValueError
        If the bytes do not encode a value of the kind.
    """
    value_type = VALUE_TYPES[kind]
    if value_type is str:
        return decode_text(data)
    if value_type is AcceptedRules:
        return _decode_accepted(data.decode())
    if value_type is DirectoryObject:
        data = _decompress(data)
    value: object = decode_json(data, value_type)
    if isinstance(value, RosterEntry) and not is_address(value.address):
        raise ValueError(f"{value.address[:80]!r} is not an IP address with a port")
    return value


def _decode_accepted(data: str) -> AcceptedRules:
    first_line, _, text = data.partition("\n")
    digits = first_line.removeprefix(_ACCEPTED_PREFIX)
    if digits == first_line or not digits.isascii() or not digits.isdigit():
        raise ValueError(f"the first line {first_line[:80]!r} names no version")
    return AcceptedRules(RuleVersion(int(digits)), text)


def _decompress(data: bytes) -> bytes:
    try:
        decompressor = zstandard.ZstdDecompressor()
        return decompressor.decompress(data, max_output_size=_MAX_DIRECTORY_BYTES)
    except zstandard.ZstdError as error:
        raise ValueError(f"{len(data)} bytes do not decompress: {error}") from None
