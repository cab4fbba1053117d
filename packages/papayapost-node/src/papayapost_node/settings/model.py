"""The keys of the settings file, their types and ranges."""

from enum import Enum
from typing import Annotated

from pydantic import Field

from papayapost_node.settings_file import AddressText, Name, SettingsModel

__all__ = [
    "BackendServerSettings",
    "HttpSettings",
    "SecurityMode",
    "SecuritySettings",
    "Settings",
]


PathText = Annotated[str, Field(pattern=r"^/[!-~]*$")]
"""Path of an HTTP request."""


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
        Connections that it accepts; at least as many as slots.
    health_path
        Path of its health endpoint, or null to ask for none.
    health_interval_ms
        Time between two questions to the health endpoint.
    """

    service: Name
    address: AddressText
    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(ge=1, le=100_000)
    health_path: PathText | None = None
    health_interval_ms: int = Field(default=5_000, ge=500, le=600_000)


class HttpSettings(SettingsModel):
    """What callers may take of the node.

    Attributes
    ----------
    connections
        Open connections; further ones are closed at once.
    head_bytes
        Largest request line with headers.
    head_timeout_ms
        Longest time for a request's head to arrive.
    idle_timeout_ms
        Longest time that a connection waits for its next request.
    pace_timeout_ms, pace_bytes
        A body must move on by so many bytes in each such time.
    """

    connections: int = Field(default=2_000, ge=1, le=100_000)
    head_bytes: int = Field(default=16_384, ge=1_024, le=262_144)
    head_timeout_ms: int = Field(default=10_000, ge=10, le=600_000)
    idle_timeout_ms: int = Field(default=60_000, ge=10, le=3_600_000)
    pace_timeout_ms: int = Field(default=10_000, ge=10, le=600_000)
    pace_bytes: int = Field(default=4_096, ge=1, le=1_048_576)


class SecurityMode(Enum):
    """How nodes prove to each other who they are."""

    CURVE = "curve"
    NONE = "none"


class SecuritySettings(SettingsModel):
    """Whether nodes trust keys, or whoever reaches them.

    Attributes
    ----------
    mode
        ``curve`` for keys; ``none`` lets anybody on the network take part.
    keys_file
        Path of the keys file; needed with ``curve``.
    """

    mode: Annotated[SecurityMode, Field(strict=False)]
    keys_file: str | None = None


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
    security
        How nodes prove who they are; there is no default.
    seeds
        Peer addresses of nodes to announce to.
    backend_server
        The backend server on this VM, or null on a VM without one.
    admin_address
        Where operators read status, metrics and events, or null for nowhere.
    http
        What callers may take of the node.
    drain_limit_ms
        Time after which a node that was told to stop does so with what is
        left.
    """

    node_id: Name
    data_centre: Name
    region: Name
    caller_address: AddressText
    peer_address: AddressText
    store_address: AddressText
    security: SecuritySettings
    seeds: list[AddressText] = []
    backend_server: BackendServerSettings | None = None
    admin_address: AddressText | None = None
    http: HttpSettings = HttpSettings()
    drain_limit_ms: int = Field(default=30_000, ge=0, le=3_600_000)
