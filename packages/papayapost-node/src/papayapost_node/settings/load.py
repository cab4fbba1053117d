"""Loads a settings file and reports all of its findings at once."""

from collections.abc import Callable
from pathlib import Path

import msgspec

from papayapost.errors import SettingsRefused
from papayapost.findings import Finding
from papayapost_node.settings.consistency import consistency_findings
from papayapost_node.settings.deployment import with_deployment_settings
from papayapost_node.settings.keys import load_keys
from papayapost_node.settings.model import SecurityMode, Settings
from papayapost_node.settings_file import (
    SettingsFault,
    findings_in,
    read_settings_file,
)

__all__ = ["load_settings"]


def load_settings(
    path: Path, note_adjusted: Callable[[Finding], None] | None = None
) -> Settings:
    """Read and validate a settings file and the keys file that it names.

    Parameters
    ----------
    note_adjusted
        Receives a finding for each figure of the deployment that another value
        stands in for.

    Raises
    ------
    SettingsRefused
        If a file has findings. The error holds all of them; each names the
        path of its key in the file.
    SurroundingsUnknown
        If the file holds figures of a deployment, and the platform module that
        knows them cannot be loaded.
    """
    derived = with_deployment_settings(read_settings_file(Path(path)))
    text = derived.text
    raw = _decode_json(text)
    findings = [
        *findings_in(text, Settings),
        *consistency_findings(raw),
        *_keys_file_findings(raw),
    ]
    if findings:
        raise SettingsRefused(findings)
    if note_adjusted is not None:
        for finding in derived.findings:
            note_adjusted(finding)
    return msgspec.json.decode(text, type=Settings)


def _decode_json(text: str) -> object:
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return None


def _keys_file_findings(raw: object) -> list[Finding]:
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
                "mode 'curve' needs a keys file",
                "create one with 'papayad keygen'; see docs/SETTINGS.md",
            )
        ]
    if not isinstance(keys_file, str):
        return []
    try:
        load_keys(Path(keys_file))
    except SettingsRefused as refused:
        return list(refused.findings)
    return []
