"""The keys of the settings file with their types, defaults and ranges."""

from enum import Enum, StrEnum
from typing import Annotated

from msgspec import Meta

from papayapost.rules import MAX_TEXT_BYTES
from papayapost_node.settings_file import AddressText, NameText, SettingsModel

__all__ = [
    "BackendServerSettings",
    "Discovery",
    "HttpSettings",
    "QueueOrder",
    "RetryBudgetSettings",
    "RolloutSettings",
    "SecurityMode",
    "SecuritySettings",
    "Settings",
    "SlowStart",
]


PathText = Annotated[str, Meta(pattern=r"^/[!-~]*\Z")]
"""Path of an HTTP request: a slash and printable ASCII without spaces."""


class BackendServerSettings(SettingsModel, frozen=True):
    """The backend server that runs on the node's VM.

    Attributes
    ----------
    service
        Name of the service that the backend server belongs to.
    address
        Address on which the backend server accepts HTTP requests.
    slots
        Number of calls that the backend server runs at the same time; null
        if its reports state the number.
    connections
        Number of connections that the backend server accepts, at least the
        number of slots; null if it accepts a connection for each slot.
    report_interval_ms
        Interval at which the backend server sends reports, if it sends any.
    health_path
        Path of the backend server's health endpoint; null disables health
        checks.
    health_interval_ms
        Interval between two health checks.
    """

    service: NameText
    address: AddressText
    slots: Annotated[int, Meta(ge=1, le=10_000)] | None = None
    connections: Annotated[int, Meta(ge=1, le=100_000)] | None = None
    report_interval_ms: Annotated[int, Meta(ge=50, le=600_000)] = 1_500
    health_path: PathText | None = None
    health_interval_ms: Annotated[int, Meta(ge=500, le=600_000)] = 5_000


class HttpSettings(SettingsModel, frozen=True):
    """Limits on the HTTP connections and requests of callers.

    Attributes
    ----------
    connections
        Maximum number of open connections; the node closes further ones as
        soon as it has accepted them.
    head_bytes
        Maximum size of a request line together with the headers.
    body_bytes
        Maximum size of a request's body.
    held_bytes
        Maximum of what all connections of callers hold together: bytes that
        were not handled yet, open requests and answers that were not read.
        Above it, the connections that hold most are closed.
    unsent_bytes
        Maximum of what answers of this node's backend server hold together
        while they wait to be sent. Above it, those whose callers have not
        read for longest are ended.
    control_connections
        Maximum number of open connections at each of the readiness, report
        and admin addresses.
    report_bytes
        Maximum size of a report of the backend server.
    head_timeout_ms
        Time within which the head of a request must arrive.
    idle_timeout_ms
        Time after which a connection without a request is closed.
    pace_timeout_ms, pace_bytes
        Minimum transfer rate of a body: at least `pace_bytes` must be
        transferred in every `pace_timeout_ms`.
    pipelined
        Maximum number of safe requests of one connection that the node
        serves concurrently; answers are sent in the order of the requests.
    hold_answer_bytes
        The node buffers answers up to this size until they are complete, so
        that it can still start another attempt if an answer breaks off.
    """

    connections: Annotated[int, Meta(ge=1, le=100_000)] = 2_000
    head_bytes: Annotated[int, Meta(ge=1_024, le=262_144)] = 16_384
    body_bytes: Annotated[int, Meta(ge=1_024, le=1 << 40)] = 67_108_864
    held_bytes: Annotated[int, Meta(ge=1 << 20, le=1 << 40)] = 33_554_432
    unsent_bytes: Annotated[int, Meta(ge=1 << 20, le=1 << 32)] = 33_554_432
    control_connections: Annotated[int, Meta(ge=1, le=100_000)] = 64
    report_bytes: Annotated[int, Meta(ge=256, le=2 << 20)] = 65_536
    head_timeout_ms: Annotated[int, Meta(ge=10, le=600_000)] = 10_000
    idle_timeout_ms: Annotated[int, Meta(ge=10, le=3_600_000)] = 60_000
    pace_timeout_ms: Annotated[int, Meta(ge=10, le=600_000)] = 10_000
    pace_bytes: Annotated[int, Meta(ge=1, le=1_048_576)] = 4_096
    pipelined: Annotated[int, Meta(ge=1, le=64)] = 1
    hold_answer_bytes: Annotated[int, Meta(ge=0, le=4_194_304)] = 0


