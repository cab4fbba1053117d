"""Compares two rules texts rule by rule."""

from bisect import bisect_left
from enum import Enum
from typing import NewType

from papayapost.define import define
from papayapost.ids import Owner
from papayapost.rules.finding_list import FindingList
from papayapost.rules.tokens import RuleLine, rule_lines

__all__ = ["ChangeKind", "RuleChange", "RuleKey", "diff_rules"]

RuleKey = NewType("RuleKey", str)
"""Identifies a rule: such as ``route METHODS TARGET`` or ``account NAME``."""

# Number of leading words that identify a rule, by its keyword.
_KEY_WORD_COUNTS = {"route": 3, "share": 2, "account": 2, "key": 2, "access": 1}


class ChangeKind(Enum):
    """How a rule differs between the two texts."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVED = "moved"


@define(frozen=True)
class RuleChange:
    """One rule that differs between two texts.

    Parameters
    ----------
    before, after
        The rule's line in the earlier and in the later text, with each run
        of blanks reduced to one space; empty where the rule is missing.
    owner_before, owner_after
        The rule's owner in the earlier and in the later text; empty where
        the rule is missing.
    """

    kind: ChangeKind
    rule: RuleKey
    before: str
    after: str
    owner_before: Owner
    owner_after: Owner


@define
class _RuleRow:
    rule: RuleKey
    text: str
    owner: Owner


def diff_rules(before: str, after: str) -> tuple[RuleChange, ...]:
    """Return the rules that differ, in the order of the later text.

    Removed rules come last, in the order of the earlier text. Neither text
    needs to compile, so that a refused edit can be compared as well.

    Examples
    --------
    >>> old = "share bulk floor=5% # Ana: downloads"
    >>> new = "share  bulk floor=9% # Mei: archives"
    >>> [change.after for change in diff_rules(old, new)]
    ['share bulk floor=9% # Mei: archives']
    >>> diff_rules(old, old.replace(" ", "  "))
    ()
    """
    old, new = _rows_of(before), _rows_of(after)
    moved = _moved_rules(old, new)
    changes = []
    for rule, row in new.items():
        earlier = old.get(rule)
        if earlier is None:
            kind = ChangeKind.ADDED
        elif earlier.text != row.text:
            kind = ChangeKind.CHANGED
        elif rule in moved:
            kind = ChangeKind.MOVED
        else:
            continue
        changes.append(_change(kind, earlier, row))
    for rule, row in old.items():
        if rule not in new:
            changes.append(_change(ChangeKind.REMOVED, row, None))
    return tuple(changes)


def _change(
    kind: ChangeKind, before: _RuleRow | None, after: _RuleRow | None
) -> RuleChange:
    row = after or before
    assert row is not None
    return RuleChange(
        kind,
        row.rule,
        before.text if before else "",
        after.text if after else "",
        before.owner if before else Owner(""),
        after.owner if after else Owner(""),
    )


def _rows_of(text: str) -> dict[RuleKey, _RuleRow]:
    """Return the rules of a text by key.

    If several rules have the same key, ``#2``, ``#3`` and so on are added to
    the keys of the later ones.
    """
    rows: dict[RuleKey, _RuleRow] = {}
    occurrences: dict[str, int] = {}
    for line in rule_lines(text, FindingList()):
        key_words = _key_words_of(line)
        occurrences[key_words] = occurrences.get(key_words, 0) + 1
        rule = RuleKey(
            key_words
            if occurrences[key_words] == 1
            else f"{key_words} #{occurrences[key_words]}"
        )
        rows[rule] = _RuleRow(rule, " ".join(line.text.split()), line.owner)
    return rows


def _key_words_of(line: RuleLine) -> str:
    count = _KEY_WORD_COUNTS.get(line.words[0].text, len(line.words))
    return " ".join(word.text for word in line.words[:count])


def _moved_rules(
    old: dict[RuleKey, _RuleRow], new: dict[RuleKey, _RuleRow]
) -> set[RuleKey]:
    """Return a smallest set of rules whose moves give the new order."""
    old_index = {rule: index for index, rule in enumerate(old)}
    common = [rule for rule in new if rule in old_index]
    unmoved = _longest_increasing_subsequence([old_index[rule] for rule in common])
    return {rule for index, rule in enumerate(common) if index not in unmoved}


def _longest_increasing_subsequence(numbers: list[int]) -> set[int]:
    """Return the indices of a longest increasing subsequence."""
    # For each length, the smallest last number of an increasing subsequence of
    # that length, and the index of that number.
    tails: list[int] = []
    tail_indices: list[int] = []
    # For each number, the index of its predecessor in its subsequence.
    predecessors: list[int | None] = []
    for index, number in enumerate(numbers):
        length = bisect_left(tails, number)
        predecessors.append(tail_indices[length - 1] if length else None)
        tails[length : length + 1] = [number]
        tail_indices[length : length + 1] = [index]
    chosen: set[int] = set()
    current = tail_indices[-1] if tail_indices else None
    while current is not None:
        chosen.add(current)
        current = predecessors[current]
    return chosen
