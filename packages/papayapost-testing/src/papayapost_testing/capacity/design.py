"""The size to design for, and the budgets."""

from dataclasses import dataclass

__all__ = ["BUDGETS", "DESIGN", "Budgets", "DesignSize"]


@dataclass(frozen=True, slots=True)
class DesignSize:
    """The size that the system is designed for.

    Parameters
    ----------
    children
        Most children that a parent takes.
    relays_per_data_centre
        Relays of a data centre, a link relay or stand-by among them.
    watched_objects
        Objects that a link relay watches: rules, directories, their index.
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
        """Nodes of one data centre."""
        return self.nodes // self.data_centres

    @property
    def calls_per_node_s(self) -> float:
        """Calls a second that arrive at one node, and that one node owns."""
        return self.calls_per_s / self.nodes

    @property
    def changes_per_s(self) -> float:
        """Changes of the rules a second."""
        return self.changes_per_day / 86_400

    @property
    def upstreams_per_service(self) -> float:
        """Backend servers of one service."""
        return self.nodes / self.services


@dataclass(frozen=True, slots=True)
class Budgets:
    """What must not be exceeded."""

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
