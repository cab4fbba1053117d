"""The keys file: a node's own keys and those that it accepts."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import zmq
from pydantic import Field
from zmq.utils import z85

from papayapost.errors import SettingsRefused
from papayapost.findings import Finding
from papayapost.ids import DataCentreId, NodeId
from papayapost_node.security.keys import KeyPair, PublicKey
from papayapost_node.security.ring import AllowedKeyRow
from papayapost_node.settings_file import (
    Name,
    SettingsFault,
    SettingsModel,
    findings_in,
    read_settings_file,
)

__all__ = ["KeysFile", "load_keys"]

_KEY_CHARACTERS = 40
_KEY_BYTES = 32
_MAX_GENERATIONS = 2

KeyText = Annotated[str, Field(min_length=_KEY_CHARACTERS, max_length=_KEY_CHARACTERS)]


class OwnKeys(SettingsModel):
    """The node's own key pair.

    Attributes
    ----------
    public_key, secret_key
        In Z85, 40 characters each.
    """

    public_key: KeyText
    secret_key: KeyText


class AllowedKey(SettingsModel):
    """A key that may take part.

    Attributes
    ----------
    public_key
        In Z85, 40 characters.
    data_centre
        Of the nodes that hold it.
    node_id
        Of the one node that holds it, or null for all of the data centre.
    """

    public_key: KeyText
    data_centre: Name
    node_id: Name | None = None


class KeysFile(SettingsModel):
    """Own keys and those that are accepted.

    Attributes
    ----------
    own
        The node's own key pair.
    allowed
        At most two keys for each holder: the present one and its successor.
    """

    own: OwnKeys
    allowed: list[AllowedKey]

    def own_pair(self) -> KeyPair:
        """Return the node's own keys."""
        return KeyPair(PublicKey(self.own.public_key), self.own.secret_key)

    def allowed_rows(self) -> list[AllowedKeyRow]:
        """Return the accepted keys with their holders."""
        return [
            AllowedKeyRow(
                PublicKey(item.public_key),
                DataCentreId(item.data_centre),
                NodeId(item.node_id) if item.node_id else None,
            )
            for item in self.allowed
        ]


def load_keys(path: Path) -> KeysFile:
    """Read and check a keys file.

    Raises
    ------
    SettingsRefused
        With every finding; no message shows a secret key.
    """
    text = read_settings_file(path)
    findings = findings_in(text, KeysFile)
    if not findings:
        keys = KeysFile.model_validate_json(text)
        findings = [*_own_findings(keys), *_allowed_findings(keys)]
    if findings:
        raise SettingsRefused([_placed(path, item) for item in findings])
    return keys


def _placed(path: Path, finding: Finding) -> Finding:
    place = f"{path}:{finding.place}"
    return Finding(finding.code, place, finding.message, finding.remedy)


def _own_findings(keys: KeysFile) -> Iterator[Finding]:
    secret_key = keys.own.secret_key
    is_pair = _is_key(secret_key) and (
        zmq.curve_public(secret_key.encode()) == keys.own.public_key.encode()
    )
    if not is_pair:
        message = "the public key does not belong to the secret key"
        remedy = "make a pair with 'papayad keygen'"
        yield Finding(SettingsFault.BAD_KEY.value, "own", message, remedy)


def _allowed_findings(keys: KeysFile) -> Iterator[Finding]:
    generations: Counter = Counter()
    seen: set[str] = set()
    for number, item in enumerate(keys.allowed):
        place, key = f"allowed.{number}", item.public_key
        if not _is_key(key):
            message = f"{key!r} is not a key in Z85"
            yield Finding(SettingsFault.BAD_KEY.value, place, message, "copy it whole")
        if key in seen:
            message = f"{key} is listed twice"
            yield Finding(SettingsFault.DUPLICATE.value, place, message, "remove one")
        seen.add(key)
        holder = (item.data_centre, item.node_id)
        generations[holder] += 1
        if generations[holder] > _MAX_GENERATIONS:
            name = item.node_id or item.data_centre
            message = f"{name} has more than {_MAX_GENERATIONS} keys"
            fault = SettingsFault.CONTRADICTION.value
            yield Finding(fault, place, message, "remove the oldest")


def _is_key(text: str) -> bool:
    try:
        return len(z85.decode(text)) == _KEY_BYTES
    except (ValueError, KeyError, UnicodeEncodeError, OverflowError):
        return False
