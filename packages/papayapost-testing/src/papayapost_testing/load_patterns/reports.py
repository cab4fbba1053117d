"""Reports of a simulated backend server about itself."""

from papayapost.ids import InstanceId, NodeId, ReportId
from papayapost.states import BackendServerState
from papayapost.traffic import BackendServerReported
from papayapost_testing.load_patterns.mesh import ServerRow
from papayapost_testing.load_patterns.rows import Trouble

__all__ = ["ServerReports"]

_INTERVAL_S = 1.5
_FIRST_SEQUENCE = 1_000
"""Number of the first report in a simulation. The process has been running for
long, so that no node takes it for one that is starting."""


class ServerReports:
    """The reports of a server that hangs or restarts.

    Parameters
    ----------
    node_id
        Node beside the server.
    slots
        Calls that the server runs at once.
    """

    def __init__(self, node_id: NodeId, server: ServerRow, slots: int):
        self.node_id = node_id
        self._server = server
        self._slots = slots
        self._born_ms = 1
        self._sequence = _FIRST_SEQUENCE

    def report_at(self, at_s: float) -> BackendServerReported | None:
        """Return the report that a server sends at a time, or None."""
        state = BackendServerState.READY
        for row in self._server.troubles:
            is_active = row.from_s <= at_s < row.to_s
            if row.trouble is Trouble.HANGING and is_active:
                return None
            if row.trouble is not Trouble.RESTARTING:
                continue
            if is_active:
                state = BackendServerState.DRAINING
            elif at_s >= row.to_s and self._born_ms < int(row.to_s * 1000):
                self._born_ms, self._sequence = int(row.to_s * 1000), 0
        self._sequence += 1
        return BackendServerReported(
            ReportId(self._sequence),
            InstanceId("i-1"),
            self._born_ms,
            self._sequence,
            self._server.service,
            self._slots,
            state,
        )

    def next_after(self, at_s: float) -> float:
        """Return the time of the next report after one at a time."""
        turns = [
            edge_s
            for row in self._server.troubles
            for edge_s in (row.from_s, row.to_s)
            if edge_s > at_s
        ]
        return min([at_s + _INTERVAL_S, *turns])
