"""Reads a JSON settings file and reports all of its findings at once."""

import ipaddress
from enum import Enum
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from papayapost.errors import SettingsRefused
from papayapost.findings import Finding

__all__ = [
    "AddressText",
    "NameText",
    "SettingsFault",
    "SettingsModel",
    "findings_in",
    "load_settings_file",
    "read_settings_file",
]

_MAX_PORT = 65_535


class SettingsFault(Enum):
    """Codes of the findings in settings files, which docs/ERRORS.md lists.

    A code never changes.
    """

    UNREADABLE = "S001"
    NOT_JSON = "S002"
    UNKNOWN_KEY = "S003"
    MISSING_KEY = "S004"
    WRONG_TYPE = "S005"
    OUT_OF_RANGE = "S006"
    BAD_VALUE = "S007"
    DUPLICATE = "S008"
    CONTRADICTION = "S009"
    NO_KEYS = "S010"
    BAD_KEY = "S011"


class SettingsModel(BaseModel):
    """Base of all settings.

    It refuses unknown keys, does not convert types, and is immutable.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def _check_address(text: str) -> str:
    ip, colon, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        colon = ""
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError(f"{text!r} is not an address")
    if not 0 < int(port[:6]) <= _MAX_PORT:
        raise ValueError(f"{text!r} has no port number from 1 to {_MAX_PORT}")
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
"""An IP address and a port number, as in ``10.0.0.7:4100``."""

NameText = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
"""A name of up to 63 lower-case letters, digits and ``-``."""

M = TypeVar("M", bound=SettingsModel)

_FAULTS_BY_ERROR_TYPE = {
    "json_invalid": SettingsFault.NOT_JSON,
    "extra_forbidden": SettingsFault.UNKNOWN_KEY,
    "missing": SettingsFault.MISSING_KEY,
    "greater_than_equal": SettingsFault.OUT_OF_RANGE,
    "less_than_equal": SettingsFault.OUT_OF_RANGE,
}
_REMEDIES = {
    SettingsFault.NOT_JSON: "write one JSON object",
    SettingsFault.UNKNOWN_KEY: "remove it, or correct its name",
    SettingsFault.MISSING_KEY: "add it",
    SettingsFault.WRONG_TYPE: "write a value of that type",
    SettingsFault.OUT_OF_RANGE: "write a value within the bounds",
    SettingsFault.BAD_VALUE: "write names with lower-case letters, digits and '-' "
    "and addresses with an IP address and a port, as in 10.0.0.7:4100",
}


def load_settings_file(path: Path, model: type[M]) -> M:
    """Read and check a settings file.

    Raises
    ------
    SettingsRefused
        If the file cannot be read or has findings. The error holds all of
        them, each with the path of its key in the file.
    """
    text = read_settings_file(path)
    findings = findings_in(text, model)
    if findings:
        raise SettingsRefused(findings)
    return model.model_validate_json(text)


def read_settings_file(path: Path) -> str:
    """Return the text of a settings file.

    Raises
    ------
    SettingsRefused
        If the file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(
            SettingsFault.UNREADABLE.value,
            str(path),
            f"the file cannot be read: {error}",
            "name a readable JSON file in UTF-8",
        )
        raise SettingsRefused([finding]) from None


def findings_in(text: str, model: type[SettingsModel]) -> list[Finding]:
    """Check a JSON text against a settings model and return all findings."""
    try:
        model.model_validate_json(text)
    except ValidationError as error:
        return [_finding_of(item) for item in error.errors()]
    return []


def _finding_of(item) -> Finding:
    error_type = item["type"]
    fault = _FAULTS_BY_ERROR_TYPE.get(error_type)
    if fault is None:
        is_type_error = error_type.endswith("_type")
        fault = SettingsFault.WRONG_TYPE if is_type_error else SettingsFault.BAD_VALUE
    place = ".".join(str(part) for part in item["loc"]) or "file"
    return Finding(fault.value, place, item["msg"], _REMEDIES[fault])
