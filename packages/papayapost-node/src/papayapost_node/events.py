"""Writes numbered events to the log."""

import sys

import structlog

from papayapost.ids import NodeId
from papayapost.observe import Event, Noted

__all__ = ["EventLog", "configure_logging"]


def configure_logging() -> None:
    """Write events as one JSON object a line to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


class EventLog:
    """The log of one node."""

    def __init__(self, node_id: NodeId):
        self._logger = structlog.get_logger().bind(node=node_id)

    def note(self, noted: Noted) -> None:
        """Log one event with its number and the fields that it has."""
        about = {
            "version": noted.version,
            "call_id": noted.call_id,
            "attempt_id": noted.attempt_id,
            "peer": noted.peer,
            "detail": noted.detail or None,
        }
        fields = {name: value for name, value in about.items() if value is not None}
        event = noted.event
        self._logger.info(event.name.lower(), number=event.value, **fields)

    def note_event(self, event: Event, detail: str = "") -> None:
        """Log an event of the shell itself."""
        self.note(Noted(event, detail=detail))
