"""The keys file: a node's own key pair and the public keys it accepts."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
import zmq
from msgspec import Meta
from zmq.utils import z85

from papayapost.errors import SettingsRefused
from papayapost.findings import Finding
from papayapost.ids import DataCentreId, NodeId
from papayapost_node.security.key_ring import AllowedKeyRow
from papayapost_node.security.keys import KeyPair, PublicKey
from papayapost_node.settings_file import (
    NameText,
    SettingsFault,
    SettingsModel,
    findings_in,
    read_settings_file,
)

__all__ = ["KeysFile", "load_keys"]

_KEY_CHARACTERS = 40
_KEY_BYTES = 32
# A holder needs two keys while its old key is replaced by a new one.
_MAX_KEYS_PER_HOLDER = 2

KeyText = Annotated[str, Meta(min_length=_KEY_CHARACTERS, max_length=_KEY_CHARACTERS)]
"""A CURVE key in Z85, the printable encoding that ZeroMQ uses for keys."""


class OwnKeys(SettingsModel, frozen=True):
    """The node's own key pair.

    Attributes
    ----------
    public_key, secret_key
        Both keys of the pair in Z85, 40 characters each.
    """

    public_key: KeyText
    secret_key: KeyText


class AllowedKey(SettingsModel, frozen=True):
    """A public key whose holder may connect to this node.

    Attributes
    ----------
    public_key
        The key in Z85, 40 characters.
    data_centre
        Data centre of the nodes that hold the key.
    node_id
        Id of the only node that holds the key; null if all nodes of the data
        centre share it.
    """

    public_key: KeyText
    data_centre: NameText
    node_id: NameText | None = None


class KeysFile(SettingsModel, frozen=True):
    """Contents of a keys file.

    Attributes
    ----------
    own
        The node's own key pair.
    allowed
        Public keys that the node accepts, at most two for each holder: the
        current key and the key that replaces it.
    """

    own: OwnKeys
    allowed: list[AllowedKey]

    def own_key_pair(self) -> KeyPair:
        """Return the node's own key pair."""
        return KeyPair(PublicKey(self.own.public_key), self.own.secret_key)

    def allowed_rows(self) -> list[AllowedKeyRow]:
        """Return a row with the key and its holder for each accepted key."""
        return [
            AllowedKeyRow(
                PublicKey(entry.public_key),
                DataCentreId(entry.data_centre),
                NodeId(entry.node_id) if entry.node_id else None,
            )
            for entry in self.allowed
        ]


def load_keys(path: Path) -> KeysFile:
    """Read and validate a keys file.

    Raises
    ------
    SettingsRefused
        If the file has findings. The error holds all of them, and none of
        their messages contains a secret key.
    """
    text = read_settings_file(path)
    findings = findings_in(text, KeysFile)
    if not findings:
        keys = msgspec.json.decode(text, type=KeysFile)
        findings = [*_own_pair_findings(keys), *_allowed_key_findings(keys)]
    if findings:
        raise SettingsRefused([_with_file(path, item) for item in findings])
    return keys


def _with_file(path: Path, finding: Finding) -> Finding:
    place = f"{path}:{finding.place}"
    return Finding(finding.code, place, finding.message, finding.remedy)


def _own_pair_findings(keys: KeysFile) -> Iterator[Finding]:
    secret_key = keys.own.secret_key
    is_pair = _is_valid_key(secret_key) and (
        zmq.curve_public(secret_key.encode()) == keys.own.public_key.encode()
    )
    if not is_pair:
        message = "the public key does not belong to the secret key"
        remedy = "create a pair with 'papayad keygen'"
        yield Finding(SettingsFault.BAD_KEY.value, "own", message, remedy)


def _allowed_key_findings(keys: KeysFile) -> Iterator[Finding]:
    keys_per_holder: Counter = Counter()
    listed_keys: set[str] = set()
    for number, entry in enumerate(keys.allowed):
        place, key = f"allowed.{number}", entry.public_key
        if not _is_valid_key(key):
            message = f"{key!r} is not a key in Z85 encoding"
            yield Finding(
                SettingsFault.BAD_KEY.value,
                place,
                message,
                "copy all 40 characters of it",
            )
        if key in listed_keys:
            message = f"{key} is listed twice"
            yield Finding(SettingsFault.DUPLICATE.value, place, message, "remove one")
        listed_keys.add(key)
        holder = (entry.data_centre, entry.node_id)
        keys_per_holder[holder] += 1
        if keys_per_holder[holder] > _MAX_KEYS_PER_HOLDER:
            name = entry.node_id or entry.data_centre
            message = f"{name} has more than {_MAX_KEYS_PER_HOLDER} keys"
            fault = SettingsFault.CONTRADICTION.value
            yield Finding(fault, place, message, "remove the oldest")


def _is_valid_key(text: str) -> bool:
    try:
        return len(z85.decode(text)) == _KEY_BYTES
    except (ValueError, KeyError, UnicodeEncodeError, OverflowError):
        return False