class RetryBudgetSettings(SettingsModel, frozen=True):
    """The retry budget that all nodes of the mesh share.

    The budget bounds the retries and hedges, which are the attempts after
    the first attempt of each call.

    Attributes
    ----------
    ratio
        Number of retries that each call of a service adds to the budget.
    slack
        Number of retries in each window that are allowed in addition.
    window_ms
        Length of the window over which retries are counted.
    """

    ratio: Annotated[float, Meta(ge=0, le=10)]
    slack: Annotated[float, Meta(ge=0, le=1_000_000)]
    window_ms: Annotated[int, Meta(ge=100, le=31_622_400_000)]


class RolloutSettings(SettingsModel, frozen=True):
    """Bounds on the harm that a roll-out of a bad version may do.

    Attributes
    ----------
    exposure_share, exposure_slack
        Largest number of requests that a bad version may get between its
        order and the end of the roll-out: a share of all requests of the
        service, and a number in addition.
    rollback_ms
        Time after the 50th bad answer of a version from which it gets no
        more requests.
    """

    exposure_share: Annotated[float, Meta(ge=0, le=1)]
    exposure_slack: Annotated[float, Meta(ge=0, le=1_000_000)]
    rollback_ms: Annotated[int, Meta(ge=0, le=600_000)]


class Discovery(StrEnum):
    """Method by which nodes discover each other.

    With ``tree`` the nodes build a tree of relays, starting from the seeds.
    With ``roster`` each node keeps an entry in the store and connects to all
    other nodes directly.
    """

    TREE = "tree"
    ROSTER = "roster"


class QueueOrder(StrEnum):
    """Order in which queued attempts get a slot of the backend server.

    ``shares`` guarantees each rank a minimum share of the slot time.
    ``targets`` serves first the attempts that can still meet the target
    latency of their rule.
    """

    SHARES = "shares"
    TARGETS = "targets"


class SlowStart(StrEnum):
    """Pace of a backend server that has just started or recovered.

    With ``ramp``, entry nodes raise its share over 5 s. With ``adaptive``, its
    owner node finds the pace from how it answers.
    """

    RAMP = "ramp"
    ADAPTIVE = "adaptive"


class SecurityMode(Enum):
    """Method by which nodes authenticate each other."""

    CURVE = "curve"
    NONE = "none"


class SecuritySettings(SettingsModel, frozen=True):
    """Authentication and encryption between nodes.

    Attributes
    ----------
    mode
        ``curve`` authenticates nodes by CURVE keys and encrypts their
        connections; ``none`` accepts every host that can connect.
    keys_file
        Path of the keys file; required with ``curve``.
    """

    mode: SecurityMode
    keys_file: str | None = None


