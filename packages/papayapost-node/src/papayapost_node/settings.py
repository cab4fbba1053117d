"""Settings of a node, read from a JSON file and checked as a whole."""

import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from papayapost.errors import SettingsRefused
from papayapost.findings import Finding

__all__ = ["BackendServerSettings", "Settings", "load_settings"]


def _check_address(text: str) -> str:
    ip, colon, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        colon = ""
    if not colon or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not an address; write an IP number and a port")
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class BackendServerSettings(_Model):
    """The backend server on the node's VM.

    Attributes
    ----------
    service
        Service it belongs to.
    address
        Where it takes HTTP requests.
    slots
        Calls that it runs at once.
    connections
        Connections that it accepts.
    """

    service: Name
    address: AddressText
    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(ge=1, le=100_000)


class Settings(_Model):
    """Settings of one node.

    Attributes
    ----------
    node_id
        Name of the node, unique in the mesh.
    data_centre, region
        Where the VM runs.
    caller_address
        Where callers send HTTP requests.
    peer_address
        Where other nodes reach this one.
    store_address
        The platform's object API.
    seeds
        Peer addresses of nodes to announce to.
    backend_server
        The backend server on this VM, or null on a VM without one.
    admin_address
        Where operators read status, metrics and events, or null for nowhere.
    """

    node_id: Name
    data_centre: Name
    region: Name
    caller_address: AddressText
    peer_address: AddressText
    store_address: AddressText
    seeds: list[AddressText] = []
    backend_server: BackendServerSettings | None = None
    admin_address: AddressText | None = None


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsRefused
        With every finding, each with its path in the file.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(
            "S001", str(path), f"cannot be read: {error}", "name a readable JSON file"
        )
        raise SettingsRefused([finding]) from error
    try:
        return Settings.model_validate_json(text)
    except ValidationError as error:
        raise SettingsRefused([_finding_of(item) for item in error.errors()]) from None


def _finding_of(item) -> Finding:
    place = ".".join(str(part) for part in item["loc"]) or "file"
    return Finding("S002", place, item["msg"], "see docs/OPERATING.md, settings")
