"""The arithmetic of a bucket, which bounds the tokens that a lender grants."""

import pytest

from papayapost.ids import AccountName, Micros, Owner
from papayapost.quota.tables import (
    MAX_RETURN_AGE_US,
    PARTITIONS,
    BucketRow,
    partition_of_account,
)
from papayapost.rules import Account

SECOND_US = 1_000_000
NAME = AccountName("shapers")


def bucket(rate_per_s=100, burst=40, tokens=0.0, filled_us=0):
    """Return the bucket of one of two regions."""
    return BucketRow(
        NAME, PARTITIONS[0], rate_per_s, burst, 0.5, tokens, Micros(filled_us)
    )


def account(rate_per_s, burst):
    return Account(1, NAME, None, rate_per_s, burst, Owner("Rosa"), "boards")


def test_a_bucket_fills_at_its_share_up_to_its_share_of_the_burst():
    row = bucket()
    row.refill(Micros(SECOND_US // 10))
    assert row.tokens == pytest.approx(5)
    row.refill(Micros(10 * SECOND_US))
    assert row.tokens == pytest.approx(20)


def test_a_bucket_gets_nothing_before_the_former_lender_is_out_of_date():
    row = bucket(filled_us=SECOND_US)
    row.refill(Micros(SECOND_US // 2))
    assert row.tokens == 0
    row.refill(Micros(SECOND_US + SECOND_US // 10))
    assert row.tokens == pytest.approx(5)


def test_a_clock_that_stands_still_adds_no_tokens():
    row = bucket(tokens=3)
    for _ in range(5):
        row.refill(Micros(0))
    assert row.tokens == 3


@pytest.mark.parametrize(("rate_per_s", "burst"), [(0.5, 0), (1, 0), (300, 0)])
def test_an_account_without_a_burst_can_have_a_token_in_advance(rate_per_s, burst):
    assert bucket(rate_per_s, burst).cap >= 1


def test_a_lower_quota_takes_tokens_away_at_once():
    row = bucket(tokens=20)
    row.set_quota(account(10, 4), Micros(0))
    assert row.tokens == row.cap == 6
    row.refill(Micros(SECOND_US // 10))
    assert row.tokens == 6


def test_a_higher_quota_counts_from_now_on():
    row = bucket(rate_per_s=10, burst=4)
    row.set_quota(account(100, 40), Micros(SECOND_US // 10))
    assert row.tokens == pytest.approx(0.5)
    row.refill(Micros(2 * SECOND_US // 10))
    assert row.tokens == pytest.approx(5.5)


def test_a_token_that_is_returned_can_be_granted_again():
    row = bucket(tokens=1)
    row.spend(1, Micros(0))
    row.take_back(Micros(0))
    assert row.tokens == 1


def test_tokens_that_go_round_do_not_add_up_beside_the_bucket():
    """Each is returned just in time while the bucket goes on to fill."""
    row = bucket()
    out = []
    for step in range(200):
        now_us = Micros(step * SECOND_US // 20)
        row.refill(now_us)
        back = [at for at in out if now_us - at > MAX_RETURN_AGE_US - 60_000]
        out = [at for at in out if at not in back]
        for granted_us in back:
            row.take_back(granted_us)
        while row.tokens >= 1:
            row.spend(1, now_us)
            out.append(now_us)
    most = row.cap + row.own_rate_per_s * 0.55
    assert len(out) <= most + 1


def test_granting_without_returns_is_never_slowed():
    row = bucket(burst=0)
    granted = 0
    for step in range(1_000):
        now_us = Micros(step * SECOND_US // 100)
        row.refill(now_us)
        while row.tokens >= 1:
            row.spend(1, now_us)
            granted += 1
    assert granted >= row.own_rate_per_s * 10 - 1


def test_accounts_are_divided_evenly_and_always_in_the_same_way():
    names = [AccountName(f"tenant-{i}") for i in range(200)]
    first = [partition_of_account(name) for name in names]
    assert first == [partition_of_account(name) for name in names]
    assert 70 <= first.count(PARTITIONS[0]) <= 130
