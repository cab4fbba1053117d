"""Systems of a link relay that add missing entries to the change record.

The operators' tool writes the entry of a version within a second of its
update. If a version has no entry after a grace period of 5 to 15 s, it was
edited directly in the store, or the tool was stopped before it wrote the
entry. A link relay then writes the entry. Two link relays may do so at the
same time, since the second write finds the entry and changes nothing.
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
from papayapost.record.page_operations import ObservedVersion, RecordVersion
from papayapost.record.tables import VersionTables
from papayapost.storage import ObjectRead, ReadObject, StoreReadFailed, StoreRequestId

__all__ = ["ObserveVersions", "RecordObservedVersions"]

_RULES_REQUEST = StoreRequestId("record-rules")
_RETRY_PAUSE_MIN_US = 1_000_000
_RETRY_PAUSE_MAX_US = 5_000_000
_GRACE_PERIOD_MIN_US = 5_000_000
_GRACE_PERIOD_MAX_US = 15_000_000
_MAX_RECENT_TEXTS = 2
# Each observed version keeps its whole text in memory, up to 1 MB.
_MAX_UNRECORDED = 8


class ObserveVersions(System):
    """Collects the versions of the rules object that a link relay observes."""

    consumes = (ObjectRead, RoleChanged, RulesReadDue, StoreReadFailed)

    def __init__(
        self,
        me: SelfRow,
        tree: TreeTables,
        rules: RulesTable,
        observed: VersionTables,
    ):
        self._me = me
        self._tree = tree
        self._rules = rules
        self._observed = observed
        self._started_us: Micros | None = None
        self._was_link_relay = False

    def run(self, tick: Tick) -> None:
        """Collect new versions, to be recorded after the grace period.

        The grace period gives the operators' tool time to write the entry
        itself.
        """
        if self._started_us is None:
            self._started_us = tick.now_us
        became_link_relay = self._tree.is_link_relay and not self._was_link_relay
        self._was_link_relay = self._tree.is_link_relay
        if not self._tree.is_link_relay:
            return
        if became_link_relay or tick.take(RulesReadDue):
            # The previous link relay may have stopped after it observed a
            # version and before it wrote the version's entry.
            tick.emit(ReadObject(RULES_KEY, _RULES_REQUEST))
        for failed in tick.take(StoreReadFailed):
            if failed.request_id == _RULES_REQUEST:
                pause_us = tick.random.randint(_RETRY_PAUSE_MIN_US, _RETRY_PAUSE_MAX_US)
                due_us = Micros(tick.now_us + pause_us)
                tick.set_timer(_RULES_REQUEST, due_us, RulesReadDue())
        for seen in tick.take(ObjectRead):
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
        """Set the timer after which the collected versions are recorded.

        All versions share one timer, since each check of the record reads a
        whole page. The wait ends at once if 8 versions are collected, which
        bounds the memory that their texts take.
        """
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
        """Return the wall-clock time in µs since the Unix epoch.

        It is the start time of the process, which is its incarnation, plus
        the monotonic time since the first run of this system.
        """
        assert self._started_us is not None
        return Micros(self._me.incarnation + tick.now_us - self._started_us)


class RecordObservedVersions(System):
    """Writes entries of the observed versions that have none yet."""

    consumes = (GracePeriodEnded, OperationDone)

    def __init__(self, observed: VersionTables):
        self._observed = observed

    def run(self, tick: Tick) -> None:
        """Request an entry for each collected version after the grace period.

        A version that has an entry already gets no second one.
        """
        if tick.take(GracePeriodEnded):
            self._observed.is_grace_timer_set = False
            for version, row in self._observed.unrecorded.items():
                tick.post(
                    OperationRequested(_operation_id(version), RecordVersion(row))
                )
        for done in tick.take(OperationDone):
            self._handle_operation_done(tick, done)

    def _handle_operation_done(self, tick: Tick, done: OperationDone) -> None:
        for version, row in list(self._observed.unrecorded.items()):
            if done.operation_id != _operation_id(version):
                continue
            self._observed.unrecorded.pop(version)
            entry = done.page.entry_of(version)
            is_own = entry is not None and entry.recorded_by == row.observed_by
            if entry is not None and is_own and done.has_changed:
                detail = f"{entry.attribution.value} {entry.operator}".strip()
                tick.emit(Noted(Event.CHANGE_RECORDED, version=version, detail=detail))


def _operation_id(version: RuleVersion) -> OperationId:
    return OperationId(f"version-{version}")
