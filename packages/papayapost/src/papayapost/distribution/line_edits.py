"""Line-based deltas between rules texts."""

from collections import Counter
from collections.abc import Iterable
from difflib import SequenceMatcher

from papayapost.define import define
from papayapost.errors import DeltaRefused

__all__ = ["LineEdit", "apply_edits", "diff_lines", "edits_size"]

_MAX_COMPARISONS = 250_000
_MAX_LINES_AHEAD = 200
_EDIT_OVERHEAD_BYTES = 8


@define(frozen=True)
class LineEdit:
    """Replacement of a range of consecutive lines.

    Parameters
    ----------
    start
        Index of the first replaced line, counted from 0.
    removed
        Number of replaced lines; 0 inserts `lines` before `start`.
    lines
        The new lines, without line ends.
    """

    start: int
    removed: int
    lines: tuple[str, ...]


def diff_lines(before: str, after: str) -> tuple[LineEdit, ...]:
    r"""Return the edits that turn `before` into `after`, in order.

    Common lines at the start and the end are excluded first. If the remaining
    part is too large to compare each line with each other, only lines that
    occur once in `after` and have kept their order are matched.

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
        return _diff_by_unique_lines(old, new, head)
    return _diff_middle(old, new, head)


def _diff_middle(old: list[str], new: list[str], head: int) -> tuple[LineEdit, ...]:
    matcher = SequenceMatcher(None, old, new, autojunk=False)
    # Edits are ordered from the last line to the first, so that an edit does
    # not shift the line numbers of the edits after it.
    return tuple(
        LineEdit(head + i1, i2 - i1, tuple(new[j1:j2]))
        for tag, i1, i2, j1, j2 in reversed(matcher.get_opcodes())
        if tag != "equal"
    )


def _diff_by_unique_lines(
    old: list[str], new: list[str], head: int
) -> tuple[LineEdit, ...]:
    counts = Counter(new)
    positions = {line: j for j, line in enumerate(new) if counts[line] == 1}
    edits = []
    old_start, new_start = 0, 0
    for i, line in enumerate([*old, None]):
        j = len(new) if line is None else positions.get(line, -1)
        # A line that moved far down would hide all lines that it passed.
        if j < new_start or (line is not None and j - new_start > _MAX_LINES_AHEAD):
            continue
        if i > old_start or j > new_start:
            lines = tuple(new[new_start:j])
            edits.append(LineEdit(head + old_start, i - old_start, lines))
        old_start, new_start = i + 1, j + 1
    return tuple(reversed(edits))


def apply_edits(text: str, edits: Iterable[LineEdit]) -> str:
    """Return the text with all edits applied in the given order.

    Raises
    ------
    DeltaRefused
        If an edit refers to lines that the text does not have.
    """
    lines = text.split("\n")
    for edit in edits:
        end = edit.start + edit.removed
        if edit.start < 0 or edit.removed < 0 or end > len(lines):
            raise DeltaRefused(
                f"an edit refers to lines {edit.start} to {end}, but the text has "
                f"{len(lines)} lines; request the text again"
            )
        lines[edit.start : end] = edit.lines
    return "\n".join(lines)


def edits_size(edits: Iterable[LineEdit]) -> int:
    """Return the approximate size of the edits in a message, in bytes."""
    return sum(
        _EDIT_OVERHEAD_BYTES + sum(len(line) + 1 for line in edit.lines)
        for edit in edits
    )
