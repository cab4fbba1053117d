"""Checks that nodes follow the rules versions, and never an older one."""

from collections.abc import Iterable
from dataclasses import dataclass

from papayapost.ids import Micros, NodeId
from papayapost.kernel import Tick
from papayapost_testing.soak.bounds import (
    CONFIG_US,
    ROLLBACK_SLACK_SLOWED_US,
    ROLLBACK_SLACK_US,
)
from papayapost_testing.soak.checks.base import Check
from papayapost_testing.soak.messages import CallEnded
from papayapost_testing.soak.rows import (
    NEVER,
    CallRow,
    Start,
    VersionNumber,
    VersionRow,
)

__all__ = ["RulesAreFollowed", "RulesNeverGoBack"]

_NOT_FOUND = 404


class _RulesCheck(Check):
    """Compares how a call was handled with what versions allow."""

    consumes = (CallEnded,)

    def handled_by(self, call: CallRow) -> set[VersionNumber] | None:
        """Return the versions that allow how a call was handled.

        Returns
        -------
        set of VersionNumber or None
            None if the call does not show which version was followed.
        """
        versions = self.tables.versions
        if call.unsigned_status == _NOT_FOUND:
            return {
                row.version for row in versions if row.service_of(call.target) is None
            }
        services = {run.service for run in self.runs_of(call.request_id)}
        if not services:
            return None
        # An attempt of a call that went on under a newer version may run at
        # either service; such a call shows no single version.
        if len(services) > 1:
            return None
        (service,) = services
        return {
            row.version for row in versions if row.service_of(call.target) == service
        }

    def acknowledged_by(self, at_us: int) -> Iterable[VersionRow]:
        """Return the versions that were acknowledged by a time."""
        rows = self.tables.versions
        return [row for row in rows if NEVER < row.acked_us <= at_us]


class RulesAreFollowed(_RulesCheck):
    """A version is followed within its bound of time (CONFIG)."""

    def run(self, tick: Tick) -> None:
        """Compare the calls that ended with the versions they may follow."""
        for ended in tick.take(CallEnded):
            call = self.tables.calls.require(ended.request_id)
            handled_by = self.handled_by(call)
            if handled_by is None:
                continue
            due = [
                row.version for row in self.acknowledged_by(call.sent_us - CONFIG_US)
            ]
            oldest = max(due, default=VersionNumber(0))
            if any(version >= oldest for version in handled_by):
                continue
            if self.tables.is_calm(call.node_id, call.sent_us, call.ended_us):
                text = f"older than version {oldest}: {self.describe(call)}"
                self.find(call.request_id, text, ended.at_us)


@dataclass(slots=True)
class _SeenRow:
    """The newest version that a process has shown, and when."""

    start: Start
    version: VersionNumber
    at_us: Micros


class RulesNeverGoBack(_RulesCheck):
    """A process that has shown a version follows no older one (CONFIG)."""

    def __init__(self, tables):
        super().__init__(tables)
        self._seen: dict[NodeId, list[_SeenRow]] = {}

    def run(self, tick: Tick) -> None:
        """Compare the calls that ended with the versions shown before."""
        for ended in tick.take(CallEnded):
            call = self.tables.calls.require(ended.request_id)
            handled_by = self.handled_by(call)
            if handled_by:
                self._compare(call, handled_by)
                self._note(call, min(handled_by))

    def _compare(self, call: CallRow, handled_by: set[VersionNumber]) -> None:
        is_calm = self.tables.is_calm(call.node_id, call.sent_us, call.ended_us)
        slack_us = ROLLBACK_SLACK_US if is_calm else ROLLBACK_SLACK_SLOWED_US
        for seen in self._seen.get(call.node_id, ()):
            is_bound = seen.start == call.start and call.sent_us > seen.at_us + slack_us
            if is_bound and max(handled_by) < seen.version:
                text = f"older than version {seen.version}, shown at "
                text += f"{seen.at_us / 1e6:.3f} s: {self.describe(call)}"
                self.find(call.request_id, text, call.ended_us)

    def _note(self, call: CallRow, version: VersionNumber) -> None:
        runs = self.runs_of(call.request_id)
        at_us = runs[0].began_us if runs else call.ended_us
        rows = self._seen.setdefault(call.node_id, [])
        rows[:] = [row for row in rows if row.start == call.start]
        if all(row.version < version for row in rows):
            rows.append(_SeenRow(call.start, version, at_us))
