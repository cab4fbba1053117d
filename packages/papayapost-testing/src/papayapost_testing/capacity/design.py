"""The deployment size that the system is designed for, and its budgets."""

from dataclasses import dataclass

__all__ = ["BUDGETS", "DESIGN", "Budgets", "DesignSize"]


@dataclass(frozen=True, slots=True)
class DesignSize:
    """The deployment size that the system is designed for.

    Parameters
    ----------
    call_depth
        Length of a chain of calls between services.
    children
        Maximum number of children of a parent.
    relays_per_data_centre
        Number of relays in a data centre, including a link relay or its
        standby.
    watched_objects
        Number of store objects that a link relay watches: the rules, the
        directories and the index of the directories.
    """

    nodes: int = 12_000
    data_centres: int = 5
    regions: int = 2
    services: int = 810
    calls_per_s: float = 1_300_000
    call_depth: int = 20
    changes_per_day: int = 25_000
    restarts_per_day: int = 620
    children: int = 50
    relays_per_data_centre: int = 3
    watched_objects: int = 6

    @property
    def nodes_per_data_centre(self) -> int:
        """Number of nodes in one data centre."""
        return self.nodes // self.data_centres

    @property
    def calls_per_node_s(self) -> float:
        """Calls per second that enter at one node.

        As an owner node, the node runs attempts at the same rate.
        """
        return self.calls_per_s / self.nodes

    @property
    def changes_per_s(self) -> float:
        """Changes of the rules per second."""
        return self.changes_per_day / 86_400

    @property
    def upstreams_per_service(self) -> float:
        """Mean number of backend servers of a service."""
        return self.nodes / self.services


@dataclass(frozen=True, slots=True)
class Budgets:
    """Upper limits on the cost of the system.

    Parameters
    ----------
    added_ms
        Latency that nodes add to a call, p99.
    in_force_s
        Time until a change of the rules is active on the last node.
    control_core_percent
        CPU time of a node for control, in percent of a core.
    memory_mb
        Resident memory of a node.
    control_bytes_per_s
        Control traffic that a node sends and receives.
    store_reads_per_s, store_writes_per_s
        Calls of all nodes to the store.
    link_bits_per_s
        Control traffic over the link between the regions.
    """

    added_ms: float = 0.51
    in_force_s: float = 5.0
    control_core_percent: float = 4.5
    memory_mb: float = 64.0
    control_bytes_per_s: float = 8_000.0
    store_reads_per_s: float = 2_000.0
    store_writes_per_s: float = 300.0
    link_bits_per_s: float = 30_000_000.0


DESIGN = DesignSize()
BUDGETS = Budgets()
