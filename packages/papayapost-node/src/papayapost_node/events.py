"""Writes events to the log and limits the number of lines per second."""

import sys

import structlog

from papayapost.ids import NodeId
from papayapost.observe import Event, Noted
from papayapost.timeline import LOGGED_CALL_EVENTS
from papayapost_node.clock import Clock
from papayapost_node.lines import LineWriter

__all__ = ["EventLog", "LineTokenBucket", "configure_logging"]

_CALL_LINES_PER_S = 120
"""Limit for events of calls; all events of about 20 calls/s fit into it."""

_OTHER_LINES_PER_S = 60
_BURST_S = 3
_REPORT_INTERVAL_US = 1_000_000


class _LineLogger:
    """Takes the lines that structlog renders and passes them to a writer."""

    def __init__(self, writer: LineWriter):
        self._writer = writer

    def msg(self, message: str) -> None:
        """Write a line."""
        self._writer.write(message)

    info = msg


def configure_logging() -> LineWriter:
    """Make structlog write each event to standard output as a line of JSON.

    Returns
    -------
    LineWriter
        The writer of the lines, to be flushed before the process ends.
    """
    writer = LineWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *names: _LineLogger(writer),
    )
    return writer


class LineTokenBucket:
    """A token bucket that limits the rate of log lines.

    Parameters
    ----------
    per_s
        Tokens that the bucket gains per second; each line takes one token.
    burst
        Capacity of the bucket in tokens; it is full at the start.

    Examples
    --------
    >>> bucket = LineTokenBucket(per_s=2, burst=3)
    >>> [bucket.take(0) for _ in range(4)], bucket.take(1_000_000)
    ([True, True, True, False], True)
    """

    def __init__(self, per_s: float, burst: float):
        self._tokens_per_us = per_s / 1e6
        self._burst = self._tokens = float(burst)
        self._refilled_at_us = 0

    def take(self, now_us: int) -> bool:
        """Take a token for one line; return False if there is none."""
        gained = (now_us - self._refilled_at_us) * self._tokens_per_us
        self._refilled_at_us = now_us
        self._tokens = min(self._burst, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Writes the events of one node to the log.

    Events of calls and all other events have separate rate limits, so that a
    flood of calls does not suppress the events of membership, rules and the
    store. Suppressed events are counted, and an event with the counts is
    logged at most once per second.
    """

    def __init__(self, node_id: NodeId, clock: Clock):
        self._logger = structlog.get_logger().bind(node=node_id)
        self._clock = clock
        self._call_bucket = LineTokenBucket(
            _CALL_LINES_PER_S, _CALL_LINES_PER_S * _BURST_S
        )
        self._other_bucket = LineTokenBucket(
            _OTHER_LINES_PER_S, _OTHER_LINES_PER_S * _BURST_S
        )
        self._suppressed: dict[str, int] = {}
        self._reported_at_us = 0

    def note(self, noted: Noted) -> None:
        """Log an event with its number and the fields that are set.

        An event beyond the rate limit is only counted.
        """
        now_us = self._clock.now_us()
        bucket = (
            self._call_bucket
            if noted.event in LOGGED_CALL_EVENTS
            else self._other_bucket
        )
        if not bucket.take(now_us):
            name = noted.event.name.lower()
            self._suppressed[name] = self._suppressed.get(name, 0) + 1
            return
        if self._suppressed and now_us - self._reported_at_us >= _REPORT_INTERVAL_US:
            self._report(now_us)
        self._write(noted)

    def note_event(self, event: Event, detail: str = "") -> None:
        """Log an event of the process itself, which no world has emitted."""
        self.note(Noted(event, detail=detail))

    def _report(self, now_us: int) -> None:
        counts = ", ".join(f"{n} {name}" for name, n in self._suppressed.items())
        self._suppressed.clear()
        self._reported_at_us = now_us
        self._write(Noted(Event.LINES_LEFT_OUT, detail=counts))

    def _write(self, noted: Noted) -> None:
        optional_fields = {
            "version": noted.version,
            "call_id": noted.call_id,
            "attempt_id": noted.attempt_id,
            "peer": noted.peer,
            "detail": noted.detail or None,
        }
        fields = {
            name: value for name, value in optional_fields.items() if value is not None
        }
        event = noted.event
        self._logger.info(event.name.lower(), number=event.value, **fields)
