"""Numbered events, written to the log and kept for the time line."""

import sys
from enum import Enum

import structlog

__all__ = ["Event", "configure_logging", "log_event"]


class Event(Enum):
    """Every event a node can log; the catalogue is docs/EVENTS.md."""

    NODE_STARTED = 100
    NODE_DRAINING = 101
    NODE_STOPPED = 102
    RULES_IN_FORCE = 200
    RULES_REJECTED = 201
    STORE_FAILED = 300
    FRAME_REFUSED = 400


def configure_logging() -> None:
    """Write events as one JSON object a line to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


def log_event(event: Event, **fields: object) -> None:
    """Log one event with its number and fields."""
    structlog.get_logger().info(event.name.lower(), number=event.value, **fields)
