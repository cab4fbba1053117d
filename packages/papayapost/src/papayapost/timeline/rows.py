"""Rows of the time line and the ring that a node keeps them in."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from papayapost.ids import AttemptId, CallId, DataCentreId, NodeId, RuleVersion
from papayapost.observe import Event, Noted
from papayapost.timeline.stamp import Stamp

__all__ = ["EventRing", "EventRow"]


@dataclass(slots=True)
class EventRow:
    """One event on the time line.

    Parameters
    ----------
    stamp
        When and at which node it happened.
    call_id
        Of a call at the node that the event happened at.
    peer
        The other node that the event is about.
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
    """The newest events of one node; the oldest give way.

    Parameters
    ----------
    capacity
        Number of rows that are kept.
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
        """Keep an event and return its row."""
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
