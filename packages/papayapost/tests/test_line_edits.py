"""Edits between rules texts."""

from random import Random

import pytest

from papayapost.distribution import apply_edits, diff_lines
from papayapost.distribution.line_edits import edits_size

ROUTES = 1_640


def changed_text(lines, version, random):
    """Return a text with a new first line and a few other changes."""
    changed = [f"# version {version}", *lines[1:]]
    changed[400] += " timeout_ms=900"
    del changed[700]
    changed.insert(1_200, "route GET /new/* -> gusts # Mei: desk")
    changed[random.randrange(1_300, 1_600)] += " retries=1"
    return changed


def test_the_edits_of_a_large_text_have_only_the_changed_lines():
    lines = [f"route GET /p{number}/* -> gusts # Mei: desk" for number in range(ROUTES)]
    changed = changed_text(lines, 1, Random(1))
    before, after = "\n".join(lines), "\n".join(changed)
    edits = diff_lines(before, after)
    assert apply_edits(before, edits) == after
    assert edits_size(edits) < 500


@pytest.mark.parametrize("seed", range(20))
def test_edits_of_random_texts_give_the_later_text(seed):
    random = Random(seed)
    lines = [str(random.randrange(2_000)) for _ in range(1_000)]
    changed = list(lines)
    for _ in range(random.randrange(1, 40)):
        start = random.randrange(len(changed) + 1)
        moved = changed[start : start + random.randrange(300)]
        del changed[start : start + len(moved)]
        place = random.randrange(len(changed) + 1)
        changed[place:place] = random.choice([moved, ["x"], []])
    before, after = "\n".join(lines), "\n".join(changed)
    assert apply_edits(before, diff_lines(before, after)) == after
