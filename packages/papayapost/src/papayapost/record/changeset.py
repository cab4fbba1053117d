"""Computes the change set between two rules texts, bounded in size.

A change set of up to about 4,000 bytes is stored in its record entry. The
changes of a larger one are stored in separate detail objects, and the entry
holds their names.
"""

import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

import xxhash

from papayapost.define import define
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.record.model import ChangeDetail, ChangeSet, DetailName
from papayapost.rules import ChangeKind, RuleChange, RuleKey, diff_rules

__all__ = [
    "UNKNOWN_CHANGES",
    "RulesText",
    "StoredChanges",
    "changes_between",
    "printable_changes",
    "stored_size_bytes",
]

UNKNOWN_CHANGES = ChangeSet(NO_VERSION, is_known=False)

_MAX_INLINE_BYTES = 4_000
_MAX_DETAIL_BYTES = 200_000
_MAX_LINE_CHARACTERS = 4_000
# Bytes that the JSON encoding of a change adds to its texts: field names,
# quotation marks and the kind of change.
_CHANGE_OVERHEAD_BYTES = 150
_UNPRINTABLE = re.compile("[\x00-\x1f\x7f-\x9f\u2028-\u202e\u2066-\u2069\ud800-\udfff]")


@define(frozen=True)
class RulesText:
    """A rules text and the version that the store gave it."""

    version: RuleVersion
    text: str


@define(frozen=True)
class StoredChanges:
    """A change set and the detail objects that it refers to.

    Parameters
    ----------
    changes
        Change set, as a record entry or a proposal holds it.
    details
        Detail objects by name, which must be stored before the change set;
        empty if the change set holds its changes itself.
    """

    changes: ChangeSet
    details: dict[DetailName, ChangeDetail]


def changes_between(basis: RulesText | None, text: str) -> StoredChanges:
    """Return the change set that leads from a basis to a text.

    Parameters
    ----------
    basis
        Valid text that `text` is compared with; None if it is not available,
        which gives a change set marked as unknown.
    text
        New rules text.
    """
    if basis is None:
        return StoredChanges(UNKNOWN_CHANGES, {})
    changes = printable_changes(basis.text, text)
    counts = Counter(change.kind for change in changes)
    summary = ChangeSet(
        basis.version,
        is_known=True,
        added=counts[ChangeKind.ADDED],
        changed=counts[ChangeKind.CHANGED],
        moved=counts[ChangeKind.MOVED],
        removed=counts[ChangeKind.REMOVED],
    )
    if stored_size_bytes(changes) <= _MAX_INLINE_BYTES:
        return StoredChanges(replace(summary, changes=changes), {})
    details = {
        _detail_name(group): ChangeDetail(group) for group in _split_changes(changes)
    }
    return StoredChanges(replace(summary, details=tuple(details)), details)


def printable_changes(before: str, after: str) -> tuple[RuleChange, ...]:
    """Return the rules that differ, with their texts safe to print.

    A text that was edited directly in the store may contain any characters.
    Control characters, line separators, bidirectional formatting characters
    and surrogates are replaced, and each line is cut to 4,000 characters, so
    that the result can be stored in the record and printed on a terminal.
    """
    return tuple(_printable_change(change) for change in diff_rules(before, after))


def stored_size_bytes(changes: tuple[RuleChange, ...]) -> int:
    """Return the approximate size of the changes in the store, in bytes."""
    return sum(_change_size_bytes(change) for change in changes)


def _change_size_bytes(change: RuleChange) -> int:
    texts = (
        change.rule,
        change.before,
        change.after,
        change.owner_before,
        change.owner_after,
    )
    return _CHANGE_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


def _split_changes(changes: tuple[RuleChange, ...]) -> Iterator[tuple[RuleChange, ...]]:
    """Yield the changes in groups that each fit in one detail object."""
    group: list[RuleChange] = []
    size_bytes = 0
    for change in changes:
        change_bytes = _change_size_bytes(change)
        if group and size_bytes + change_bytes > _MAX_DETAIL_BYTES:
            yield tuple(group)
            group, size_bytes = [], 0
        group.append(change)
        size_bytes += change_bytes
    yield tuple(group)


def _detail_name(changes: tuple[RuleChange, ...]) -> DetailName:
    """Return a name for a detail object, derived from its changes.

    Nodes that store the same changes use the same name, so a repeated write
    stores the same object again.
    """
    content = "\n".join(
        f"{change.kind.value}\t{change.before}\t{change.after}" for change in changes
    )
    return DetailName(xxhash.xxh3_128_hexdigest(content.encode()))


def _printable_change(change: RuleChange) -> RuleChange:
    before, after = (
        _printable_text(change.before),
        _printable_text(change.after),
    )
    rule = RuleKey(_printable_text(change.rule))
    if (rule, before, after) == (change.rule, change.before, change.after):
        return change
    return replace(change, rule=rule, before=before, after=after)


def _printable_text(text: str) -> str:
    return _UNPRINTABLE.sub("\N{REPLACEMENT CHARACTER}", text[:_MAX_LINE_CHARACTERS])
