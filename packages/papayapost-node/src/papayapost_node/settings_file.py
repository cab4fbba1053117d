"""Reads a JSON settings file and reports all of its findings at once."""

import ipaddress
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from types import NoneType
from typing import Annotated, Any, TypeVar, get_args, get_type_hints

import msgspec
from msgspec.structs import fields

from papayapost.errors import SettingsRefused
from papayapost.findings import Finding

__all__ = [
    "AddressText",
    "NameText",
    "SettingsFault",
    "SettingsModel",
    "findings_in",
    "is_address",
    "load_settings_file",
    "read_settings_file",
    "settings_from",
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
    ADJUSTED = "S012"


class SettingsModel(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all settings.

    `settings_from` refuses unknown keys and does not convert types. The
    settings themselves are immutable.
    """


_AddressFormat = msgspec.Meta(title="IP address and port")

AddressText = Annotated[str, _AddressFormat]
"""An IP address and a port number, as in ``10.0.0.7:4100``."""

NameText = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")]
"""A name of up to 63 lower-case letters, digits and ``-``."""

M = TypeVar("M", bound=SettingsModel)

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
    return settings_from(read_settings_file(path), model)


def settings_from(text: str, model: type[M]) -> M:
    """Return the settings that a JSON text holds.

    Raises
    ------
    SettingsRefused
        If the text has findings. The error holds all of them, each with the
        path of its key in the text.
    """
    findings = findings_in(text, model)
    if findings:
        raise SettingsRefused(findings)
    return msgspec.json.decode(text, type=model)


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
    """Check a JSON text against a settings model and return all findings.

    No finding quotes a value of the text but an address.
    """
    try:
        value = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        return [_finding(SettingsFault.NOT_JSON, "file", f"no JSON: {error}")]
    return list(_model_findings(value, model, ""))


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port number."""
    ip, colon, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit()
    return bool(colon) and is_number and 0 < int(port[:6]) <= _MAX_PORT


def _model_findings(
    value: object, model: type[SettingsModel], place: str
) -> Iterator[Finding]:
    if not isinstance(value, dict):
        fault, message = SettingsFault.WRONG_TYPE, "expected an object with keys"
        yield _finding(fault, place or "file", message)
        return
    prefix = f"{place}." if place else ""
    types = get_type_hints(model, include_extras=True)
    for field in fields(model):
        name = field.name
        if name in value:
            yield from _value_findings(value[name], types[name], f"{prefix}{name}")
        elif field.required:
            message = "a key without a default is missing"
            yield _finding(SettingsFault.MISSING_KEY, f"{prefix}{name}", message)
    for name in value:
        if name not in types:
            message = "there is no such key"
            yield _finding(SettingsFault.UNKNOWN_KEY, f"{prefix}{name}", message)


def _value_findings(value: object, kind: Any, place: str) -> Iterator[Finding]:
    choices = get_args(kind)
    if NoneType in choices:
        if value is None:
            return
        kind = next(choice for choice in choices if choice is not NoneType)
        choices = get_args(kind)
    if isinstance(kind, type) and issubclass(kind, SettingsModel):
        yield from _model_findings(value, kind, place)
    elif getattr(kind, "__origin__", None) is list and isinstance(value, list):
        for number, item in enumerate(value):
            yield from _value_findings(item, choices[0], f"{place}.{number}")
    else:
        yield from _leaf_findings(value, kind, place)


def _leaf_findings(value: object, kind: Any, place: str) -> Iterator[Finding]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield _finding(_fault_of(value, kind), place, str(error))
        return
    is_address_key = _AddressFormat in getattr(kind, "__metadata__", ())
    if is_address_key and not is_address(str(value)):
        message = f"{value!r} is not an IP address with a port"
        yield _finding(SettingsFault.BAD_VALUE, place, message)


def _fault_of(value: object, kind: Any) -> SettingsFault:
    """Return why a value does not convert to a type."""
    plain = getattr(kind, "__origin__", kind)
    if isinstance(plain, type) and issubclass(plain, Enum):
        plain = str
    try:
        msgspec.convert(value, plain)
    except msgspec.ValidationError:
        return SettingsFault.WRONG_TYPE
    return SettingsFault.BAD_VALUE if plain is str else SettingsFault.OUT_OF_RANGE


def _finding(fault: SettingsFault, place: str, message: str) -> Finding:
    return Finding(fault.value, place, message, _REMEDIES[fault])
