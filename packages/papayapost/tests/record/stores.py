"""An in-memory fake of the object store, and helpers that run worlds on it."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from papayapost.distribution import RULES_KEY, RulesTable
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RegionId,
    RuleVersion,
)
from papayapost.kernel import World
from papayapost.membership import RoleChanged, TreeTables
from papayapost.observe import Noted
from papayapost.place import Place, SelfRow
from papayapost.record import (
    RECORD_KEY,
    Operator,
    ProposalId,
    RecordPage,
    build_record,
)
from papayapost.record.apply import (
    ApplyFinished,
    ApplyReport,
    ApplyRequested,
    build_apply,
)
from papayapost.storage import (
    ObjectKey,
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)

START_US = 1_000_000_000


def rule(path: str, owner: str = "Ana") -> str:
    return f"route GET /{path} -> {path.strip('/*')} # {owner}: asked for"


class FakeStore:
    """Versioned objects in memory, with faults that a test can inject.

    Attributes
    ----------
    objects
        Version and value of each object.
    revision
        Highest version that the store has given so far.
    lost_replies
        Keys of updates that will take effect without a reply.
    lost_requests
        Keys of updates that will be lost before they take effect.
    down_keys
        Keys of objects that can be neither read nor updated.
    before
        Functions to call once before the next effect of a type on a key.
    updates
        Keys of all updates that were received, in order.
    """

    def __init__(self):
        self.objects: dict[ObjectKey, tuple[int, object]] = {}
        self.revision = 0
        self.lost_replies: list[ObjectKey] = []
        self.lost_requests: list[ObjectKey] = []
        self.down_keys: set[ObjectKey] = set()
        self.before: dict[tuple[type, ObjectKey], Callable[[], object]] = {}
        self.updates: list[ObjectKey] = []

    @property
    def page(self) -> RecordPage:
        return self.objects[RECORD_KEY][1]

    def put(self, key: ObjectKey, value: object) -> int:
        self.revision += 1
        self.objects[key] = (self.revision, value)
        return self.revision

    def answer(self, effect: object) -> object | None:
        hook = self.before.pop((type(effect), getattr(effect, "key", None)), None)
        if hook is not None:
            hook()
        if isinstance(effect, WatchObject):
            version, value = self.objects.get(effect.key, (0, None))
            is_changed = version != effect.after_version
            return ObjectRead(effect.key, version, value) if is_changed else None
        if isinstance(effect, ReadObject):
            if effect.key in self.down_keys:
                return StoreReadFailed(effect.key, "down", effect.request_id)
            version, value = self.objects.get(effect.key, (0, None))
            return ObjectRead(effect.key, version, value, effect.request_id)
        return self.update(effect) if isinstance(effect, UpdateObject) else None

    def update(self, effect: UpdateObject) -> object:
        self.updates.append(effect.key)
        key, request_id = effect.key, effect.request_id
        if key in self.down_keys:
            return UpdateOutcomeUnknown(key, request_id, "down")
        if key in self.lost_requests:
            self.lost_requests.remove(key)
            return UpdateOutcomeUnknown(key, request_id, "lost")
        current = self.objects.get(key, (0, None))[0]
        if current != effect.expected_version:
            return UpdateConflicted(key, request_id, current)
        version = self.put(key, effect.value)
        if key in self.lost_replies:
            self.lost_replies.remove(key)
            return UpdateOutcomeUnknown(key, request_id, "lost")
        return ObjectUpdated(key, request_id, version)


def run_until_idle(
    world: World,
    store: FakeStore,
    *messages: object,
    now_us: int = 0,
    until_us: int = 1 << 62,
) -> list:
    """Run a world against the store until it has no input and no timer.

    A timer that is due later than `until_us` is left waiting.

    Returns
    -------
    list
        Effects to which the store gave no answer.
    """
    inputs, unanswered = list(messages), []
    while True:
        effects = world.tick(Micros(now_us), inputs)
        answers = [store.answer(effect) for effect in effects]
        inputs = [answer for answer in answers if answer is not None]
        unanswered += [e for e, a in zip(effects, answers, strict=True) if a is None]
        due_us = world.next_due_us()
        if not inputs and (due_us is None or due_us > until_us):
            return unanswered
        if not inputs:
            now_us = due_us


def apply_request(
    text: str, operator: str, base: int | None = None, **changes
) -> ApplyRequested:
    request = ApplyRequested(
        ProposalId(f"{operator} {text}"),
        text,
        Operator(operator),
        "as asked",
        None if base is None else RuleVersion(base),
        False,
        Micros(START_US),
    )
    return replace(request, **changes)


def apply(store: FakeStore, request: ApplyRequested) -> ApplyReport:
    effects = run_until_idle(build_apply(Random(1)), store, request)
    (report,) = [e.report for e in effects if isinstance(e, ApplyFinished)]
    return report


def relay(store: FakeStore, rules: RulesTable | None = None) -> tuple[World, Callable]:
    tree = TreeTables()
    place = Place(DataCentreId("n1"), RegionId("north"))
    me = SelfRow(NodeId("r1"), Incarnation(START_US), place, Address("127.0.0.1:1"))
    world = World(build_record(me, tree, rules or RulesTable()).systems, Random(2))

    def become_link_relay() -> list[Noted]:
        tree.is_link_relay = True
        return run_until_idle(world, store, RoleChanged())

    return world, become_link_relay


def current_rules(store: FakeStore) -> ObjectRead:
    return ObjectRead(RULES_KEY, *store.objects[RULES_KEY])
