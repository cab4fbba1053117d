"""Deltas between rules texts, by lines."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import SequenceMatcher

from papayapost.errors import DeltaRefused

__all__ = ["MAX_RULES_BYTES", "LineEdit", "apply_edits", "diff_lines", "edits_size"]

MAX_RULES_BYTES = 1 << 20
"""Largest rules text in bytes of UTF-8: a value of the object store."""

_MAX_COMPARISONS = 250_000
_EDIT_OVERHEAD_BYTES = 8


@dataclass(frozen=True, slots=True)
class LineEdit:
    """Replacement of consecutive lines.

    Parameters
    ----------
    start
        Number of the first line that is replaced, from 0.
    removed
        How many lines are replaced; 0 inserts before `start`.
    lines
        What stands there afterwards, without line ends.
    """

    start: int
    removed: int
    lines: tuple[str, ...]


def diff_lines(before: str, after: str) -> tuple[LineEdit, ...]:
    r"""Return edits that turn one text into another when applied in order.

    The common head and tail are left out first; a middle too large to compare
    line by line is replaced whole.

    Examples
    --------
    >>> diff_lines("a\nb\nc", "a\nx\nc")
    (LineEdit(start=1, removed=1, lines=('x',)),)
    """
    old, new = before.split("\n"), after.split("\n")
    shorter = min(len(old), len(new))
    head = 0
    while head < shorter and old[head] == new[head]:
        head += 1
    tail = 0
    while tail < shorter - head and old[-1 - tail] == new[-1 - tail]:
        tail += 1
    old, new = old[head : len(old) - tail], new[head : len(new) - tail]
    if not old and not new:
        return ()
    if len(old) * len(new) > _MAX_COMPARISONS:
        return (LineEdit(head, len(old), tuple(new)),)
    return _diff_middle(old, new, head)


def _diff_middle(old: list[str], new: list[str], head: int) -> tuple[LineEdit, ...]:
    matcher = SequenceMatcher(None, old, new, autojunk=False)
    # Edits run from the last line to the first, so that each one finds its
    # line numbers unmoved by those before it.
    return tuple(
        LineEdit(head + i1, i2 - i1, tuple(new[j1:j2]))
        for tag, i1, i2, j1, j2 in reversed(matcher.get_opcodes())
        if tag != "equal"
    )


def apply_edits(text: str, edits: Iterable[LineEdit]) -> str:
    """Return the text after all edits, in order.

    Raises
    ------
    DeltaRefused
        If an edit names lines that the text does not have.
    """
    lines = text.split("\n")
    for edit in edits:
        end = edit.start + edit.removed
        if edit.start < 0 or edit.removed < 0 or end > len(lines):
            raise DeltaRefused(
                f"an edit names lines {edit.start} to {end} of {len(lines)}; "
                "ask for the text again"
            )
        lines[edit.start : end] = edit.lines
    return "\n".join(lines)


def edits_size(edits: Iterable[LineEdit]) -> int:
    """Return about how many bytes the edits take in a message."""
    return sum(
        _EDIT_OVERHEAD_BYTES + sum(len(line) + 1 for line in edit.lines)
        for edit in edits
    )
