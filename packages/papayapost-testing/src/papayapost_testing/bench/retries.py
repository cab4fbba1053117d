"""Attempts per call while all upstreams refuse offers or don't answer."""

from random import Random

from papayapost.ids import CallId, Micros
from papayapost.kernel import World
from papayapost.traffic import (
    AttemptRefused,
    BudgetedRetries,
    CallArrived,
    OfferSend,
    RefusalCode,
    RetryPolicy,
)
from papayapost.traffic.entry.tables import CallRow, CallStep
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.traffic_worlds import backend_row, traffic_world

__all__ = ["UnbudgetedRetries", "retry_rows"]

_RULES = "route GET /* -> gusts idempotent=yes retries=3 timeout_ms=500 # Mei: desk\n"
_UPSTREAMS = 8
_CALL_INTERVAL_US = 1_000


class UnbudgetedRetries(RetryPolicy):
    """Baseline policy: limits the retries of a call by its route alone."""

    def record_call_start(self, call: CallRow, now_us: Micros) -> None:
        """Do nothing: a new call adds nothing to a budget."""

    def costs_no_retry(self, call: CallRow, code: RefusalCode) -> bool:
        """Return False: the attempt after any refusal counts as a retry."""
        return False

    def may_retry(self, call: CallRow) -> bool:
        """Return whether the call has retries left under its route's limit."""
        return call.retries < call.route.retries

    def may_hedge(self, call: CallRow) -> bool:
        """Return True: no budget limits hedges."""
        return True

    def next_step(
        self, call: CallRow, latency_us: float, now_us: Micros
    ) -> tuple[CallStep, int]:
        """Return the next step that the budgeted policy would choose."""
        return BudgetedRetries().next_step(call, latency_us, now_us)

    def record_hedge(self, call: CallRow) -> None:
        """Do nothing: a hedge takes nothing from a budget."""

    def spend(self, call: CallRow) -> None:
        """Do nothing: a retry takes nothing from a budget."""

    def succeeded(self, call: CallRow) -> None:
        """Do nothing: a successful call adds nothing to a budget."""

    def pause_us(self, call: CallRow, random: Random) -> Micros:
        """Return zero: retries are sent without a pause."""
        return Micros(0)


def retry_rows(short: bool) -> list[BenchRow]:
    """Return the attempts per call; the baseline has no retry budget."""
    calls = 1_000 if short else 20_000
    rows = []
    for name, is_refusing in (("total refusal", True), ("no answers", False)):
        budgeted = _attempts_per_call(calls, is_refusing, None)
        unbudgeted = _attempts_per_call(calls, is_refusing, UnbudgetedRetries())
        rows.append(BenchRow(name, calls, budgeted, "attempts/call", unbudgeted))
    return rows


def _attempts_per_call(
    calls: int, is_refusing: bool, retries: RetryPolicy | None
) -> float:
    others = [backend_row(f"u{number}", "gusts") for number in range(_UPSTREAMS)]
    own = backend_row("entry", None)
    world = traffic_world(own, others, _RULES, retries=retries).world
    attempts = 0
    for number in range(calls):
        arrived = CallArrived(CallId(number), "GET", "wind", "/gusts/wanli")
        messages: list[object] = [arrived]
        due_us = number * _CALL_INTERVAL_US
        while messages:
            offers = _offers(world, due_us, messages)
            attempts += len(offers)
            messages = [_refusal(offer) for offer in offers] if is_refusing else []
    return attempts / calls


def _offers(world: World, now_us: int, messages: list[object]) -> list[OfferSend]:
    effects = world.tick(Micros(now_us), messages)
    return [effect for effect in effects if isinstance(effect, OfferSend)]


def _refusal(offer: OfferSend) -> AttemptRefused:
    sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
    return AttemptRefused(sender, attempt_id, RefusalCode.QUEUE_FULL, 50, 0)
