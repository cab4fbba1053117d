"""Recognises callers that return after a refusal.

A repetition has the name of the request, and its caller's time ends at the
same time, because callers send the rest of their time budget. Requests without
a name are not recognised, and neither are those that return to another entry
node. Load pattern: `repeats`, in which callers that ignore Retry-After would
get more slots than those that wait.
"""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.traffic.entry.tables import (
    CallRow,
    EntryTables,
    RefusedCallerRow,
)

__all__ = ["Return", "record_refusal", "take_return"]

_DEADLINE_TOLERANCE_US = 50_000
"""Largest difference between the ends of the time of a request and of its
repetition, which are under way for different times. Other requests may have
the same name."""

_MAX_ROWS = 2_048
_EARLY_SHARE = 0.1
"""Part of the Retry-After by which a caller may return early: clocks and the
rounding of the header differ."""


@define(frozen=True)
class Return:
    """What is known of a caller that returns.

    Parameters
    ----------
    waited_us
        Time in µs since its first request.
    early_us
        Time in µs by which it has come too early, 0 if it waited as asked.
    """

    waited_us: Micros
    early_us: Micros


def record_refusal(
    tables: EntryTables, call: CallRow, now_us: Micros, retry_after_ms: int
) -> None:
    """Record that a call was refused as not run."""
    arrived = call.arrived
    if not arrived.name or arrived.budget_us is None:
        return
    rows = tables.refused_callers
    rows.pop(arrived.name)
    if len(rows) >= _MAX_ROWS:
        oldest, _ = next(iter(rows.items()))
        rows.pop(oldest)
    row = RefusedCallerRow(
        Micros(call.arrived_us - call.waited_us),
        Micros(call.arrived_us + arrived.budget_us),
        now_us,
        Micros(now_us + retry_after_ms * 1000),
    )
    rows.put(arrived.name, row)


def take_return(tables: EntryTables, call: CallRow, now_us: Micros) -> Return | None:
    """Return what is known of a returning caller, None for a new one.

    The row is kept if the caller is too early, as its call is refused then.
    """
    arrived = call.arrived
    row = tables.refused_callers.get(arrived.name)
    if row is None or arrived.budget_us is None:
        return None
    deadline_us = call.arrived_us + arrived.budget_us
    if abs(deadline_us - row.deadline_us) > _DEADLINE_TOLERANCE_US:
        return None
    early_us = max(0, row.return_us - now_us)
    if early_us <= _EARLY_SHARE * (row.return_us - row.refused_us):
        early_us = 0
        tables.refused_callers.pop(arrived.name)
    return Return(Micros(now_us - row.begun_us), Micros(early_us))
