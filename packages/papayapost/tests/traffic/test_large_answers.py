"""Placement of calls whose answers are large, by ticks without a network."""

import pytest

from papayapost.ids import Micros, NodeId
from papayapost.traffic import (
    AnswerBegun,
    AnswerBlocked,
    AnswerEnded,
    AnswerUnblocked,
    AttemptRefused,
    BackendCallBegun,
    BackendCallEnded,
    RefusalCode,
    bulk_bytes_per_us,
)
from papayapost_testing.traffic_worlds import (
    NORTH_1,
    NORTH_2,
    SOUTH_1,
    backend_row,
    traffic_world,
)

from .owners import RULES, Owner, refusals, sent_messages, started
from .test_balancing import Entry, only

LINK_MBPS = 10.0
LARGE_BYTES = 90_000
SENDING_US = LARGE_BYTES / bulk_bytes_per_us(LINK_MBPS)
TARGET_US = Micros(1_000_000)
LONG_US = Micros(10_000_000)
STARTED = "started"
DOWNLOAD = {"rule_target_us": TARGET_US, "target_us": TARGET_US}
SMALL = {"rule_target_us": Micros(300_000), "target_us": Micros(300_000)}
DOWNLOAD_RULES = """\
route GET /get/* -> vault idempotent=yes link=last target_ms=1000 # Mei: archive
route GET /page/* -> vault idempotent=yes link=yes target_ms=300 # Mei: archive
"""


class SlowLinkOwner(Owner):
    """An owner node whose VM has a link of a known rate."""

    def __init__(self, slots=3):
        own = backend_row("owner", "gusts", slots=slots)
        own.link_mbps = LINK_MBPS
        super().__init__(node=traffic_world(own, [], RULES))

    def run(self, size_bytes, **fields):
        """Run an attempt whose answer of a size is left to send."""
        offer = self.offer(**{**fields, "target_us": None, "budget_us": LONG_US})
        assert started(self.tick(offer)) == [offer.attempt_id]
        attempt_id = offer.attempt_id
        begun = BackendCallBegun(attempt_id, 200)
        ended = BackendCallEnded(attempt_id, True, True, False, size_bytes)
        messages = [begun, ended]
        if size_bytes == LARGE_BYTES:
            messages.append(AnswerBlocked(attempt_id))
        self.tick(*messages, after_us=1_000)
        return attempt_id

    def outcome(self, **fields):
        offer = self.offer(**fields)
        effects = self.tick(offer)
        is_started = started(effects) == [offer.attempt_id]
        return STARTED if is_started else refusals(effects)[offer.attempt_id]


def owner_with_backlog(answers):
    owner = SlowLinkOwner()
    owner.run(500, **SMALL)
    return owner, [owner.run(LARGE_BYTES, **DOWNLOAD) for _ in range(answers)]


def test_a_probe_is_refused_where_large_answers_fill_the_link():
    owner, _ = owner_with_backlog(4)
    probe = {"may_queue": False, **DOWNLOAD}
    assert owner.outcome(**probe) is RefusalCode.NO_FREE_SLOT
    owner.tick(after_us=int(4 * SENDING_US))
    assert owner.outcome(**probe) is STARTED


def test_a_refusal_for_the_link_tells_when_the_link_is_free():
    owner, _ = owner_with_backlog(6)
    offer = owner.offer(may_queue=False, **DOWNLOAD)
    (refused,) = sent_messages(owner.tick(offer))
    assert refused.link_wait_ms * 1000 == pytest.approx(6 * SENDING_US, rel=0.05)
    assert refused.retry_after_ms * 1000 == pytest.approx(6 * SENDING_US, rel=0.3)


def test_small_answers_do_not_wait_for_large_ones():
    owner, _ = owner_with_backlog(8)
    assert owner.outcome(may_queue=False, **SMALL) is STARTED


def test_an_answer_that_would_be_late_is_refused_before_it_is_run():
    owner, _ = owner_with_backlog(8)
    assert owner.outcome(**DOWNLOAD) is STARTED
    owner, _ = owner_with_backlog(11)
    assert owner.outcome(**DOWNLOAD) is RefusalCode.DEADLINE


