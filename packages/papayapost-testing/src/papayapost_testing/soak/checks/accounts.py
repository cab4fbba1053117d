"""Checks that nodes serve client accounts by the keys of the versions."""

from papayapost.kernel import Tick
from papayapost_testing.soak.bounds import REVOCATION_US
from papayapost_testing.soak.checks.base import Check
from papayapost_testing.soak.messages import RunStarted
from papayapost_testing.soak.rows import NEVER, NO_KEY, CallRow, RunRow

__all__ = ["AccountsAreTrue", "RemovedKeysStop"]


class AccountsAreTrue(Check):
    """A run names the account that holds its key, and no key (UNASKED)."""

    consumes = (RunStarted,)

    def run(self, tick: Tick) -> None:
        """Compare the accounts of runs with the keys of their requests."""
        for started in tick.take(RunStarted):
            run = started.run
            call = self.tables.calls.get(run.request_id)
            fault = self._fault_of(run, call) if call is not None else ""
            if call is not None and fault:
                self.find(
                    run.request_id, f"{fault}: {self.describe(call)}", run.began_us
                )

    def _fault_of(self, run: RunRow, call: CallRow) -> str:
        if run.shows_key:
            return "a key reached the backend server"
        if call.key == NO_KEY:
            return f"account {run.account!r} without a key" if run.account else ""
        versions = self.tables.versions
        holders = {row.keys[call.key] for row in versions if call.key in row.keys}
        if run.account not in holders:
            return f"account {run.account!r} for a key of {sorted(holders)}"
        return ""


class RemovedKeysStop(Check):
    """A removed key works nowhere after its bound (CONFIG)."""

    consumes = (RunStarted,)

    def run(self, tick: Tick) -> None:
        """Look for runs with a key that was removed before."""
        for started in tick.take(RunStarted):
            run = started.run
            call = self.tables.calls.get(run.request_id)
            if call is None or call.key == NO_KEY:
                continue
            due_us = call.sent_us - REVOCATION_US
            rows = list(self.tables.versions)
            acked = [
                at for at, row in enumerate(rows) if NEVER < row.acked_us <= due_us
            ]
            if acked and all(call.key not in row.keys for row in rows[acked[-1] :]):
                text = f"removed key: {self.describe(call)}"
                self.find(run.request_id, text, run.began_us)
