from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from papayapost.distribution import ACCEPTED_KEY, RULES_KEY, RulesTable
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
from papayapost.membership import BackendServerRow, RoleChanged, TreeTables
from papayapost.node import build_node_world
from papayapost.observe import Noted
from papayapost.place import Place, SelfRow
from papayapost.record import (
    RECORD_KEY,
    Attribution,
    Operator,
    PageDraft,
    Proposal,
    ProposalId,
    ProposeVersion,
    RecordPage,
    RecordVersion,
    RulesText,
    SeenVersion,
    build_record,
    changes_between,
    detail_key,
    page_key,
)
from papayapost.record.apply import (
    ApplyAsked,
    ApplyFinished,
    ApplyOutcome,
    ApplyReport,
    build_apply,
)
from papayapost.record.questions import (
    LogFilter,
    LogReport,
    QuestionAsked,
    ReadLog,
    build_question,
)
from papayapost.rules import digest_of
from papayapost.states import BackendServerState
from papayapost.storage import (
    ObjectKey,
    ObjectSeen,
    ObjectUpdated,
    ReadObject,
    StoreFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateUnknown,
    WatchObject,
)

START_US = 1_000_000_000


def rule(path: str, owner: str = "Ana") -> str:
    return f"route GET /{path} -> {path.strip('/*')} # {owner}: asked for"


class FakeStore:
    """Objects with versions; the next updates can be lost either way."""

    def __init__(self):
        self.objects: dict[ObjectKey, tuple[int, object]] = {}
        self.revision = 0
        self.lost_replies: list[ObjectKey] = []
        self.lost_requests: list[ObjectKey] = []
        self.down: set[ObjectKey] = set()
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
            is_news = version != effect.after_version
            return ObjectSeen(effect.key, version, value) if is_news else None
        if isinstance(effect, ReadObject):
            if effect.key in self.down:
                return StoreFailed(effect.key, "down", effect.request_id)
            version, value = self.objects.get(effect.key, (0, None))
            return ObjectSeen(effect.key, version, value, effect.request_id)
        return self.update(effect) if isinstance(effect, UpdateObject) else None

    def update(self, effect: UpdateObject) -> object:
        self.updates.append(effect.key)
        key, request_id = effect.key, effect.request_id
        if key in self.down:
            return UpdateUnknown(key, request_id, "down")
        if key in self.lost_requests:
            self.lost_requests.remove(key)
            return UpdateUnknown(key, request_id, "lost")
        current = self.objects.get(key, (0, None))[0]
        if current != effect.expected_version:
            return UpdateConflicted(key, request_id, current)
        version = self.put(key, effect.value)
        if key in self.lost_replies:
            self.lost_replies.remove(key)
            return UpdateUnknown(key, request_id, "lost")
        return ObjectUpdated(key, request_id, version)


def drive(
    world: World,
    store: FakeStore,
    *messages: object,
    now_us: int = 0,
    until_us: int = 1 << 62,
) -> list:
    """Run a world until nothing is due; return what is not for the store."""
    inputs, others = list(messages), []
    while True:
        effects = world.tick(Micros(now_us), inputs)
        answers = [store.answer(effect) for effect in effects]
        inputs = [answer for answer in answers if answer is not None]
        others += [e for e, a in zip(effects, answers, strict=True) if a is None]
        due_us = world.next_due_us()
        if not inputs and (due_us is None or due_us > until_us):
            return others
        if not inputs:
            now_us = due_us


def ask(text: str, operator: str, base: int | None = None, **changes) -> ApplyAsked:
    asked = ApplyAsked(
        ProposalId(f"{operator} {text}"),
        text,
        Operator(operator),
        "as asked",
        None if base is None else RuleVersion(base),
        False,
        Micros(START_US),
    )
    return replace(asked, **changes)


def apply(store: FakeStore, asked: ApplyAsked) -> ApplyReport:
    effects = drive(build_apply(Random(1)), store, asked)
    (report,) = [e.report for e in effects if isinstance(e, ApplyFinished)]
    return report


