"""Settings of a node, read from a JSON file and checked as a whole."""

from pathlib import Path

from pydantic import Field

from papayapost_node.settings_file import (
    AddressText,
    Name,
    SettingsModel,
    load_settings_file,
)

__all__ = ["BackendServerSettings", "Settings", "load_settings"]


class BackendServerSettings(SettingsModel):
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


class Settings(SettingsModel):
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
    return load_settings_file(Path(path), Settings)
