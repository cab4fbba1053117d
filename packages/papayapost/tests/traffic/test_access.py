"""Which account a call belongs to, and when a node must not decide that.

The tests guard against a 401 for a key that newer rules hold, and against
calls that run with a key that newer rules have removed.
"""

import pytest

from papayapost.distribution import EvidenceRow
from papayapost.ids import Micros
from papayapost.rules import compile_rules
from papayapost.states import Rank
from papayapost.traffic import RefusalCode
from papayapost.traffic.entry.access import decide_access

KEY, OTHER_KEY = "0" * 32, "1" * 32
NOW_US = Micros(10_000_000)
FRESH = EvidenceRow(Micros(4_000_000), Micros(6_000_000))
OLD = EvidenceRow(Micros(4_000_000), Micros(5_999_999))
NONE_YET = EvidenceRow(Micros(4_000_000))
UNBOUNDED = EvidenceRow()
TEXT = f"""route * /keyed/* -> gusts rank=bulk # Mei: wind desk
route * /open/* -> gusts rank=bulk anonymous=yes # Mei: wind desk
account shapers rank=high # Rosa: boards
key {KEY} -> shapers # Rosa: boards
"""


def decide(path, key, evidence, text=TEXT):
    rules = compile_rules(text)
    route = rules.routes[0 if path == "keyed" else 1]
    return decide_access(rules, route, key, evidence, NOW_US)


def test_a_known_key_gives_the_account_and_its_rank():
    access = decide("keyed", KEY, FRESH)
    assert (access.account.name, access.rank) == ("shapers", Rank.HIGH)


@pytest.mark.parametrize("key", [None, OTHER_KEY])
def test_an_unknown_key_is_refused_only_by_a_node_that_is_sure(key):
    assert decide("keyed", key, FRESH) is RefusalCode.UNKNOWN_KEY
    assert decide("keyed", key, UNBOUNDED) is RefusalCode.UNKNOWN_KEY
    assert decide("keyed", key, OLD) is RefusalCode.KEYS_UNCERTAIN
    assert decide("keyed", key, NONE_YET) is RefusalCode.KEYS_UNCERTAIN


@pytest.mark.parametrize("path", ["keyed", "open"])
def test_a_known_key_counts_only_with_recent_evidence(path):
    assert decide(path, KEY, OLD) is RefusalCode.KEYS_UNCERTAIN
    assert decide(path, KEY, NONE_YET) is RefusalCode.KEYS_UNCERTAIN
    assert decide(path, KEY, UNBOUNDED).account.name == "shapers"


@pytest.mark.parametrize("key", [None, OTHER_KEY])
@pytest.mark.parametrize("evidence", [FRESH, OLD, NONE_YET])
def test_an_anonymous_route_is_served_without_a_known_key(key, evidence):
    access = decide("open", key, evidence)
    assert (access.account, access.rank) == (None, Rank.BULK)


def test_rules_without_accounts_need_no_evidence():
    text = "route * /keyed/* -> gusts # Mei: wind desk"
    access = decide("keyed", KEY, NONE_YET, text)
    assert access.account is None
