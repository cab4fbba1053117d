import re
from pathlib import Path

from papayapost.observe import Event
from papayapost.rules import compile_rules

DOCS = Path(__file__).parents[3] / "docs"
OPERATIONS_TEXT = (DOCS / "OPERATIONS.md").read_text()


def test_every_event_number_on_the_operations_page_exists():
    numbers = {event.value for event in Event}
    faults = OPERATIONS_TEXT.partition("## Faults")[2]
    named = {int(number) for number in re.findall(r"(?<![\d.])[1-7]\d\d(?!\d)", faults)}
    assert len(named) > 25
    assert named <= numbers


def test_every_metric_on_the_operations_page_is_on_the_metrics_page():
    listed = set(re.findall(r"^\| `(\w+)`", (DOCS / "METRICS.md").read_text(), re.M))
    named = re.findall(r"`(papayapost_\w+)", OPERATIONS_TEXT)
    assert len(named) > 10
    assert {name.removesuffix("_total") for name in named} <= listed


def test_the_example_rules_on_the_operations_page_compile():
    examples = re.findall(r"```rules\n(.*?)```", OPERATIONS_TEXT, re.S)
    assert [len(compile_rules(text).shares) for text in examples] == [0, 3]


def test_links_between_the_pages_have_existing_targets():
    for page in ("OPERATIONS.md", "EVENTS.md", "METRICS.md", "LIBRARY.md"):
        targets = re.findall(r"\]\((?!http)([^)#]+)", (DOCS / page).read_text())
        assert [name for name in targets if not (DOCS / name).exists()] == []
