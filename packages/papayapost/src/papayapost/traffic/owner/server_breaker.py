"""Keeps attempts from a backend server that fails, whoever sends them."""

from enum import Enum

from papayapost.ids import InstanceId, Micros
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.tables import OwnerTables

__all__ = ["BreakerState", "ServerBreaker"]

_FAILURES_TO_OPEN = 5
"""Number of failures in a row after which the backend server gets trials only.
A server that refuses half of its attempts reaches it at times; the next good
answer ends it."""

_MIN_TRIAL_INTERVAL_US = 100_000
_MAX_TRIAL_INTERVAL_US = 800_000
"""Time between two trials, which doubles with each failed one. The longest is
about the time for which the end of the trouble may stay unknown."""

_RISKY_TRIAL_INTERVALS = 3
"""Number of intervals without a trial after which an attempt that may not run
twice is one."""


class BreakerState(Enum):
    """Whether attempts reach the backend server."""

    CLOSED = "closed"
    OPEN = "open"


class ServerBreaker:
    """A circuit breaker for the backend server of this node.

    Load pattern: some backend servers refuse or fail all that they get, at
    once, while others have room. They look idle, so that each entry node, with
    few calls to any one server, keeps choosing them, and spends the retry
    budget that calls elsewhere need. The owner node sees all attempts of its
    server: after a few failures in a row it refuses further ones as not run
    before they reach the server, and lets single attempts through to learn of
    the end of the trouble.

    A call that two owner nodes refused for this reason, or that has no other
    server left, is let through. If most servers of a service fail, the cause
    is likely elsewhere, and they are not closed to everybody; and requests of
    one kind that make a server fail don't keep all others from it.
    """

    def __init__(self, tables: OwnerTables):
        self._tables = tables
        self._process: tuple[InstanceId, int] | None = None
        self._failures = 0
        self._last_trial_us = Micros(0)
        self._trial_interval_us = _MIN_TRIAL_INTERVAL_US
        self.state = BreakerState.CLOSED

    def admits(self, offer: AttemptOffer, now_us: Micros) -> bool:
        """Return whether an attempt may reach the backend server.

        While the breaker is open, an attempt that is admitted is a trial.
        """
        self._notice_restart()
        if self.state is BreakerState.CLOSED or offer.despite_failures:
            return True
        interval_us = self._trial_interval_us
        if not offer.idempotent:
            interval_us *= _RISKY_TRIAL_INTERVALS
        if now_us - self._last_trial_us < interval_us:
            return False
        self._last_trial_us = now_us
        doubled_us = self._trial_interval_us * 2
        self._trial_interval_us = min(doubled_us, _MAX_TRIAL_INTERVAL_US)
        return True

    def wait_us(self, now_us: Micros) -> int:
        """Return the time in µs until the next trial."""
        return max(0, self._last_trial_us + self._trial_interval_us - now_us)

    def record(self, is_good: bool, now_us: Micros) -> BreakerState | None:
        """Record how the backend server handled an attempt.

        Returns
        -------
        BreakerState or None
            The new state, or None if it has not changed.
        """
        self._notice_restart()
        if is_good:
            self._failures = 0
            if self.state is BreakerState.CLOSED:
                return None
            self.state = BreakerState.CLOSED
            return self.state
        self._failures += 1
        if self.state is BreakerState.OPEN or self._failures < _FAILURES_TO_OPEN:
            return None
        self.state, self._last_trial_us = BreakerState.OPEN, now_us
        self._trial_interval_us = _MIN_TRIAL_INTERVAL_US
        return self.state

    def _notice_restart(self) -> None:
        """Forget the failures of an earlier process of the backend server."""
        backend = self._tables.backend
        process = backend.process if backend is not None else None
        if process != self._process:
            self._process = process
            self._failures, self.state = 0, BreakerState.CLOSED
