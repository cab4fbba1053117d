import re
from pathlib import Path

from papayapost.observe import Event
from papayapost.timeline import RING_ONLY_EVENTS

ROOT = Path(__file__).parents[3]
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \| [^|]+ \| [^|]+ \|$", re.MULTILINE)


def test_the_event_page_lists_every_event_exactly_once_in_order():
    listed = ROW.findall((ROOT / "docs" / "EVENTS.md").read_text())
    assert listed == [
        (
            str(event.value),
            event.name.lower(),
            "ring" if event in RING_ONLY_EVENTS else "log",
        )
        for event in sorted(Event, key=lambda event: event.value)
    ]


def test_the_source_emits_every_event():
    sources = [
        path.read_text()
        for package in ("papayapost", "papayapost-node")
        for path in (ROOT / "packages" / package / "src").rglob("*.py")
    ]
    emitted = re.findall(
        r"(?:Noted\(|note\w*\(|event = |_report\(tick, |_note_once\(tick, )"
        r"\s*Event\.(\w+)",
        "\n".join(sources),
    )
    assert set(emitted) == {event.name for event in Event}
