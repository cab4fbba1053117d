"""System that ends the last calls of an entry node that stops."""

from papayapost.ids import CallId
from papayapost.kernel import System, Tick
from papayapost.observe import Event, Noted
from papayapost.quota import TokenUnneeded
from papayapost.states import Outcome
from papayapost.traffic.entry.offers import (
    Offers,
    close_call,
    keep_answers,
    refuse_call,
)
from papayapost.traffic.entry.tables import AttemptState, CallRow, EntryTables
from papayapost.traffic.internal import DrainLimitPassed, HoldExpired
from papayapost.traffic.messages import (
    AnswerGivenUp,
    CallRefusal,
    GiveUpAnswer,
    RefusalCode,
)
from papayapost.traffic.owner_messages import DrainRequested

__all__ = ["CloseCalls"]

_UNAVAILABLE = 503


class CloseCalls(System):
    """Keeps calls from being cut off when the time of a drain has passed.

    An answer that waits for the link of its owner node is not begun any more
    before it is whole. What is left at the limit ends with an answer of this
    node, which says whether the call may have run, unless a part of its own
    answer was sent.

    It runs after `FinishDrain`, which tells whether work was left.
    """

    consumes = (AnswerGivenUp, DrainLimitPassed, DrainRequested)

    def __init__(self, tables: EntryTables, offers: Offers):
        self._tables = tables
        self._offers = offers

    def run(self, tick: Tick) -> None:
        """Keep the answers of a drain, and end all calls at its limit."""
        if tick.take(DrainRequested):
            keep_answers(tick, self._tables.attempts)
        for given_up in tick.take(AnswerGivenUp):
            self._end_given_up(tick, given_up.call_id)
        if tick.take(DrainLimitPassed):
            for call in list(self._tables.calls):
                self._end(tick, call)
            self._end_waiting(tick)

    def _end_given_up(self, tick: Tick, call_id: CallId) -> None:
        call = self._tables.calls.get(call_id)
        if call is None:
            return
        self._offers.cancel_attempts(tick, call)
        close_call(tick, self._tables, call)
        self._tables.counters.unknown_outcomes += 1
        tick.emit(Noted(Event.OUTCOME_UNKNOWN, call_id=call_id))

    def _end(self, tick: Tick, call: CallRow) -> None:
        attempts = map(self._tables.attempts.require, call.outstanding)
        if any(item.state is AttemptState.ANSWERING for item in attempts):
            tick.emit(GiveUpAnswer(call.call_id))
            return
        call.may_have_run = call.may_have_run or bool(call.outstanding)
        self._offers.cancel_attempts(tick, call)
        code = RefusalCode.LOST if call.may_have_run else RefusalCode.DRAINING
        refuse_call(tick, self._tables, call, code)
        if call.may_have_run:
            tick.emit(Noted(Event.OUTCOME_UNKNOWN, call_id=call.call_id))

    def _end_waiting(self, tick: Tick) -> None:
        """Refuse the calls that have had no attempt."""
        for held in list(self._tables.held):
            tick.post(HoldExpired(held.arrived.call_id))
        for waiting in list(self._tables.quota_waits):
            call_id = waiting.call.call_id
            self._tables.quota_waits.pop(call_id)
            self._tables.counters.refused_calls += 1
            tick.post(TokenUnneeded(call_id))
            code, outcome = RefusalCode.DRAINING, Outcome.NOT_RUN
            tick.emit(CallRefusal(call_id, _UNAVAILABLE, code, outcome))
