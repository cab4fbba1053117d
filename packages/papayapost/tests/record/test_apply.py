from papayapost.distribution import ACCEPTED_KEY, RULES_KEY
from papayapost.record import (
    RECORD_KEY,
    Attribution,
)
from papayapost.record.apply import (
    ApplyOutcome,
)
from papayapost.storage import (
    ObjectRead,
    ReadObject,
    UpdateObject,
)

from .stores import FakeStore, apply, apply_request, rule


def test_apply_records_the_operator_and_the_changes():
    store = FakeStore()
    first = apply(store, apply_request(rule("a"), "mei"))
    second = apply(store, apply_request(rule("a", "Bo") + "\n" + rule("b"), "lin"))
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
    again = apply(store, apply_request(rule("a", "Bo") + "\n" + rule("b"), "ana"))
    assert (again.outcome, again.earlier.operator) == (ApplyOutcome.UNCHANGED, "lin")


def test_a_refused_text_and_a_preview_do_not_update_the_store():
    store = FakeStore()
    refused = apply(store, apply_request("route", "mei"))
    assert [finding.code for finding in refused.findings] == ["R003", "R001"]
    preview = apply(store, apply_request(rule("a"), "mei", is_preview=True))
    assert preview.outcome is ApplyOutcome.PREVIEWED
    assert [change.rule for change in preview.changes] == ["route GET /a"]
    assert store.updates == []


def test_an_overtaken_apply_reports_the_earlier_entry_and_the_differences():
    store = FakeStore()
    base = apply(store, apply_request(rule("a"), "mei"))

    lin = apply_request(rule("a") + "\n" + rule("b"), "lin")
    store.before[UpdateObject, RULES_KEY] = lambda: apply(store, lin)
    report = apply(store, apply_request(rule("a") + "\n" + rule("c"), "bo"))
    assert (report.outcome, report.earlier.operator) == (ApplyOutcome.OVERTAKEN, "lin")
    assert report.earlier.base_version == base.version
    assert [(c.kind.value, c.rule) for c in report.differing] == [
        ("added", "route GET /c"),
        ("removed", "route GET /b"),
    ]
    assert [entry.operator for entry in store.page.entries] == ["mei", "lin"]
    late = apply(store, apply_request(rule("d"), "bo", base=base.version))
    assert (late.outcome, late.earlier.operator) == (ApplyOutcome.OVERTAKEN, "lin")


def test_an_unanswered_update_is_resolved_by_reading_the_object_back():
    store = FakeStore()
    store.lost_replies = [RULES_KEY, RECORD_KEY, RECORD_KEY]
    report = apply(store, apply_request(rule("a"), "mei"))
    assert (report.outcome, report.is_recorded) == (ApplyOutcome.ACCEPTED, True)
    assert store.updates.count(RULES_KEY) == 1
    assert [entry.operator for entry in store.page.entries] == ["mei"]
    store.lost_requests = [RULES_KEY, RECORD_KEY]
    report = apply(store, apply_request(rule("b"), "lin"))
    assert report.outcome is ApplyOutcome.ACCEPTED
    assert store.objects[RULES_KEY] == (report.version, rule("b"))
    assert [entry.operator for entry in store.page.entries] == ["mei", "lin"]


def test_an_unanswered_update_is_accepted_although_another_version_replaced_it():
    store = FakeStore()
    apply(store, apply_request(rule("a"), "mei"))

    def lose_reply_and_apply_another_text() -> None:
        store.lost_replies = [RULES_KEY]
        bo = apply_request(rule("c"), "bo")
        store.before[ReadObject, RULES_KEY] = lambda: apply(store, bo)

    store.before[UpdateObject, RULES_KEY] = lose_reply_and_apply_another_text
    report = apply(store, apply_request(rule("b"), "lin"))
    assert report.outcome is ApplyOutcome.ACCEPTED
    assert report.earlier.operator == "bo"
    assert [entry.operator for entry in store.page.entries] == ["mei", "lin", "bo"]


def test_an_unanswered_update_with_a_direct_edit_has_an_unknown_outcome():
    store = FakeStore()
    apply(store, apply_request(rule("a"), "mei"))
    store.before[UpdateObject, RULES_KEY] = lambda: store.put(RULES_KEY, rule("c"))
    store.lost_requests = [RULES_KEY]
    report = apply(store, apply_request(rule("b"), "lin"))
    assert report.outcome is ApplyOutcome.UNKNOWN
    entry = store.page.newest_entry
    assert entry.attribution is Attribution.EDITED
    assert [proposal.operator for proposal in entry.overtaken] == ["lin"]


def test_an_apply_is_unavailable_while_the_record_or_the_rules_cannot_be_read():
    store = FakeStore()
    store.down_keys = {RECORD_KEY}
    report = apply(store, apply_request(rule("a"), "mei"))
    assert (report.outcome, report.reason) == (ApplyOutcome.UNAVAILABLE, "down")
    assert RULES_KEY not in store.objects
    store.down_keys = {RULES_KEY}
    report = apply(store, apply_request(rule("a"), "mei"))
    assert report.outcome is ApplyOutcome.UNAVAILABLE


def test_an_apply_that_reads_old_copies_does_not_update_the_rules():
    store = FakeStore()
    apply(store, apply_request(rule("a"), "mei"))
    old_objects = dict(store.objects)
    apply(store, apply_request(rule("b"), "lin"))
    answer = store.answer

    def answer_with_old_copies(effect: object) -> object:
        if isinstance(effect, ReadObject):
            return ObjectRead(effect.key, *old_objects[effect.key], effect.request_id)
        return answer(effect)

    old_objects[ACCEPTED_KEY] = (0, None)
    store.answer = answer_with_old_copies
    report = apply(store, apply_request(rule("c"), "bo"))
    assert report.outcome is ApplyOutcome.UNAVAILABLE
    assert "old copy" in report.reason
    assert store.objects[RULES_KEY][1] == rule("b")
