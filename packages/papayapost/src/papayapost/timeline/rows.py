"""Events of the time line, and the ring buffer that a node keeps them in."""

from collections import deque
from collections.abc import Iterator

from papayapost.define import define
from papayapost.ids import AttemptId, CallId, DataCentreId, NodeId, RuleVersion
from papayapost.observe import Event, Noted
from papayapost.timeline.stamp import Stamp

__all__ = ["EventRing", "EventRow"]


@define
class EventRow:
    """One event on the time line.

    Parameters
    ----------
    stamp
        Time and node of the event.
    version
        Rules version that the event is about, if any.
    call_id
        Number of the call at the stamp's node, if the event is about a call.
    attempt_id
        Attempt that the event is about, if any; unique in the mesh.
    peer
        Other node that the event is about, if any.
    detail
        Further description of the event, as text.
    """

    stamp: Stamp
    data_centre: DataCentreId
    event: Event
    version: RuleVersion | None = None
    call_id: CallId | None = None
    attempt_id: AttemptId | None = None
    peer: NodeId | None = None
    detail: str = ""


class EventRing:
    """Keeps the newest events of one node, and drops the oldest when full.

    Parameters
    ----------
    data_centre
        Data centre of the node.
    capacity
        Maximum number of events that the ring keeps.

    Attributes
    ----------
    dropped
        Number of events dropped so far.
    """

    def __init__(self, data_centre: DataCentreId, capacity: int):
        self._data_centre = data_centre
        self._rows: deque[EventRow] = deque(maxlen=capacity)
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[EventRow]:
        return iter(tuple(self._rows))

    def record(self, stamp: Stamp, noted: Noted) -> EventRow:
        """Add an event to the ring and return its row."""
        row = EventRow(
            stamp,
            self._data_centre,
            noted.event,
            noted.version,
            noted.call_id,
            noted.attempt_id,
            noted.peer,
            noted.detail,
        )
        if len(self._rows) == self._rows.maxlen:
            self.dropped += 1
        self._rows.append(row)
        return row
