"""Loads a settings file, with every finding at once."""

from pathlib import Path

import msgspec

from papayapost.errors import SettingsRefused
from papayapost.findings import Finding
from papayapost_node.settings.keys import load_keys
from papayapost_node.settings.model import SecurityMode, Settings
from papayapost_node.settings.relations import relation_findings
from papayapost_node.settings_file import (
    SettingsFault,
    findings_in,
    read_settings_file,
)

__all__ = ["load_settings"]


def load_settings(path: Path) -> Settings:
    """Read and check a settings file and the keys file that it names.

    Raises
    ------
    SettingsRefused
        With every finding, each with its path in the file.
    """
    text = read_settings_file(Path(path))
    raw = _json_in(text)
    findings = [
        *findings_in(text, Settings),
        *relation_findings(raw),
        *_key_findings(raw),
    ]
    if findings:
        raise SettingsRefused(findings)
    return Settings.model_validate_json(text)


def _json_in(text: str) -> object:
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return None


def _key_findings(raw: object) -> list[Finding]:
    security = raw.get("security") if isinstance(raw, dict) else None
    if not isinstance(security, dict):
        return []
    if security.get("mode") != SecurityMode.CURVE.value:
        return []
    keys_file = security.get("keys_file")
    if keys_file is None:
        return [
            Finding(
                SettingsFault.NO_KEYS.value,
                "security.keys_file",
                "there are no keys for mode 'curve'",
                "make some with 'papayad keygen'; see docs/SETTINGS.md",
            )
        ]
    if not isinstance(keys_file, str):
        return []
    try:
        load_keys(Path(keys_file))
    except SettingsRefused as refused:
        return list(refused.findings)
    return []
