"""Retry policy with one retry budget for the whole mesh."""

from random import Random

from papayapost.define import define
from papayapost.ids import Micros, ServiceName
from papayapost.kernel import Table
from papayapost.membership import Directory
from papayapost.traffic.entry.retries import RetryPolicy
from papayapost.traffic.entry.tables import CallRow, CallStep
from papayapost.traffic.messages import RefusalCode

__all__ = ["SharedBudget", "WindowedRetries"]

_SPENT_RATIO_SHARE = 0.45
"""Fraction of the shared ratio that the nodes spend. A retry of a call to one
service may call a second service again, and no node can tell that this second
call is a repeat. Each of the two services therefore gets a half, less a tenth
because nodes may differ in the number of nodes that they know."""

_SPENT_SLACK_SHARE = 0.4
"""Fraction of the shared slack that the nodes spend. In known deployments, a
call to one service makes at most 1.4 calls to a second one, so that the slack
of the first counts 1.4 times at the second."""

_BURST_SHARE = 0.5
"""Fraction of a node's slack that it may spend at once. The rest is earned
evenly over the window."""

_MAX_REDIRECTS = 4
_HEDGE_TARGET_SHARE = 0.5
"""Fraction of the latency target after which a hedge can still meet it."""

_HEDGE_LATENCIES = 2.5
"""Multiple of the service's latency after which an attempt counts as slow."""

_MAX_REFUSALS_IF_FULL = 3
"""Number of refusals after which a call whose wait would be too long at an
owner node is not offered to others: that owner had the shortest wait."""

_FULL_QUEUE_CODES = frozenset(
    [RefusalCode.DEADLINE, RefusalCode.EVICTED, RefusalCode.QUEUE_FULL]
)
_MAYBE_REACHED_CODES = frozenset(
    [RefusalCode.SHED, RefusalCode.LOST, RefusalCode.DUPLICATE]
)


@define(frozen=True)
class SharedBudget:
    """Limit on the attempts of all nodes beyond the first one of each call.

    Parameters
    ----------
    ratio
        Further attempts per call of a service.
    slack
        Further attempts in each window in addition to that ratio.
    window_us
        Length of the window in µs.
    """

    ratio: float
    slack: float
    window_us: int


@define
class WindowBudgetRow:
    """Attempts beyond the first of a call that this node may still offer.

    Each service has its own row.
    """

    tokens: float
    refilled_us: Micros


class WindowedRetries(RetryPolicy):
    """A token bucket per service that holds this node's part of the budget.

    Each call earns a fraction of an attempt, whether it succeeds or not, and
    each node has an equal part of the slack. Together the nodes stay within
    the shared budget in every window. If an attempt was refused before it
    reached a backend server, the next one costs nothing.
    """

    # 504 is left out: a backend server sends it when the time has run out.
    bad_statuses = frozenset([500, 502, 503])

    def __init__(self, budget: SharedBudget, directory: Directory):
        self._budget = budget
        self._directory = directory
        self._now_us = Micros(0)
        self.rows: Table[ServiceName, WindowBudgetRow] = Table("window budgets")

    def record_call_start(self, call: CallRow, now_us: Micros) -> None:
        """Add the fraction of an attempt that a call earns."""
        row = self._row(call, now_us)
        row.tokens = min(
            self._burst_tokens(), row.tokens + self._budget.ratio * _SPENT_RATIO_SHARE
        )

    def costs_no_retry(self, call: CallRow, code: RefusalCode) -> bool:
        """Return whether the attempt certainly did not reach a backend server.

        The result is False once a call had `_MAX_REDIRECTS` such attempts. The
        entry node bounds the attempts that may not queue by itself.
        """
        if code is RefusalCode.NO_FREE_SLOT:
            return True
        if code in _FULL_QUEUE_CODES and len(call.refused) >= _MAX_REFUSALS_IF_FULL:
            return False
        return code not in _MAYBE_REACHED_CODES and call.redirects < _MAX_REDIRECTS

    def may_retry(self, call: CallRow) -> bool:
        """Return whether the rule's limit and the budget allow a retry."""
        if call.retries >= call.route.retries:
            return False
        return self._row(call, self._now_us).tokens >= 1.0

    def may_hedge(self, call: CallRow) -> bool:
        """Return whether a hedge leaves at least half of a full bucket."""
        return self._row(call, self._now_us).tokens >= self._burst_tokens() / 2 + 1.0

    def next_step(
        self, call: CallRow, latency_us: float, now_us: Micros
    ) -> tuple[CallStep, int]:
        """Hedge a call that takes much longer than calls of its service do.

        The first attempt is not cancelled. Its backend server may be only
        slow, and work on the request that has already started is not
        interrupted.
        """
        route = call.route
        if not route.idempotent or call.retries >= route.retries:
            return CallStep.NONE, 0
        min_delay_us = (
            (route.target_ms or route.timeout_ms) * 1000 * _HEDGE_TARGET_SHARE
        )
        delay_us = max(min_delay_us, _HEDGE_LATENCIES * latency_us)
        return CallStep.HEDGE, now_us + int(delay_us)

    def record_hedge(self, call: CallRow) -> None:
        """Count the hedge against the retry limit of the rule."""
        call.retries += 1

    def spend(self, call: CallRow) -> None:
        """Take one token from the bucket."""
        self._row(call, self._now_us).tokens -= 1.0

    def succeeded(self, call: CallRow) -> None:
        """Do nothing, because a call earns its fraction when it begins."""

    def pause_us(self, call: CallRow, random: Random) -> Micros:
        """Return 0: the budget limits retries even if all upstreams refuse."""
        return Micros(0)

    def _row(self, call: CallRow, now_us: Micros) -> WindowBudgetRow:
        self._now_us = max(self._now_us, now_us)
        row = self.rows.get(call.service)
        if row is None:
            row = WindowBudgetRow(self._burst_tokens(), self._now_us)
            self.rows.put(call.service, row)
        tokens_per_us = self._node_slack() * (1 - _BURST_SHARE) / self._budget.window_us
        earned_tokens = (self._now_us - row.refilled_us) * tokens_per_us
        row.tokens = min(self._burst_tokens(), row.tokens + earned_tokens)
        row.refilled_us = self._now_us
        return row

    def _node_slack(self) -> float:
        nodes = max(1, len(self._directory))
        return self._budget.slack * _SPENT_SLACK_SHARE / nodes

    def _burst_tokens(self) -> float:
        return max(1.0, self._node_slack() * _BURST_SHARE)
