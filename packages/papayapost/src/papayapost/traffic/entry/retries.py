"""Policies that decide whether a call may have further attempts."""

from abc import ABC, abstractmethod
from random import Random

from papayapost.define import define
from papayapost.ids import Micros, ServiceName
from papayapost.kernel import Table
from papayapost.states import Rank
from papayapost.traffic.entry.tables import CallRow, CallStep
from papayapost.traffic.messages import RefusalCode

__all__ = ["BudgetedRetries", "RetryBudgetRow", "RetryPolicy"]

_BUDGET_MAX_TOKENS = 10.0
_TOKENS_PER_SUCCESS = 0.1
_HEDGE_RESERVE_TOKENS = 5.0
_PAUSE_MIN_US = 5_000
_PAUSE_MAX_US = 100_000
_NO_RETRY_CODES = frozenset(
    [RefusalCode.DRAINING, RefusalCode.NO_FREE_SLOT, RefusalCode.SERVER_FAILING]
)


class RetryPolicy(ABC):
    """Decides on further attempts of a call that may safely run again.

    Attributes
    ----------
    bad_statuses
        HTTP statuses after which an attempt at another backend server may give
        a better answer.
    """

    bad_statuses = frozenset([502, 503, 504])

    @abstractmethod
    def record_call_start(self, call: CallRow, now_us: Micros) -> None:
        """Record that a call has its first attempt."""

    @abstractmethod
    def costs_no_retry(self, call: CallRow, code: RefusalCode) -> bool:
        """Return whether an attempt after this refusal costs no retry."""

    @abstractmethod
    def may_retry(self, call: CallRow) -> bool:
        """Return whether a further attempt may follow one that ended."""

    @abstractmethod
    def may_hedge(self, call: CallRow) -> bool:
        """Return whether a further attempt may run beside the first."""

    @abstractmethod
    def next_step(
        self, call: CallRow, latency_us: float, now_us: Micros
    ) -> tuple[CallStep, int]:
        """Return the next step of a call whose attempt stays unanswered.

        Parameters
        ----------
        latency_us
            Decayed latency of the service in µs.

        Returns
        -------
        tuple of CallStep and int
            The step, and the time of the tick clock in µs at which it is due.
        """

    @abstractmethod
    def record_hedge(self, call: CallRow) -> None:
        """Record that a hedge was offered."""

    @abstractmethod
    def spend(self, call: CallRow) -> None:
        """Charge a further attempt to the retry budget."""

    @abstractmethod
    def succeeded(self, call: CallRow) -> None:
        """Record that the call was answered."""

    @abstractmethod
    def pause_us(self, call: CallRow, random: Random) -> Micros:
        """Return the back-off in µs before the next attempt."""


@define
class RetryBudgetRow:
    """Retry budget of the calls of one service and rank, in attempts."""

    tokens: float = _BUDGET_MAX_TOKENS


class BudgetedRetries(RetryPolicy):
    """Allows retries within the rule's limit and a budget earned by successes.

    Each success earns a tenth of a further attempt. If all backend servers of
    a service refuse, the budget runs out and each call has one attempt only,
    so that retries do not multiply the load.
    """

    def __init__(self):
        self.budgets: Table[tuple[ServiceName, Rank], RetryBudgetRow] = Table(
            "retry budgets"
        )

    def record_call_start(self, call: CallRow, now_us: Micros) -> None:
        """Do nothing, because only successes earn budget."""

    def costs_no_retry(self, call: CallRow, code: RefusalCode) -> bool:
        """Return whether the attempt was refused before the backend server.

        That is so if the owner node drains, had no free slot, or keeps
        attempts from a server that fails.

        Such refusals are few: after the first one, the entry node sends a
        draining owner node no more attempts, and each call has few attempts
        that may not queue.
        """
        return code in _NO_RETRY_CODES

    def may_retry(self, call: CallRow) -> bool:
        """Return whether the rule's limit and the budget allow a retry."""
        if call.retries >= call.route.retries:
            return False
        return self._budget(call).tokens >= 1.0

    def may_hedge(self, call: CallRow) -> bool:
        """Return whether a hedge leaves the tokens reserved for retries."""
        return self._budget(call).tokens >= 1.0 + _HEDGE_RESERVE_TOKENS

    def next_step(
        self, call: CallRow, latency_us: float, now_us: Micros
    ) -> tuple[CallStep, int]:
        """Hedge if the rule says so, else give up after half of the time left.

        Only calls of an idempotent rule have such steps.
        """
        route = call.route
        if not route.idempotent:
            return CallStep.NONE, 0
        if route.hedge_ms is not None and not call.is_hedged:
            return CallStep.HEDGE, now_us + route.hedge_ms * 1000
        if call.retries < route.retries:
            half_us = (call.deadline_us - now_us) // 2
            return CallStep.GIVE_UP_ATTEMPT, now_us + half_us
        return CallStep.NONE, 0

    def record_hedge(self, call: CallRow) -> None:
        """Do nothing: a hedge does not count against the retry limit."""

    def spend(self, call: CallRow) -> None:
        """Charge one attempt to the budget."""
        self._budget(call).tokens -= 1.0

    def succeeded(self, call: CallRow) -> None:
        """Add a tenth of an attempt to the budget, up to its maximum."""
        budget = self._budget(call)
        if budget.tokens < _BUDGET_MAX_TOKENS:
            budget.tokens = min(_BUDGET_MAX_TOKENS, budget.tokens + _TOKENS_PER_SUCCESS)

    def pause_us(self, call: CallRow, random: Random) -> Micros:
        """Return 0 for the first retry, else a growing back-off with jitter.

        The upper limit of the random back-off doubles with each retry.
        """
        if call.retries == 0:
            return Micros(0)
        max_pause_us = min(_PAUSE_MAX_US, _PAUSE_MIN_US << call.retries)
        return Micros(int(max_pause_us * random.random()))

    def _budget(self, call: CallRow) -> RetryBudgetRow:
        key = (call.service, call.rank)
        budget = self.budgets.get(key)
        if budget is None:
            budget = RetryBudgetRow()
            self.budgets.put(key, budget)
        return budget
