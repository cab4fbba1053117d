"""Tables of roll-outs as every node keeps them."""

from dataclasses import field

from papayapost.define import define
from papayapost.ids import (
    Address,
    Micros,
    NodeId,
    ServiceName,
    SoftwareVersion,
)
from papayapost.kernel import Table
from papayapost.membership import BackendServerRow, Directory
from papayapost.rollout.messages import StagedOrder
from papayapost.rollout.states import FINAL_PHASES, Phase
from papayapost.states import BackendServerState

__all__ = ["LEASE_US", "OrderRow", "RolloutCounters", "RolloutLimits", "RolloutTables"]

LEASE_US = 1_500_000
"""Time after a stage for which the target version may get calls. A node that
hears no more of its controller counts the order as held."""

_SHIFT_LEASE_US = 900_000
"""The same while all calls go to the target version, when each further second
exposes a tenth of what ten seconds of calls allow."""


@define(frozen=True)
class RolloutLimits:
    """Bounds on the harm of a bad version, from the settings.

    Parameters
    ----------
    exposure_share, exposure_slack
        Share of a service's requests between order and deadline that a bad
        version may get, and number in addition.
    rollback_us
        Time in µs after its 50th bad answer from which it gets none.
    """

    exposure_share: float
    exposure_slack: float
    rollback_us: Micros


@define
class OrderRow:
    """An order as this node knows it.

    Parameters
    ----------
    share, trial_nodes
        Share of the calls for the nodes with a grant, and those nodes.
    grant
        Attempts that this node may admit if it has the target version.
    received_us
        Time in µs at which the latest stage arrived.
    controller, controller_address
        Sender of that stage.
    exposed, total, elapsed_us, elapsed_late_us
        Counts and times of that stage.
    """

    order: StagedOrder
    share: float = 0.0
    trial_nodes: frozenset[NodeId] = field(default_factory=frozenset)
    grant: int = 0
    received_us: Micros = Micros(0)
    controller: NodeId = NodeId("")
    controller_address: Address = Address("")
    exposed: int = 0
    total: int = 0
    elapsed_us: Micros = Micros(0)
    elapsed_late_us: Micros = Micros(0)

    @property
    def is_final(self) -> bool:
        """Whether the order is completed or rolled back."""
        return self.order.phase in FINAL_PHASES

    def lease_end_us(self) -> Micros:
        """Return the time in µs at which the stage ends without a new one."""
        is_shift = self.order.phase is Phase.SHIFT
        return Micros(self.received_us + (_SHIFT_LEASE_US if is_shift else LEASE_US))

    def phase_at(self, now_us: Micros) -> Phase:
        """Return the phase; a live one is held once its lease has ended."""
        phase = self.order.phase
        if phase in FINAL_PHASES or now_us < self.lease_end_us():
            return phase
        return Phase.HELD


@define
class RolloutCounters:
    """Totals of the roll-outs since the process started.

    Parameters
    ----------
    refused_attempts
        Attempts that this owner node refused because of its version.
    refused_orders
        Orders that this watcher refused as bad input.
    stages
        Stages that this node announced as a controller.
    """

    refused_attempts: int = 0
    refused_orders: int = 0
    stages: int = 0


class RolloutTables:
    """Orders and versions of the services, as this node knows them.

    Attributes
    ----------
    orders
        The latest order for each service.
    stable_versions
        Version that gets the calls of each service without an order.
    is_established
        Whether the node has read the orders from the store or was told them.
    may_guess
        Whether the node has waited long enough for the orders to go by the
        version of most servers.
    unproven_versions
        Target versions of the orders that the store held, not completed, when
        this node first read them. Most servers may have such a version.
    admitted
        Attempts that this node has admitted since its order or start.
    counted_orders
        Number of times that the count of admitted attempts has begun anew.
    counters
        Totals since the process started.
    """

    def __init__(self, directory: Directory, own_node: NodeId):
        self._directory = directory
        self._own_node = own_node
        self.orders: Table[ServiceName, OrderRow] = Table("roll-out orders")
        self.stable_versions: dict[ServiceName, SoftwareVersion] = {}
        self.is_established = False
        self.may_guess = False
        self.unproven_versions: dict[ServiceName, SoftwareVersion] = {}
        self.admitted = 0
        self.counted_orders = 0
        self.counters = RolloutCounters()

    @property
    def own_row(self) -> BackendServerRow | None:
        """Directory row of this node."""
        return self._directory.get(self._own_node)

    def start_count(self) -> None:
        """Count the attempts of a new order from zero on."""
        self.admitted = 0
        self.counted_orders += 1

    def current_version(
        self, service: ServiceName, now_us: Micros
    ) -> SoftwareVersion | None:
        """Return the version that gets the calls of a service, or None."""
        row = self.orders.get(service)
        if row is not None:
            phase = row.phase_at(now_us)
            if phase in (Phase.SHIFT, Phase.COMPLETED):
                return row.order.target_version
            if row.order.stable_version:
                return row.order.stable_version
        return self.stable_version(service)

    def stable_version(self, service: ServiceName) -> SoftwareVersion | None:
        """Return the version of a service without its order, or None."""
        known = self.stable_versions.get(service)
        if known is not None:
            return known
        if not (self.is_established or self.may_guess):
            return None
        found = self.majority_version(service)
        if found is not None and self.is_established:
            self.stable_versions[service] = found
        return found

    def majority_version(self, service: ServiceName) -> SoftwareVersion | None:
        """Return the version of most servers of a service, or None.

        A version that an order has not moved all calls to does not count.
        """
        row = self.orders.get(service)
        excluded = self.unproven_versions.get(service)
        if row is not None:
            excluded = row.order.target_version
        if row is not None and row.order.phase is Phase.COMPLETED:
            return row.order.target_version
        counts: dict[SoftwareVersion, int] = {}
        for server in self._directory.find("service", service):
            version = server.software_version
            is_counted = version and version != excluded
            if is_counted and server.state is BackendServerState.READY:
                counts[version] = counts.get(version, 0) + 1
        if not counts:
            return None
        best = max(counts, key=lambda version: (counts[version], version))
        return best if 2 * counts[best] > sum(counts.values()) else None
