"""Encodes the values of objects by their kind.

The rules file is plain text, so that operators can edit it in the store;
everything else is JSON, so that they can read it there. Directories are
compressed, because they cross the paid link whole.
"""

from collections.abc import Mapping

import msgspec
import zstandard

from papayapost.distribution.status import StatusReport
from papayapost.membership import DataCentreImage
from papayapost.storage import ObjectKind

__all__ = ["VALUE_TYPES", "decode_value", "encode_value"]

VALUE_TYPES: Mapping[ObjectKind, type] = {
    ObjectKind.CONFIG: str,
    ObjectKind.DIRECTORY: DataCentreImage,
    ObjectKind.STATUS: StatusReport,
}

_COMPRESSED_TYPES = (DataCentreImage,)
_MAX_PLAIN_BYTES = 8 << 20


def encode_value(value: object) -> bytes:
    """Return the bytes of an object's value."""
    if isinstance(value, str):
        return value.encode()
    data = msgspec.json.encode(value)
    if isinstance(value, _COMPRESSED_TYPES):
        return zstandard.ZstdCompressor().compress(data)
    return data


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
    if value_type in _COMPRESSED_TYPES:
        data = _decompress(data)
    return msgspec.json.decode(data, type=value_type)


def _decompress(data: bytes) -> bytes:
    try:
        decompressor = zstandard.ZstdDecompressor()
        return decompressor.decompress(data, max_output_size=_MAX_PLAIN_BYTES)
    except zstandard.ZstdError as error:
        raise ValueError(f"{len(data)} bytes are not compressed: {error}") from None
