from random import Random

from papayapost.ids import (
    Micros,
    RuleVersion,
)
from papayapost.record import (
    RECORD_KEY,
    ObservedVersion,
    PageDraft,
    Proposal,
    ProposeVersion,
    RecordPage,
    RecordVersion,
    RulesText,
    changes_between,
    detail_key,
    page_key,
)
from papayapost.record.queries import (
    LogFilter,
    LogReport,
    QueryRequested,
    ReadLog,
    build_query,
)
from papayapost.rules import rules_digest

from .stores import FakeStore, apply, apply_request, rule, run_until_idle


def test_full_pages_are_archived_with_all_entries():
    store = FakeStore()
    for number in range(65):
        if number % 15 == 0:
            store.lost_replies = [RECORD_KEY, page_key(1 + number // 30)]
        apply(store, apply_request(rule(f"p{number}"), f"op{number}"))
    pages = [store.objects[page_key(number)][1] for number in (1, 2)] + [store.page]
    assert [page.number for page in pages] == [1, 2, 3]
    assert [e.operator for page in pages for e in page.entries] == [
        f"op{number}" for number in range(65)
    ]


def test_the_log_reads_archived_pages_and_details():
    store = FakeStore()
    many = "\n".join(rule(f"a-long-path-name-{number}") for number in range(200))
    apply(store, apply_request(many, "mei"))
    for number in range(120):
        apply(store, apply_request(rule(f"p{number}", "Bo"), f"op{number}"))

    def log(**criteria) -> LogReport:
        request = QueryRequested(ReadLog(LogFilter(**criteria)))
        (answered,) = run_until_idle(build_query(Random(1)), store, request)
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
    store.down_keys = {page_key(1)}
    assert log(limit=110).failure == "down"


def test_a_known_proposal_is_recorded_among_proposals_of_the_same_text():
    draft = PageDraft(RecordPage())
    for name in ("mei", "lin"):
        request = apply_request(rule("a"), name)
        stored_changes = changes_between(RulesText(RuleVersion(0), ""), request.text)
        proposal = Proposal(
            request.proposal_id,
            request.operator,
            request.message,
            RuleVersion(0),
            rules_digest(request.text),
            request.requested_at_us,
            stored_changes.changes,
        )
        ProposeVersion(proposal, stored_changes, None).apply(draft)
    observed = ObservedVersion(RuleVersion(7), rule("a"), Micros(9), "lin")
    RecordVersion(observed, known_proposal=proposal).apply(draft)
    entry = draft.page.newest_entry
    assert entry.operator == "lin"
    assert [item.operator for item in entry.overtaken] == ["mei"]


def test_large_change_sets_are_stored_in_detail_objects():
    store = FakeStore()
    text = "\n".join(rule(f"a-long-path-name-{number}") for number in range(2_000))
    store.lost_replies = [RECORD_KEY]
    apply(store, apply_request(text, "mei"))
    changes = store.page.newest_entry.changes
    assert (changes.added, changes.changes) == (2_000, ())
    details = [store.objects[detail_key(name)][1] for name in changes.details]
    assert sum(len(detail.changes) for detail in details) == 2_000
    assert len(details) > 1
