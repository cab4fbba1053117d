"""The base class of the checks."""

from abc import abstractmethod

from papayapost.ids import Micros, RequestName
from papayapost.kernel import System, Tick
from papayapost_testing.soak.rows import CallRow, RunRow
from papayapost_testing.soak.tables import SoakTables

__all__ = ["Check"]


class Check(System):
    """A promise that is compared with what callers and servers have seen.

    A check reads the tables and adds a finding for each breach, once for each
    request.
    """

    def __init__(self, tables: SoakTables):
        self.tables = tables
        self._found: set[str] = set()

    @property
    def name(self) -> str:
        """Name of the check in findings."""
        return type(self).__name__

    @abstractmethod
    def run(self, tick: Tick) -> None:
        """Check what the messages of this tick tell."""

    def find(self, key: str, text: str, at_us: Micros) -> None:
        """Add a finding unless there is one for this key."""
        if key not in self._found:
            self._found.add(key)
            self.tables.find(self.name, text, at_us)

    def runs_of(self, request_id: RequestName) -> list[RunRow]:
        """Return the runs of a request, oldest first."""
        return self.tables.runs.get(request_id, [])

    def describe(self, call: CallRow) -> str:
        """Return a call with its times, end and runs, for a finding."""
        status = f" {call.answer.status}" if call.answer else ""
        runs = ", ".join(
            f"{run.server_id} at {run.began_us / 1e6:.3f} s"
            for run in self.runs_of(call.request_id)
        )
        waited_us = self.tables.wait_us(call.node_id, call.sent_us, call.ended_us)
        return (
            f"{call.request_id} {call.method} {call.target.partition('?')[0]} at "
            f"{call.node_id} (start {call.start}), sent {call.sent_us / 1e6:.3f} s "
            f"({call.manner}), "
            f"{call.end.value}{status} {call.ended_us / 1e6:.3f} s, "
            f"runs: {runs or 'none'}; the node waited {waited_us / 1e6:.3f} s for a "
            "core meanwhile"
        )
