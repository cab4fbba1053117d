"""Retries under one budget that the whole mesh shares."""

from dataclasses import dataclass
from random import Random

from papayapost.ids import Micros, ServiceName
from papayapost.kernel import Table
from papayapost.membership import Directory
from papayapost.traffic.entry.retries import RetryPolicy
from papayapost.traffic.entry.tables import CallRow, CallStep
from papayapost.traffic.messages import RefusalCode

__all__ = ["SharedBudget", "WindowedRetries"]

_USED_RATIO = 0.45
"""Part of the ratio that is spent. Calls that a repeated call makes in turn
are repeats too, and no node sees them: of two services of which one calls the
other each gets a half, less a tenth for nodes that differ on how many there
are."""

_USED_SLACK = 0.4
"""Part of the slack that is spent. With 1.4 calls for each call, the most that
a known deployment makes, the slack of the caller counts 1.4 times at the
called service."""

_BURST_SHARE = 0.5
"""Part of a node's slack that may go at once; the rest flows in the window."""

_MAX_REDIRECTS = 4
_HEDGE_SHARE = 0.5
"""Part of the target after which a second attempt is still timely."""

_HEDGE_LATENCIES = 2.5
"""Latencies of the service after which an attempt is out of the ordinary."""

_REACHED = frozenset([RefusalCode.SHED, RefusalCode.LOST, RefusalCode.DUPLICATE])


@dataclass(frozen=True, slots=True)
class SharedBudget:
    """What all nodes together may send beyond each call's first attempt.

    Parameters
    ----------
    ratio
        Further attempts for each call of a service.
    slack
        Further attempts in each window beyond that.
    window_us
        Length of the window in µs.
    """

    ratio: float
    slack: float
    window_us: int


@dataclass(slots=True)
class WindowBudgetRow:
    """What this node may still send beyond first attempts to a service."""

    tokens: float
    refilled_us: Micros


class WindowedRetries(RetryPolicy):
    """A token bucket for each service, sized to this node's part.

    Every call earns its part of an attempt whether it succeeds or not, and
    each node has an equal part of the slack. Whatever the nodes spend in any
    window, the sum stays within the shared budget. An attempt that its owner
    node refused never reached a backend server and costs nothing.
    """

    # A backend server that answers 504 does so when the time is over.
    bad_statuses = frozenset([500, 502, 503])

    def __init__(self, budget: SharedBudget, directory: Directory):
        self._budget = budget
        self._directory = directory
        self._now_us = Micros(0)
        self.rows: Table[ServiceName, WindowBudgetRow] = Table("window budgets")

    def began(self, call: CallRow, now_us: Micros) -> None:
        """Earn a call's part."""
        row = self._row(call, now_us)
        row.tokens = min(self._burst(), row.tokens + self._budget.ratio * _USED_RATIO)

    def is_free(self, call: CallRow, code: RefusalCode) -> bool:
        """Return whether the attempt did not reach a backend server."""
        return code not in _REACHED and call.redirects < _MAX_REDIRECTS

    def may_retry(self, call: CallRow) -> bool:
        """Return whether the limit and the budget leave an attempt."""
        if call.retries >= call.route.retries:
            return False
        return self._row(call, self._now_us).tokens >= 1.0

    def may_hedge(self, call: CallRow) -> bool:
        """Return whether the bucket is full enough to spare an attempt."""
        return self._row(call, self._now_us).tokens >= self._burst() / 2 + 1.0

    def next_step(
        self, call: CallRow, latency_us: float, now_us: Micros
    ) -> tuple[CallStep, int]:
        """Hedge a call that takes far longer than its service does.

        The first attempt goes on: its backend server may be slow or silent,
        and a request at which one works is not broken off for that.
        """
        route = call.route
        if not route.idempotent or call.retries >= route.retries:
            return CallStep.NONE, 0
        least_us = (route.target_ms or route.timeout_ms) * 1000 * _HEDGE_SHARE
        pause_us = max(least_us, _HEDGE_LATENCIES * latency_us)
        return CallStep.HEDGE, now_us + int(pause_us)

    def hedged(self, call: CallRow) -> None:
        """Count a further backend server against the rule's limit."""
        call.retries += 1

    def spend(self, call: CallRow) -> None:
        """Take one attempt from the bucket."""
        self._row(call, self._now_us).tokens -= 1.0

    def succeeded(self, call: CallRow) -> None:
        """Earn nothing: the call has earned when it began."""

    def pause_us(self, call: CallRow, random: Random) -> Micros:
        """Return 0: the budget bounds what a fleet that refuses gets."""
        return Micros(0)

    def _row(self, call: CallRow, now_us: Micros) -> WindowBudgetRow:
        self._now_us = max(self._now_us, now_us)
        row = self.rows.get(call.service)
        if row is None:
            row = WindowBudgetRow(self._burst(), self._now_us)
            self.rows.put(call.service, row)
        flow = self._slack() * (1 - _BURST_SHARE) / self._budget.window_us
        earned = (self._now_us - row.refilled_us) * flow
        row.tokens = min(self._burst(), row.tokens + earned)
        row.refilled_us = self._now_us
        return row

    def _slack(self) -> float:
        nodes = max(1, len(self._directory))
        return self._budget.slack * _USED_SLACK / nodes

    def _burst(self) -> float:
        return max(1.0, self._slack() * _BURST_SHARE)
