"""Checks of single calls: answers, runs and refusals."""

from papayapost.kernel import Tick
from papayapost_testing.soak.checks.base import Check
from papayapost_testing.soak.messages import CallEnded, RunStarted, UnaskedBytes
from papayapost_testing.soak.rows import (
    CallEnd,
    CallRow,
    RouteKind,
)
from papayapost_testing.soak.rules import BASE_PREFIXES, LASTING_KEY

__all__ = [
    "AnswersAreWhole",
    "ProperCallsAreTaken",
    "RefusedNeverRuns",
    "RunsAreAsSent",
    "UnsafeRunsOnce",
]

_UNAUTHORIZED = 401
_PROMISES = frozenset([408, 421, 429, 503])
_DENIALS = frozenset([400, 401, 403, 404, 405, 411, 413, 414, 431])


class AnswersAreWhole(Check):
    """An answer belongs to its request and is the backend server's (MIXED)."""

    consumes = (CallEnded, UnaskedBytes)

    def run(self, tick: Tick) -> None:
        """Compare answers with the runs that they name."""
        for unasked in tick.take(UnaskedBytes):
            text = f"{unasked.node_id} sent bytes unasked: {unasked.data!r}"
            self.find(text, text, tick.now_us)
        for ended in tick.take(CallEnded):
            call = self.tables.calls.require(ended.request_id)
            if call.end is CallEnd.ANSWERED:
                fault = self._fault_of(call)
                if fault:
                    text = f"{fault}: {self.describe(call)}"
                    self.find(call.request_id, text, ended.at_us)

    def _fault_of(self, call: CallRow) -> str:
        answer = call.answer
        assert answer is not None
        if not answer.signature:
            return "success without a signature" if answer.status < 300 else ""
        if answer.names_request != call.request_id:
            return f"answer to another request ({answer.names_request})"
        if answer.signature.rpartition(".")[2] != answer.body_hash:
            return "the body is not the signed one"
        for run in self.runs_of(call.request_id):
            if run.signature == answer.signature:
                changed = f"the backend server answered {run.status}"
                return changed if run.status != answer.status else ""
        return "no backend server has signed this answer"


class UnsafeRunsOnce(Check):
    """A request that is not idempotent runs once at most (TWICE)."""

    consumes = (RunStarted,)

    def run(self, tick: Tick) -> None:
        """Count the runs of requests that may run once."""
        for started in tick.take(RunStarted):
            request_id = started.run.request_id
            call = self.tables.calls.get(request_id)
            if call is None or call.kind is not RouteKind.NON_IDEMPOTENT:
                continue
            if len(self.runs_of(request_id)) > 1:
                text = f"ran twice: {self.describe(call)}"
                self.find(request_id, text, started.run.began_us)


class RefusedNeverRuns(Check):
    """A request refused as not run has not run and never will (REFUSED)."""

    consumes = (CallEnded, RunStarted)

    def run(self, tick: Tick) -> None:
        """Look for runs of refused requests, before and after the answer."""
        for ended in tick.take(CallEnded):
            self._check(ended.request_id, tick)
        for started in tick.take(RunStarted):
            self._check(started.run.request_id, tick)

    def _check(self, request_id, tick: Tick) -> None:
        call = self.tables.calls.get(request_id)
        if call is None or call.unsigned_status not in _PROMISES:
            return
        if self.runs_of(request_id):
            text = f"refused, but ran: {self.describe(call)}"
            self.find(request_id, text, tick.now_us)


class RunsAreAsSent(Check):
    """Only what a caller sent runs, unchanged (UNASKED, ROUTE)."""

    consumes = (RunStarted,)

    def run(self, tick: Tick) -> None:
        """Compare runs with the requests as they were sent."""
        for started in tick.take(RunStarted):
            fault = self._fault_of(started)
            if fault:
                run = started.run
                text = f"{fault}: {run.request_id} {run.method} {run.target} ran at "
                text += f"{run.server_id}"
                self.find(run.request_id, text, run.began_us)

    def _fault_of(self, started: RunStarted) -> str:
        run = started.run
        call = self.tables.calls.get(run.request_id)
        if call is None:
            return "no caller sent it"
        if (run.method, run.target) != (call.method, call.target):
            return f"sent as {call.method} {call.target}"
        if run.body_hash != call.body_hash:
            return "its body was changed"
        entry = self.tables.nodes.require(call.node_id)
        if run.caller_service != entry.service:
            return f"caller service {run.caller_service!r}, not {entry.service!r}"
        versions = self.tables.versions
        if all(row.service_of(run.target) != run.service for row in versions):
            return f"no version routes it to {run.service}"
        return ""


class ProperCallsAreTaken(Check):
    """What every version allows is not turned away for good (DENIED)."""

    consumes = (CallEnded,)

    def run(self, tick: Tick) -> None:
        """Look for denials by nodes of calls that all versions allow."""
        for ended in tick.take(CallEnded):
            call = self.tables.calls.require(ended.request_id)
            status = call.unsigned_status
            prefix = call.target[: call.target.index("/", 1) + 1]
            is_allowed = status != 404 or prefix in BASE_PREFIXES
            if status == _UNAUTHORIZED:
                is_allowed = call.key == LASTING_KEY
            if status in _DENIALS and is_allowed:
                self.find(
                    call.request_id, f"denied: {self.describe(call)}", ended.at_us
                )