def relay(store: FakeStore, rules: RulesTable | None = None) -> tuple[World, Callable]:
    tree = TreeTables()
    place = Place(DataCentreId("n1"), RegionId("north"))
    me = SelfRow(NodeId("r1"), Incarnation(START_US), place, Address("127.0.0.1:1"))
    world = World(build_record(me, tree, rules or RulesTable()).systems, Random(2))

    def become_link_relay() -> list[Noted]:
        tree.is_link_relay = True
        return drive(world, store, RoleChanged())

    return world, become_link_relay


def seen_now(store: FakeStore) -> ObjectSeen:
    return ObjectSeen(RULES_KEY, *store.objects[RULES_KEY])


def test_an_apply_is_recorded_with_its_operator_and_its_changes():
    store = FakeStore()
    first = apply(store, ask(rule("a"), "mei"))
    second = apply(store, ask(rule("a", "Bo") + "\n" + rule("b"), "lin"))
    assert (first.outcome, first.is_recorded) == (ApplyOutcome.ACCEPTED, True)
    assert second.outcome is ApplyOutcome.ACCEPTED
    entries = store.page.entries
    assert [entry.operator for entry in entries] == ["mei", "lin"]
    assert [entry.base_version for entry in entries] == [0, first.version]
    assert [(c.kind.value, c.owner_after) for c in entries[1].changes.changes] == [
        ("changed", "Bo"),
        ("added", "Ana"),
    ]
    assert store.page.proposals == ()
    again = apply(store, ask(rule("a", "Bo") + "\n" + rule("b"), "ana"))
    assert (again.outcome, again.earlier.operator) == (ApplyOutcome.UNCHANGED, "lin")


def test_a_refused_text_and_a_preview_write_nothing():
    store = FakeStore()
    refused = apply(store, ask("route", "mei"))
    assert [finding.code for finding in refused.findings] == ["R003", "R001"]
    preview = apply(store, ask(rule("a"), "mei", is_preview=True))
    assert preview.outcome is ApplyOutcome.PREVIEWED
    assert [change.rule for change in preview.changes] == ["route GET /a"]
    assert store.updates == []


def test_of_two_operators_the_second_learns_who_came_first_and_what_differs():
    store = FakeStore()
    base = apply(store, ask(rule("a"), "mei"))

    lin = ask(rule("a") + "\n" + rule("b"), "lin")
    store.before[UpdateObject, RULES_KEY] = lambda: apply(store, lin)
    report = apply(store, ask(rule("a") + "\n" + rule("c"), "bo"))
    assert (report.outcome, report.earlier.operator) == (ApplyOutcome.OVERTAKEN, "lin")
    assert report.earlier.base_version == base.version
    assert [(c.kind.value, c.rule) for c in report.differing] == [
        ("added", "route GET /c"),
        ("removed", "route GET /b"),
    ]
    assert [entry.operator for entry in store.page.entries] == ["mei", "lin"]
    late = apply(store, ask(rule("d"), "bo", base=base.version))
    assert (late.outcome, late.earlier.operator) == (ApplyOutcome.OVERTAKEN, "lin")


def test_a_lost_reply_is_resolved_by_reading_back():
    store = FakeStore()
    store.lost_replies = [RULES_KEY, RECORD_KEY, RECORD_KEY]
    report = apply(store, ask(rule("a"), "mei"))
    assert (report.outcome, report.is_recorded) == (ApplyOutcome.ACCEPTED, True)
    assert store.updates.count(RULES_KEY) == 1
    assert [entry.operator for entry in store.page.entries] == ["mei"]
    store.lost_requests = [RULES_KEY, RECORD_KEY]
    report = apply(store, ask(rule("b"), "lin"))
    assert report.outcome is ApplyOutcome.ACCEPTED
    assert store.objects[RULES_KEY] == (report.version, rule("b"))
    assert [entry.operator for entry in store.page.entries] == ["mei", "lin"]


