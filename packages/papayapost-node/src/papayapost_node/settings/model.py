"""The keys of the settings file, their types and ranges."""

from enum import Enum, StrEnum
from typing import Annotated

from pydantic import Field

from papayapost_node.settings_file import AddressText, Name, SettingsModel

__all__ = [
    "BackendServerSettings",
    "Discovery",
    "HttpSettings",
    "QueueOrder",
    "RetryBudgetSettings",
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
        Calls that it runs at once; null where it reports them itself.
    connections
        Connections that it accepts; at least as many as slots. Null for as
        many as it has slots.
    report_interval_ms
        Time between two reports, where it reports itself.
    health_path
        Path of its health endpoint, or null to ask for none.
    health_interval_ms
        Time between two questions to the health endpoint.
    """

    service: Name
    address: AddressText
    slots: int | None = Field(default=None, ge=1, le=10_000)
    connections: int | None = Field(default=None, ge=1, le=100_000)
    report_interval_ms: int = Field(default=1_500, ge=50, le=600_000)
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
    pipelined
        Safe requests of one connection that are served at once; answers keep
        their order.
    hold_answer_bytes
        Answers up to this size are passed on once they are whole, so that a
        broken one can be followed by another attempt.
    """

    connections: int = Field(default=2_000, ge=1, le=100_000)
    head_bytes: int = Field(default=16_384, ge=1_024, le=262_144)
    head_timeout_ms: int = Field(default=10_000, ge=10, le=600_000)
    idle_timeout_ms: int = Field(default=60_000, ge=10, le=3_600_000)
    pace_timeout_ms: int = Field(default=10_000, ge=10, le=600_000)
    pace_bytes: int = Field(default=4_096, ge=1, le=1_048_576)
    pipelined: int = Field(default=1, ge=1, le=64)
    hold_answer_bytes: int = Field(default=0, ge=0, le=4_194_304)


class RetryBudgetSettings(SettingsModel):
    """What all nodes together may send beyond each call's first attempt.

    Attributes
    ----------
    ratio
        Further attempts for each call of a service.
    slack
        Further attempts in each window beyond that.
    window_ms
        Length of the window.
    """

    ratio: float = Field(ge=0, le=10)
    slack: float = Field(ge=0, le=1_000_000)
    window_ms: int = Field(ge=100, le=600_000)


class Discovery(StrEnum):
    """How nodes find each other.

    ``tree`` builds a tree of relays from the seeds, ``roster`` keeps an entry
    for each node in the store and links all of them directly.
    """

    TREE = "tree"
    ROSTER = "roster"


class QueueOrder(StrEnum):
    """What waits for a slot in which order.

    ``shares`` gives each rank its floor of the slot time, ``targets`` serves
    first what can still meet its rule's target.
    """

    SHARES = "shares"
    TARGETS = "targets"


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
    drain_accept_ms
        Time for which it still takes new connections then, until callers have
        learned that it is not ready.
    drain_grace_ms
        Time for which it still takes attempts of other nodes then.
    drain_announce_ms
        Time after which it asks other nodes to send no more.
    surroundings
        Importable module that speaks the platform's protocols, or null for
        the product's own.
    discovery
        How nodes find each other.
    readiness_address
        Where callers ask whether the node is ready, or null for nowhere.
    report_address
        Where the backend server reports itself, or null if it does not.
    store_wait_ms, store_timeout_ms
        How long the store is asked to hold a watch, and how long an answer
        may take beyond that.
    queue
        What waits for a slot in which order.
    hold_ms
        Longest time for which a call waits while there is no way for it.
    retry_budget
        Shared by all nodes; null for one that each node earns by itself.
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
    drain_accept_ms: int = Field(default=0, ge=0, le=600_000)
    drain_grace_ms: int = Field(default=3_000, ge=0, le=600_000)
    drain_announce_ms: int = Field(default=0, ge=0, le=600_000)
    surroundings: str | None = None
    discovery: Annotated[Discovery, Field(strict=False)] = Discovery.TREE
    readiness_address: AddressText | None = None
    report_address: AddressText | None = None
    store_wait_ms: int = Field(default=30_000, ge=100, le=30_000)
    store_timeout_ms: int = Field(default=5_000, ge=50, le=60_000)
    queue: Annotated[QueueOrder, Field(strict=False)] = QueueOrder.SHARES
    hold_ms: int = Field(default=2_000, ge=0, le=60_000)
    retry_budget: RetryBudgetSettings | None = None

    def differences(self, other: "Settings") -> list[str]:
        """Return the names of the keys whose values differ."""
        names = type(self).model_fields
        return [name for name in names if getattr(self, name) != getattr(other, name)]
