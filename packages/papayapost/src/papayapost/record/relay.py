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
    RecordDue,
    RulesReadDue,
    StepDone,
    StepId,
    StepWanted,
)
from papayapost.record.steps import RecordVersion, SeenVersion
from papayapost.record.tables import VersionsSeen
from papayapost.storage import ObjectSeen, ReadObject, RequestId, StoreFailed

__all__ = ["NoticeVersions", "RecordChanges"]

_REQUEST = RequestId("record-rules")
_RETRY_MIN_US = 1_000_000
_RETRY_MAX_US = 5_000_000
_GRACE_MIN_US = 5_000_000
_GRACE_MAX_US = 15_000_000
_TEXTS_KEPT = 2
# Each holds its text, up to a megabyte.
_MAX_UNRECORDED = 8


class NoticeVersions(System):
    """Notices versions of the rules object on a link relay."""

    consumes = (ObjectSeen, RoleChanged, RulesReadDue, StoreFailed)

    def __init__(
        self, me: SelfRow, tree: TreeTables, rules: RulesTable, seen: VersionsSeen
    ):
        self._me = me
        self._tree = tree
        self._rules = rules
        self._seen = seen
        self._started_us: Micros | None = None
        self._was_link_relay = False

    def run(self, tick: Tick) -> None:
        """Leave the operators' tool time to write the entry itself."""
        if self._started_us is None:
            self._started_us = tick.now_us
        is_new = self._tree.is_link_relay and not self._was_link_relay
        self._was_link_relay = self._tree.is_link_relay
        if not self._tree.is_link_relay:
            return
        if is_new or tick.take(RulesReadDue):
            # The relay before may have died between a version and its entry.
            tick.emit(ReadObject(RULES_KEY, _REQUEST))
        for failed in tick.take(StoreFailed):
            if failed.request_id == _REQUEST:
                pause_us = tick.random.randint(_RETRY_MIN_US, _RETRY_MAX_US)
                due_us = Micros(tick.now_us + pause_us)
                tick.set_timer(_REQUEST, due_us, RulesReadDue())
        for seen in tick.take(ObjectSeen):
            if seen.key == RULES_KEY and isinstance(seen.value, str):
                self._notice(tick, RuleVersion(seen.version), seen.value)

    def _notice(self, tick: Tick, version: RuleVersion, text: str) -> None:
        if version <= self._seen.newest:
            return
        self._seen.newest = version
        row = SeenVersion(
            version, text, self._wall_us(tick), self._me.node_id, self._bases()
        )
        self._seen.unrecorded.put(version, row)
        self._seen.texts = (*self._seen.texts, RulesText(version, text))[-_TEXTS_KEPT:]
        self._set_due(tick)

    def _set_due(self, tick: Tick) -> None:
        """Set one timer for all versions: each look reads a whole page."""
        if len(self._seen.unrecorded) >= _MAX_UNRECORDED:
            tick.post(RecordDue())
        elif not self._seen.is_due_set:
            self._seen.is_due_set = True
            grace_us = tick.random.randint(_GRACE_MIN_US, _GRACE_MAX_US)
            due_us = Micros(tick.now_us + grace_us)
            tick.set_timer("record versions", due_us, RecordDue())

    def _bases(self) -> tuple[RulesText, ...]:
        held = self._rules.held
        texts = {item.version: item for item in self._seen.texts}
        if held is not None:
            texts[held.version] = RulesText(held.version, held.rules.text)
        return tuple(texts.values())

    def _wall_us(self, tick: Tick) -> Micros:
        """Return the wall-clock time, from that of the process's start."""
        assert self._started_us is not None
        return Micros(self._me.incarnation + tick.now_us - self._started_us)


class RecordChanges(System):
    """Brings the versions that were noticed into the record."""

    consumes = (RecordDue, StepDone)

    def __init__(self, seen: VersionsSeen):
        self._seen = seen

    def run(self, tick: Tick) -> None:
        """Ask for the entry; the record leaves it out if it stands."""
        if tick.take(RecordDue):
            self._seen.is_due_set = False
            for version, row in self._seen.unrecorded.items():
                tick.post(StepWanted(_step_id(version), RecordVersion(row)))
        for done in tick.take(StepDone):
            self._forget(tick, done)

    def _forget(self, tick: Tick, done: StepDone) -> None:
        for version, row in list(self._seen.unrecorded.items()):
            if done.step_id != _step_id(version):
                continue
            self._seen.unrecorded.pop(version)
            entry = done.page.entry_of(version)
            is_own = entry is not None and entry.recorded_by == row.seen_by
            if entry is not None and is_own and done.has_changed:
                detail = f"{entry.attribution.value} {entry.operator}".strip()
                tick.emit(Noted(Event.CHANGE_RECORDED, version=version, detail=detail))


def _step_id(version: RuleVersion) -> StepId:
    return StepId(f"version-{version}")
