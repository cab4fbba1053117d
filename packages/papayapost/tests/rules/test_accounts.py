"""Lines of client accounts, keys and access in a rules text."""

import pytest

from papayapost.errors import RulesRefused
from papayapost.rules import RuleFault, compile_rules, diff_rules, explain
from papayapost.states import Rank

DIGEST = "0123456789abcdef" * 2
ROUTE = "route GET /gusts/* -> gusts # Mei: wind desk"
ACCOUNT = "account shapers rank=high rate_per_s=2.5 burst=10 # Rosa: boards"
KEY = f"key {DIGEST} -> shapers # Rosa: boards"


def faults(*lines):
    with pytest.raises(RulesRefused) as refused:
        compile_rules("\n".join([ROUTE, *lines]))
    return [finding.code for finding in refused.value.findings]


def test_an_account_and_its_key_compile():
    rules = compile_rules("\n".join([ROUTE, ACCOUNT, KEY]))
    account = rules.access.account_of(DIGEST)
    assert (account.name, account.rank, account.owner) == ("shapers", Rank.HIGH, "Rosa")
    assert (account.rate_per_s, account.burst) == (2.5, 10)
    assert rules.access.requires_keys


def test_a_text_without_accounts_requires_no_keys():
    assert not compile_rules(ROUTE).access.requires_keys
    text = f"{ROUTE}\naccess keys=required # Rosa: boards"
    assert compile_rules(text).access.requires_keys


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        (["account # Rosa: boards"], [RuleFault.INCOMPLETE_ACCOUNT]),
        (["account a rate_per_s=-1 # Rosa: x"], [RuleFault.BAD_VALUE]),
        (["account a rate_per_s=99999999 # Rosa: x"], [RuleFault.BAD_VALUE]),
        (["account a rate_per_s=nan # Rosa: x"], [RuleFault.BAD_VALUE]),
        ([ACCOUNT, ACCOUNT], [RuleFault.DUPLICATE_ACCOUNT]),
        ([ACCOUNT, KEY, KEY], [RuleFault.DUPLICATE_KEY]),
        ([KEY], [RuleFault.UNKNOWN_ACCOUNT]),
        ([ACCOUNT, "key -> shapers # Rosa: x"], [RuleFault.INCOMPLETE_KEY]),
        ([ACCOUNT, "key secret -> shapers # Rosa: x"], [RuleFault.BAD_KEY_DIGEST]),
        (["access maybe # Rosa: x"], [RuleFault.BAD_ACCESS]),
        (["account a"], [RuleFault.NO_OWNER]),
    ],
)
def test_a_faulty_line_is_found(lines, expected):
    assert faults(*lines) == [fault.value for fault in expected]


def test_a_finding_never_repeats_a_secret_key():
    """A key written in place of its digest must not reach logs or status."""
    with pytest.raises(RulesRefused) as refused:
        compile_rules(f"{ROUTE}\n{ACCOUNT}\nkey s3cret -> shapers # Rosa: boards")
    assert "s3cret" not in "".join(map(str, refused.value.findings))


def test_rows_are_reused_when_lines_move():
    first = compile_rules("\n".join([ROUTE, ACCOUNT, KEY]))
    text = "\n".join([ROUTE, "# moved down", ACCOUNT, KEY])
    second = compile_rules(text, first)
    assert second.accounts[0].line == 3
    assert second == compile_rules(text)


def test_a_removed_key_is_a_change_of_its_own():
    before, after = "\n".join([ROUTE, ACCOUNT, KEY]), "\n".join([ROUTE, ACCOUNT])
    (change,) = diff_rules(before, after)
    assert change.rule == f"key {DIGEST}"


@pytest.mark.parametrize("is_anonymous", [True, False])
def test_an_explanation_says_whether_a_call_needs_a_key(is_anonymous):
    option = "anonymous=yes" if is_anonymous else "anonymous=no"
    route = f"route GET /gusts/* -> gusts {option} # Mei: wind desk"
    rules = compile_rules("\n".join([route, ACCOUNT]))
    found = explain(rules, "GET", "wind.example", "/gusts/1")
    assert found.needs_key is not is_anonymous