def test_a_version_replaced_before_its_reply_was_missed_counts_as_accepted():
    store = FakeStore()
    apply(store, ask(rule("a"), "mei"))

    def lose_reply_and_replace() -> None:
        store.lost_replies = [RULES_KEY]
        bo = ask(rule("c"), "bo")
        store.before[ReadObject, RULES_KEY] = lambda: apply(store, bo)

    store.before[UpdateObject, RULES_KEY] = lose_reply_and_replace
    report = apply(store, ask(rule("b"), "lin"))
    assert report.outcome is ApplyOutcome.ACCEPTED
    assert report.earlier.operator == "bo"
    assert [entry.operator for entry in store.page.entries] == ["mei", "lin", "bo"]


def test_a_lost_reply_before_a_direct_edit_is_reported_as_unknown():
    store = FakeStore()
    apply(store, ask(rule("a"), "mei"))
    store.before[UpdateObject, RULES_KEY] = lambda: store.put(RULES_KEY, rule("c"))
    store.lost_requests = [RULES_KEY]
    report = apply(store, ask(rule("b"), "lin"))
    assert report.outcome is ApplyOutcome.UNKNOWN
    entry = store.page.newest
    assert entry.attribution is Attribution.EDITED
    assert [proposal.operator for proposal in entry.overtaken] == ["lin"]


def test_a_store_that_is_down_leaves_the_rules_or_the_record_for_later():
    store = FakeStore()
    store.down = {RECORD_KEY}
    report = apply(store, ask(rule("a"), "mei"))
    assert (report.outcome, report.reason) == (ApplyOutcome.UNAVAILABLE, "down")
    assert RULES_KEY not in store.objects
    store.down = {RULES_KEY}
    report = apply(store, ask(rule("a"), "mei"))
    assert report.outcome is ApplyOutcome.UNAVAILABLE


def test_a_relay_completes_the_record_of_a_tool_that_was_stopped():
    store = FakeStore()
    stopped = build_apply(Random(1))
    inputs: list = [ask(rule("a"), "mei")]
    while RULES_KEY not in store.objects:
        answers = [store.answer(effect) for effect in stopped.tick(Micros(0), inputs)]
        inputs = [answer for answer in answers if answer is not None]
    assert store.page.entries == ()
    (noted,) = relay(store)[1]()
    entry = store.page.newest
    assert (entry.operator, entry.recorded_by) == ("mei", "r1")
    assert noted.version == entry.version
    assert entry.changes.added == 1
    assert relay(store)[1]() == []


@pytest.mark.parametrize(
    ("text", "attribution", "is_known"),
    [
        (rule("b"), Attribution.EDITED, True),
        ("not a rule \x1b\udcff", Attribution.REFUSED, False),
    ],
)
def test_a_relay_records_a_text_edited_in_the_store(text, attribution, is_known):
    store = FakeStore()
    apply(store, ask(rule("a"), "mei"))
    world, become_link_relay = relay(store)
    become_link_relay()
    store.put(RULES_KEY, text)
    drive(world, store, seen_now(store), now_us=60_000_000)
    entry = store.page.newest
    assert (entry.attribution, entry.operator) == (attribution, "")
    assert entry.changes.is_known is is_known
    assert entry.at_us >= START_US + 60_000_000
    assert [c.kind.value for c in entry.changes.changes] == (
        ["added", "removed"] if is_known else []
    )


def test_two_relays_write_one_entry_and_an_apply_records_what_it_replaces():
    store = FakeStore()
    worlds = [relay(store) for _ in range(2)]
    store.put(RULES_KEY, rule("a"))
    pending = [world for world, _ in worlds]
    for _, become_link_relay in worlds:
        become_link_relay()
    assert len(store.page.entries) == 1
    store.put(RULES_KEY, rule("b"))
    apply(store, ask(rule("c"), "mei"))
    for world in pending:
        drive(world, store, seen_now(store))
    assert [e.attribution for e in store.page.entries] == [
        Attribution.EDITED,
        Attribution.EDITED,
        Attribution.APPLIED,
    ]


