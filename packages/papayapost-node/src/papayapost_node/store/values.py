"""Encodes the values of objects by their kind.

The rules file is plain text, so that operators can edit it in the store;
everything else is JSON, so that they can read it there.
"""

from collections.abc import Mapping

import msgspec

from papayapost.distribution.status import StatusReport
from papayapost.record import ChangeDetail, RecordPage
from papayapost.rules import decode_text
from papayapost.storage import ObjectKind

__all__ = ["VALUE_TYPES", "decode_value", "encode_value"]

VALUE_TYPES: Mapping[ObjectKind, type] = {
    ObjectKind.CONFIG: str,
    ObjectKind.STATUS: StatusReport,
    ObjectKind.RECORD: RecordPage,
    ObjectKind.RECORD_DETAIL: ChangeDetail,
}


def encode_value(value: object) -> bytes:
    """Return the bytes of an object's value."""
    if isinstance(value, str):
        return value.encode()
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
        return decode_text(data)
    return msgspec.json.decode(data, type=value_type)