def test_running_attempts_count_with_the_answers_that_they_will_have():
    owner, _ = owner_with_backlog(1)
    probe = {"may_queue": False, **DOWNLOAD}
    outcomes = [owner.outcome(**probe) for _ in range(3)]
    assert RefusalCode.NO_FREE_SLOT in outcomes
    assert owner.tables.free_slots


def test_answers_to_the_own_node_do_not_use_the_link():
    owner, _ = owner_with_backlog(11)
    local = owner.offer(sender=NodeId("owner"), may_queue=False, **DOWNLOAD)
    assert started(owner.tick(local)) == [local.attempt_id]


def test_the_estimate_ends_with_the_last_answer_that_waits():
    owner, sent = owner_with_backlog(6)
    owner.tick(*map(AnswerUnblocked, sent))
    assert owner.outcome(may_queue=False, **DOWNLOAD) is STARTED


class DownloadEntry(Entry):
    """An entry node that knows that its downloads are large."""

    def __init__(self, rows):
        for row in rows:
            row.link_mbps = row.link_mbps or LINK_MBPS
        super().__init__(rows, DOWNLOAD_RULES)
        self.answer_large(self.download())

    def download(self):
        return only(self.call("/get/a"))

    def answer_large(self, offer, link_wait_ms=None, after_us=100_000):
        sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
        begun = AnswerBegun(sender, attempt_id, 200, 3, link_wait_ms)
        ended = AnswerEnded(sender, attempt_id, True, LARGE_BYTES)
        return self.tick(begun, ended, after_us=after_us)

    def refuse(self, offer, wait_ms=400, is_for_link=True):
        sender, attempt_id = offer.offer.sender, offer.offer.attempt_id
        link_wait_ms = wait_ms if is_for_link else None
        code = RefusalCode.NO_FREE_SLOT
        return self.tick(
            AttemptRefused(sender, attempt_id, code, wait_ms, 3, link_wait_ms)
        )


def vault_row(name, place=NORTH_1):
    return backend_row(name, "vault", place, slots=3)


def test_downloads_go_where_the_link_has_room():
    entry = DownloadEntry([vault_row("a"), vault_row("b")])
    first = entry.download()
    entry.answer_large(first, link_wait_ms=800)
    others = []
    for _ in range(5):
        others.append(entry.download())
        entry.answer_large(others[-1], after_us=10_000)
    assert first.address not in {offer.address for offer in others}


def test_a_faster_link_gets_more_downloads():
    slow, fast = vault_row("slow"), vault_row("fast")
    slow.link_mbps, fast.link_mbps = 5.0, 20.0
    entry = DownloadEntry([slow, fast])
    addresses = [entry.download().address for _ in range(10)]
    assert addresses.count("fast:1") > 2 * addresses.count("slow:1") > 0


def test_downloads_stay_in_their_data_centre_while_they_are_in_time_there():
    entry = DownloadEntry([vault_row("near"), vault_row("region", NORTH_2)])
    entry.answer_large(entry.download(), link_wait_ms=500)
    assert {entry.download().address for _ in range(3)} == {"near:1"}


def test_downloads_leave_a_data_centre_that_would_be_too_late():
    entry = DownloadEntry([vault_row("near"), vault_row("region", NORTH_2)])
    entry.answer_large(entry.download(), link_wait_ms=1_200)
    assert entry.download().address == "region:1"


def test_a_full_link_does_not_keep_small_answers_away():
    entry = DownloadEntry([vault_row("only")])
    entry.refuse(entry.download(), wait_ms=5_000)
    offer = only(entry.call("/page/a"))
    assert offer.address == "only:1"
    assert not offer.offer.may_queue


def test_the_link_between_regions_is_used_once_near_links_are_full():
    entry = DownloadEntry([vault_row("near"), vault_row("far", SOUTH_1)])
    offer = entry.download()
    addresses = [offer.address]
    for _ in range(2):
        offer = only(entry.refuse(offer))
        addresses.append(offer.address)
    assert addresses == ["near:1", "near:1", "far:1"]


def test_the_link_between_regions_stays_a_last_resort_for_want_of_slots():
    entry = DownloadEntry([vault_row("near"), vault_row("far", SOUTH_1)])
    offer = entry.download()
    for _ in range(2):
        offer = only(entry.refuse(offer, 50, is_for_link=False))
        assert offer.address == "near:1"