def test_a_node_that_is_alone_completes_the_record():
    store = FakeStore()
    version = store.put(RULES_KEY, rule("a"))
    place = Place(DataCentreId("n1"), RegionId("north"))
    me = SelfRow(NodeId("r1"), Incarnation(START_US), place, Address("127.0.0.1:1"))
    own = BackendServerRow(
        me.node_id,
        me.incarnation,
        1,
        None,
        place.data_centre,
        place.region,
        me.peer_address,
        0,
        BackendServerState.READY,
    )
    node = build_node_world(me, [], own, Random(3))
    drive(node.world, store, *node.first_messages(), until_us=60_000_000)
    entry = store.page.newest
    assert (entry.version, entry.attribution) == (version, Attribution.EDITED)
    assert (entry.recorded_by, entry.changes.added) == ("r1", 1)


def test_a_full_page_is_archived_once_and_nothing_is_lost():
    store = FakeStore()
    for number in range(205):
        if number % 50 == 0:
            store.lost_replies = [RECORD_KEY, page_key(1 + number // 100)]
        apply(store, ask(rule(f"p{number}"), f"op{number}"))
    pages = [store.objects[page_key(number)][1] for number in (1, 2)] + [store.page]
    assert [page.number for page in pages] == [1, 2, 3]
    assert [e.operator for page in pages for e in page.entries] == [
        f"op{number}" for number in range(205)
    ]


def test_the_log_goes_back_over_pages_and_details():
    store = FakeStore()
    many = "\n".join(rule(f"a-long-path-name-{number}") for number in range(200))
    apply(store, ask(many, "mei"))
    for number in range(120):
        apply(store, ask(rule(f"p{number}", "Bo"), f"op{number}"))

    def log(**wanted) -> LogReport:
        asked = QuestionAsked(ReadLog(LogFilter(**wanted)))
        (answered,) = drive(build_question(Random(1)), store, asked)
        return answered.report

    newest = log(limit=110)
    assert [e.operator for e in newest.entries[::109]] == ["op119", "op10"]
    assert (newest.is_whole, newest.failure) == (False, "")
    found = log(rule="name-199", owner="Ana", limit=9)
    assert [(e.operator, len(e.changes.changes)) for e in found.entries] == [
        ("op0", 1),
        ("mei", 1),
    ]
    assert found.is_whole
    store.down = {page_key(1)}
    assert log(limit=110).failure == "down"


def test_a_store_that_shows_an_old_copy_is_not_written_to():
    store = FakeStore()
    apply(store, ask(rule("a"), "mei"))
    old = dict(store.objects)
    apply(store, ask(rule("b"), "lin"))
    current, answer = store.answer, store.objects

    def show_old(effect: object) -> object:
        if isinstance(effect, ReadObject):
            return ObjectSeen(effect.key, *old[effect.key], effect.request_id)
        return current(effect)

    old[ACCEPTED_KEY] = (0, None)
    store.answer = show_old
    report = apply(store, ask(rule("c"), "bo"))
    assert report.outcome is ApplyOutcome.UNAVAILABLE
    assert "old copy" in report.reason
    assert answer[RULES_KEY][1] == rule("b")


def test_of_two_operators_with_the_same_text_the_winner_claims_the_version():
    draft = PageDraft(RecordPage())
    for name in ("mei", "lin"):
        asked = ask(rule("a"), name)
        sized = changes_between(RulesText(RuleVersion(0), ""), asked.text)
        proposal = Proposal(
            asked.proposal_id,
            asked.operator,
            asked.message,
            RuleVersion(0),
            digest_of(asked.text),
            asked.asked_at_us,
            sized.changes,
        )
        ProposeVersion(proposal, sized, None).apply(draft)
    seen = SeenVersion(RuleVersion(7), rule("a"), Micros(9), "lin")
    RecordVersion(seen, claimed=proposal).apply(draft)
    entry = draft.page.newest
    assert entry.operator == "lin"
    assert [item.operator for item in entry.overtaken] == ["mei"]


def test_changes_too_many_for_an_entry_stand_in_their_own_objects():
    store = FakeStore()
    text = "\n".join(rule(f"a-long-path-name-{number}") for number in range(2_000))
    store.lost_replies = [RECORD_KEY]
    apply(store, ask(text, "mei"))
    changes = store.page.newest.changes
    assert (changes.added, changes.changes) == (2_000, ())
    details = [store.objects[detail_key(name)][1] for name in changes.details]
    assert sum(len(detail.changes) for detail in details) == 2_000
    assert len(details) > 1
