"""Which backend process left this node last, in memory and in the store."""

from enum import Enum

from papayapost.define import define
from papayapost.ids import InstanceId, Micros, ReportId, StoreEra
from papayapost.kernel import Table

__all__ = ["Departure", "DepartureTables", "DepartureWrite", "WaitingReport"]


@define(frozen=True)
class Departure:
    """Value of a node's departure object: the backend process that left last.

    Parameters
    ----------
    born_ms
        Unix time in ms at which the process started.
    """

    instance: InstanceId
    born_ms: int


@define
class WaitingReport:
    """A report that waits for the store to hold its departure."""

    report_id: ReportId
    born_ms: int


class DepartureWrite(Enum):
    """State of the write of the departure object."""

    IDLE = "idle"
    WRITING = "writing"
    BACKING_OFF = "backing-off"


class DepartureTables:
    """The last departure, and the reports that wait until it is stored.

    Attributes
    ----------
    latest
        The last departure that this node has applied or read; None before
        one.
    stored
        The last departure that the store is known to hold.
    era
        Newest era of the store that the node has heard of; 0 before a change.
    is_forgotten
        Whether the store may have forgotten `latest`, which it held before.
    version
        Version of the departure object that the store last reported, 0 if it
        has none.
    is_read
        Whether this process has read the object.
    trusted_from_us
        Tick time in µs from which a first report is believed although the
        object is unread.
    write, written
        State of the write of the object, and the value that it stores.
    waiting
        Reports whose acknowledgement waits for the store.
    """

    def __init__(self):
        self.latest: Departure | None = None
        self.stored: Departure | None = None
        self.era = StoreEra(0)
        self.is_forgotten = False
        self.version = 0
        self.is_read = False
        self.trusted_from_us = Micros(0)
        self.write = DepartureWrite.IDLE
        self.written: Departure | None = None
        self.waiting: Table[ReportId, WaitingReport] = Table("departure reports")

    def has_left(self, born_ms: int) -> bool:
        """Return whether the process, or a later one, has left."""
        return self.latest is not None and born_ms <= self.latest.born_ms

    def is_stored(self, born_ms: int) -> bool:
        """Return whether the store holds the departure, or a later one."""
        return self.stored is not None and born_ms <= self.stored.born_ms

    def is_trusted(self, now_us: Micros) -> bool:
        """Return whether a report of an unknown process is believed."""
        return self.is_read or now_us >= self.trusted_from_us