class Settings(SettingsModel, frozen=True):
    """Settings of one node.

    Attributes
    ----------
    node_id
        Name of the node, unique in the mesh.
    data_centre, region
        Data centre of the node's VM, and the region of that data centre.
    caller_address
        Address on which the node accepts HTTP requests of callers.
    peer_address
        Address on which the node accepts connections of other nodes.
    store_address
        Address of the platform's object store.
    link_mbps
        Rate of the VM's link in Mbit/s; 0 if it is not known. Nodes with fast
        links are chosen first to read the rules for others.
    security
        Authentication and encryption between nodes; there is no default.
    seeds
        Peer addresses of the nodes that this node contacts to join the mesh.
    backend_server
        The backend server on this VM; null on a VM without one.
    admin_address
        Address on which operators read status, metrics and events; null
        disables these pages.
    http
        Limits on the HTTP connections and requests of callers.
    peer_connections
        Maximum number of connections that other nodes have open to this one;
        further ones are closed as soon as they are accepted.
    peer_connections_per_address
        Maximum number of them from one IP address.
    stop_limit_s
        Time in s from the request to stop until the platform kills the
        process. The node uses nearly all of it for answers that are still on
        their way, and stops as soon as none are left.
    drain_accept_ms
        Time from the start of a drain during which the node still accepts
        new connections, so that callers have time to learn that the node is
        no longer ready.
    drain_grace_ms
        Time in a drain during which the node still accepts attempts of other
        nodes.
    drain_announce_ms
        Time from the start of a drain after which the node asks the other
        nodes to send it no more attempts.
    surroundings
        Importable module that implements the platform's protocols; null uses
        papayapost's own protocols.
    discovery
        Method by which nodes discover each other.
    readiness_address
        Address on which callers ask whether the node is ready; null disables
        that endpoint.
    report_address
        Address to which the backend server sends its reports; null if it
        sends none.
    store_wait_ms
        Time for which the node asks the store to hold a watch open.
    store_timeout_ms
        Time within which the store must begin to answer, and longest time
        without further bytes of its answer; for a watch it is added to
        `store_wait_ms`.
    max_rules_bytes
        Size limit of the rules text of a mesh that keeps a roster. A text that
        is derived from another document may be several times as large.
    queue
        Order in which queued attempts get a slot of the backend server.
    hold_ms
        Maximum time for which a call waits while there are no rules yet or
        no backend server can take it.
    retry_budget
        Retry budget that all nodes share; with null, each node earns a budget
        of its own from its calls.
    revocation_ms
        Time after which a key that was removed from an account is refused by
        every node, also by one without contact to the store or other nodes.
        With null, such a node goes on serving the keys that it knows. It needs
        the discovery method ``roster``.
    data_centres
        All data centres of the mesh with the region of each. The quotas of
        accounts are divided between these regions, whether they have live
        nodes or not. With null or without an entry, no quota is enforced. It
        needs the discovery method ``roster``.
    rollout
        Bounds on roll-outs of service versions; null if the mesh has none. It
        needs the discovery method ``roster``.
    slow_start
        Pace of a backend server that has just started or recovered; it needs a
        backend server that sends reports.
    """

    node_id: NameText
    data_centre: NameText
    region: NameText
    caller_address: AddressText
    peer_address: AddressText
    store_address: AddressText
    security: SecuritySettings
    seeds: list[AddressText] = []
    backend_server: BackendServerSettings | None = None
    admin_address: AddressText | None = None
    link_mbps: Annotated[float, Meta(ge=0, le=10_000_000)] = 0.0
    http: HttpSettings = HttpSettings()
    peer_connections: Annotated[int, Meta(ge=1, le=100_000)] = 16_384
    peer_connections_per_address: Annotated[int, Meta(ge=1, le=100_000)] = 256
    stop_limit_s: Annotated[float, Meta(ge=0.1, le=3_600)] = 30.0
    drain_accept_ms: Annotated[int, Meta(ge=0, le=600_000)] = 0
    drain_grace_ms: Annotated[int, Meta(ge=0, le=600_000)] = 3_000
    drain_announce_ms: Annotated[int, Meta(ge=0, le=600_000)] = 0
    surroundings: str | None = None
    discovery: Discovery = Discovery.TREE
    readiness_address: AddressText | None = None
    report_address: AddressText | None = None
    store_wait_ms: Annotated[int, Meta(ge=100, le=30_000)] = 30_000
    store_timeout_ms: Annotated[int, Meta(ge=50, le=60_000)] = 5_000
    max_rules_bytes: Annotated[int, Meta(ge=1_000, le=256 << 20)] = MAX_TEXT_BYTES
    queue: QueueOrder = QueueOrder.SHARES
    hold_ms: Annotated[int, Meta(ge=0, le=60_000)] = 2_000
    retry_budget: RetryBudgetSettings | None = None
    revocation_ms: Annotated[int, Meta(ge=0, le=3_600_000)] | None = None
    data_centres: dict[NameText, NameText] | None = None
    rollout: RolloutSettings | None = None
    slow_start: SlowStart = SlowStart.RAMP

    def differing_keys(self, other: "Settings") -> list[str]:
        """Return the names of the keys that have another value in `other`."""
        names = type(self).__struct_fields__
        return [name for name in names if getattr(self, name) != getattr(other, name)]
