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


_SHEDDING_SHARE = 0.65
_RECOVERED_SHARE = 0.3
"""Share of refused attempts at which a backend server counts as shedding, and
below which it no longer does. Other servers of its service may have more to
give; if none has, its attempts come back `despite_failures`."""

_SHARE_WEIGHT = 0.05
_TRIAL_SHARE_WEIGHT = 0.15
"""Weight of one attempt in the share, and that of a trial, of which there are
fewer. A server that sheds half seldom comes over the limit by chance; in known
faults, all servers of a service refuse 55 in 100, so that others are no
better."""

_SHEDDING_TRIAL_INTERVAL_US = 200_000

_SIBLING_WEIGHT = 0.2
_SIBLINGS_SHED_SHARE = 0.2
"""Share of the offers that other owner nodes have refused, above which the
siblings shed as well. If all do, it is a third; if a third of them does, less
than a tenth."""

_SIBLINGS_SHED_US = 10_000_000
"""Time for which attempts are admitted then. Another server would refuse them
as often, and each refusal costs two messages."""


class BreakerState(Enum):
    """Whether attempts reach the backend server.

    While it is open, single trials do. While the server sheds part of its
    load, few attempts do.
    """

    CLOSED = "closed"
    OPEN = "open"
    SHEDDING = "shedding"


class ServerBreaker:
    """A circuit breaker for the backend server of this node.

    Load pattern: some backend servers refuse or fail all that they get, at
    once, while others have room. They look idle, so that each entry node, with
    few calls to any one server, keeps choosing them, and spends the retry
    budget that calls elsewhere need. The owner node sees all attempts of its
    server: after a few failures in a row it refuses further ones as not run
    before they reach the server, and lets single attempts through to learn of
    the end of the trouble.

    Load pattern: servers that refuse, at once, most of what they get. Between
    two refusals there is a good answer, so that they are never failing, and
    they look the least loaded. The owner node keeps the share that its server
    refuses; while it is large, few attempts reach the server.

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
        self._shed_share = 0.0
        self._sibling_share = 0.0
        self._siblings_shed_until_us = 0
        self.state = BreakerState.CLOSED

    def admits(self, offer: AttemptOffer, now_us: Micros) -> bool:
        """Return whether an attempt may reach the backend server.

        Unless the breaker is closed, an attempt that is admitted is a trial.
        """
        self._notice_restart()
        if self.state is BreakerState.SHEDDING:
            self._compare_with_siblings(offer, now_us)
        if self.state is BreakerState.CLOSED or offer.despite_failures:
            return True
        if (
            self.state is BreakerState.SHEDDING
            and now_us < self._siblings_shed_until_us
        ):
            return True
        interval_us = self._trial_interval_us
        if not offer.idempotent:
            interval_us *= _RISKY_TRIAL_INTERVALS
        if now_us - self._last_trial_us < interval_us:
            return False
        self._last_trial_us = now_us
        if self.state is BreakerState.SHEDDING:
            return True
        doubled_us = self._trial_interval_us * 2
        self._trial_interval_us = min(doubled_us, _MAX_TRIAL_INTERVAL_US)
        return True

    def wait_us(self, now_us: Micros) -> int:
        """Return the time in µs until the next trial."""
        return max(0, self._last_trial_us + self._trial_interval_us - now_us)

    def record(
        self, is_good: bool, now_us: Micros, is_shed: bool = False
    ) -> BreakerState | None:
        """Record how the backend server handled an attempt.

        Parameters
        ----------
        is_shed
            Whether it refused the attempt as not run. A status 503 alone does
            not tell: servers answer so too when their inner calls are refused,
            which is the case at all of them in a burst.

        Returns
        -------
        BreakerState or None
            The new state, or None if it has not changed.
        """
        self._notice_restart()
        before = self.state
        self._record_share(is_shed)
        if is_good:
            self._failures = 0
            if before is BreakerState.OPEN:
                # Trials are few and far between; after a total failure, the
                # share of an earlier time says nothing.
                self._shed_share = min(self._shed_share, _RECOVERED_SHARE)
                self.state = BreakerState.CLOSED
        else:
            self._failures += 1
            if self._failures >= _FAILURES_TO_OPEN:
                self.state = BreakerState.OPEN
        if self.state is not BreakerState.OPEN:
            self.state = self._state_by_share()
        if self.state is before:
            return None
        self._last_trial_us = now_us
        self._trial_interval_us = _MIN_TRIAL_INTERVAL_US
        if self.state is BreakerState.SHEDDING:
            self._trial_interval_us = _SHEDDING_TRIAL_INTERVAL_US
        return self.state

    def _compare_with_siblings(self, offer: AttemptOffer, now_us: Micros) -> None:
        """Notice that the other servers of the service shed as well.

        An offer that two other owner nodes have refused shows it.
        """
        share = self._sibling_share
        share += _SIBLING_WEIGHT * (offer.despite_failures - share)
        self._sibling_share = share
        if share > _SIBLINGS_SHED_SHARE:
            self._sibling_share = 0.0
            self._siblings_shed_until_us = now_us + _SIBLINGS_SHED_US

    def _record_share(self, is_shed: bool) -> None:
        is_closed = self.state is BreakerState.CLOSED
        weight = _SHARE_WEIGHT if is_closed else _TRIAL_SHARE_WEIGHT
        self._shed_share += weight * (is_shed - self._shed_share)

    def _state_by_share(self) -> BreakerState:
        is_shedding = self.state is BreakerState.SHEDDING
        limit = _RECOVERED_SHARE if is_shedding else _SHEDDING_SHARE
        if self._shed_share > limit:
            return BreakerState.SHEDDING
        return BreakerState.CLOSED

    def _notice_restart(self) -> None:
        """Forget the failures of an earlier process of the backend server."""
        backend = self._tables.backend
        process = backend.process if backend is not None else None
        if process != self._process:
            self._process = process
            self._failures, self.state = 0, BreakerState.CLOSED
            self._shed_share = 0.0
