"""Systems of a link relay that complete the record of changes.

The operators' tool writes an entry within a second of its update. What no
entry stands for after a while was edited straight in the store, or its tool
was stopped half-way: then a link relay writes the entry, and it is harmless
if two do.
"""

from papayapost.distribution import RULES_KEY, RulesTable
from papayapost.ids import Micros, RuleVersion
from papayapost.kernel import System, Tick
from papayapost.membership import RoleChanged, TreeTables
from papayapost.observe import Event, Noted
from papayapost.place import SelfRow
from papayapost.record.changeset import RulesText
from papayapost.record.messages import (
    GracePeriodEnded,
    OperationDone,
    OperationId,
    OperationRequested,
    RulesReadDue,
)
from papayapost.record.steps import ObservedVersion, RecordVersion
from papayapost.record.tables import VersionTables
from papayapost.storage import ObjectSeen, ReadObject, RequestId, StoreFailed

__all__ = ["ObserveVersions", "RecordObservedVersions"]

_RULES_REQUEST = RequestId("record-rules")
_RETRY_MIN_US = 1_000_000
_RETRY_MAX_US = 5_000_000
_GRACE_PERIOD_MIN_US = 5_000_000
_GRACE_PERIOD_MAX_US = 15_000_000
_MAX_RECENT_TEXTS = 2
# Each holds its text, up to a megabyte.
_MAX_UNRECORDED = 8


class ObserveVersions(System):
    """Notices versions of the rules object on a link relay."""

    consumes = (ObjectSeen, RoleChanged, RulesReadDue, StoreFailed)

    def __init__(
        self, me: SelfRow, tree: TreeTables, rules: RulesTable, observed: VersionTables
    ):
        self._me = me
        self._tree = tree
        self._rules = rules
        self._observed = observed
        self._started_us: Micros | None = None
        self._was_link_relay = False

    def run(self, tick: Tick) -> None:
        """Leave the operators' tool time to write the entry itself."""
        if self._started_us is None:
            self._started_us = tick.now_us
        became_link_relay = self._tree.is_link_relay and not self._was_link_relay
        self._was_link_relay = self._tree.is_link_relay
        if not self._tree.is_link_relay:
            return
        if became_link_relay or tick.take(RulesReadDue):
            # The relay before may have died between a version and its entry.
            tick.emit(ReadObject(RULES_KEY, _RULES_REQUEST))
        for failed in tick.take(StoreFailed):
            if failed.request_id == _RULES_REQUEST:
                pause_us = tick.random.randint(_RETRY_MIN_US, _RETRY_MAX_US)
                due_us = Micros(tick.now_us + pause_us)
                tick.set_timer(_RULES_REQUEST, due_us, RulesReadDue())
        for seen in tick.take(ObjectSeen):
            if seen.key == RULES_KEY and isinstance(seen.value, str):
                self._add_version(tick, RuleVersion(seen.version), seen.value)

    def _add_version(self, tick: Tick, version: RuleVersion, text: str) -> None:
        if version <= self._observed.newest_version:
            return
        self._observed.newest_version = version
        row = ObservedVersion(
            version,
            text,
            self._wall_clock_us(tick),
            self._me.node_id,
            self._comparison_texts(),
        )
        self._observed.unrecorded.put(version, row)
        self._observed.recent_texts = (
            *self._observed.recent_texts,
            RulesText(version, text),
        )[-_MAX_RECENT_TEXTS:]
        self._start_grace_period(tick)

    def _start_grace_period(self, tick: Tick) -> None:
        """Set one timer for all versions: each look reads a whole page."""
        if len(self._observed.unrecorded) >= _MAX_UNRECORDED:
            tick.post(GracePeriodEnded())
        elif not self._observed.is_grace_timer_set:
            self._observed.is_grace_timer_set = True
            grace_us = tick.random.randint(_GRACE_PERIOD_MIN_US, _GRACE_PERIOD_MAX_US)
            due_us = Micros(tick.now_us + grace_us)
            tick.set_timer("record versions", due_us, GracePeriodEnded())

    def _comparison_texts(self) -> tuple[RulesText, ...]:
        held = self._rules.held
        texts = {item.version: item for item in self._observed.recent_texts}
        if held is not None:
            texts[held.version] = RulesText(held.version, held.rules.text)
        return tuple(texts.values())

    def _wall_clock_us(self, tick: Tick) -> Micros:
        """Return the wall-clock time, from that of the process's start."""
        assert self._started_us is not None
        return Micros(self._me.incarnation + tick.now_us - self._started_us)


class RecordObservedVersions(System):
    """Brings the versions that were noticed into the record."""

    consumes = (GracePeriodEnded, OperationDone)

    def __init__(self, observed: VersionTables):
        self._observed = observed

    def run(self, tick: Tick) -> None:
        """Ask for the entry; the record leaves it out if it stands."""
        if tick.take(GracePeriodEnded):
            self._observed.is_grace_timer_set = False
            for version, row in self._observed.unrecorded.items():
                tick.post(
                    OperationRequested(_operation_id(version), RecordVersion(row))
                )
        for done in tick.take(OperationDone):
            self._handle_recorded(tick, done)

    def _handle_recorded(self, tick: Tick, done: OperationDone) -> None:
        for version, row in list(self._observed.unrecorded.items()):
            if done.operation_id != _operation_id(version):
                continue
            self._observed.unrecorded.pop(version)
            entry = done.page.entry_of(version)
            is_own = entry is not None and entry.recorded_by == row.seen_by
            if entry is not None and is_own and done.has_changed:
                detail = f"{entry.attribution.value} {entry.operator}".strip()
                tick.emit(Noted(Event.CHANGE_RECORDED, version=version, detail=detail))


def _operation_id(version: RuleVersion) -> OperationId:
    return OperationId(f"version-{version}")
