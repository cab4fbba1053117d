"""Draws a time line as an HTML page with one horizontal lane for each node."""

from collections.abc import Sequence
from html import escape
from xml.etree import ElementTree

from papayapost.define import define
from papayapost.ids import AttemptId, NodeId
from papayapost.observe import Event
from papayapost.timeline import EventRow, TimelineGap
from papayapost_operator.timeline_text import row_line, subject_of

__all__ = ["draw_page"]

_WIDTH_PX = 1240
_LABEL_PX = 190
_LANE_PX = 64
_TOP_PX = 44
_MARGIN_PX = 26
_DOT_PX = 6
_AXIS_TICKS = 6
_MIN_DISTANCE_PX = 13
# Events close to each other are drawn at different heights of the lane.
_LEVELS = 3
_LEVEL_PX = 15

# Colour and legend text of an event, by the hundreds of its event number.
_COLOURS = {
    1: ("#546e7a", "node"),
    2: ("#2e7d32", "rules"),
    3: ("#8d6e63", "store"),
    4: ("#ad1457", "messages between nodes"),
    5: ("#1565c0", "calls"),
    6: ("#ef6c00", "membership"),
    7: ("#455a64", "operators' tool"),
}
_FAILURE_COLOUR = "#c62828"
_FAILURE_EVENTS = frozenset(
    event
    for event in Event
    if event.name.endswith(("REFUSED", "FAILED", "REJECTED", "LOST", "UNKNOWN", "GONE"))
)

_STYLE = """
body { font: 14px/1.5 system-ui, sans-serif; margin: 24px; color: #20262b }
h1 { font-size: 20px; margin: 0 0 4px }
p.span { color: #667; margin: 0 0 12px }
ul.gaps { color: #c62828; padding-left: 18px }
ul.legend { list-style: none; padding: 0; display: flex; gap: 18px }
ul.legend span { display: inline-block; width: 10px; height: 10px;
  border-radius: 5px; margin-right: 6px }
table { border-collapse: collapse; font: 12px/1.6 ui-monospace, monospace }
td, th { padding: 1px 12px 1px 0; text-align: left; vertical-align: top }
tr.failure td { color: #c62828 }
text { font: 12px system-ui, sans-serif; fill: #20262b }
text.axis { fill: #778 }
text.centre { fill: #889; font-size: 10px }
"""


@define
class _Point:
    x: float
    y: float


class _Drawing:
    """An SVG drawing of events on one lane for each node.

    Events that would cover each other are drawn above and below the lane.
    """

    def __init__(self, rows: Sequence[EventRow]):
        self._rows = rows
        self._lanes = _lanes_of(rows)
        self._first_us = rows[0].stamp.wall_us
        self._span_us = max(1, rows[-1].stamp.wall_us - self._first_us)
        # For each node, the x position of the last event on each level.
        self._last_x: dict[NodeId, list[float]] = {}
        height = _TOP_PX + len(self._lanes) * _LANE_PX + _MARGIN_PX
        self._svg = ElementTree.Element(
            "svg",
            xmlns="http://www.w3.org/2000/svg",
            viewBox=f"0 0 {_WIDTH_PX} {height}",
            width=str(_WIDTH_PX),
            height=str(height),
            role="img",
        )

    def draw(self) -> str:
        """Return the SVG element."""
        self._draw_axis()
        self._draw_lanes()
        points = [self._place_event(row) for row in self._rows]
        self._draw_attempt_lines(points)
        for row, point in zip(self._rows, points, strict=True):
            self._draw_row(row, point)
        return ElementTree.tostring(self._svg, encoding="unicode")

    def _add_element(self, name: str, **attributes: object) -> ElementTree.Element:
        fields = {
            key.replace("_", "-").strip("-"): str(value)
            for key, value in attributes.items()
        }
        return ElementTree.SubElement(self._svg, name, fields)

    def _add_text(self, x: float, y: float, text: str, kind: str, anchor: str) -> None:
        element = self._add_element(
            "text", x=f"{x:.1f}", y=f"{y:.1f}", class_=kind, text_anchor=anchor
        )
        element.text = text

    def _x_of(self, wall_us: int) -> float:
        width = _WIDTH_PX - _LABEL_PX - 2 * _MARGIN_PX
        share = (wall_us - self._first_us) / self._span_us
        return _LABEL_PX + _MARGIN_PX + share * width

    def _draw_axis(self) -> None:
        bottom = _TOP_PX + len(self._lanes) * _LANE_PX
        for number in range(_AXIS_TICKS + 1):
            offset_us = self._span_us * number / _AXIS_TICKS
            x = self._x_of(int(self._first_us + offset_us))
            self._add_element(
                "line", x1=x, x2=x, y1=_TOP_PX, y2=bottom, stroke="#e3e7ea"
            )
            self._add_text(x, _TOP_PX - 12, _offset_text(offset_us), "axis", "middle")

    def _draw_lanes(self) -> None:
        for number, (node_id, data_centre) in enumerate(self._lanes.items()):
            y = self._lane_y(number)
            right = _WIDTH_PX - _MARGIN_PX
            self._add_element(
                "line", x1=_LABEL_PX, x2=right, y1=y, y2=y, stroke="#b6c0c8"
            )
            self._add_text(_LABEL_PX - 12, y, node_id, "lane", "end")
            self._add_text(_LABEL_PX - 12, y + 13, data_centre, "centre", "end")

    def _lane_y(self, number: int) -> float:
        return _TOP_PX + (number + 0.5) * _LANE_PX

    def _place_event(self, row: EventRow) -> _Point:
        node_id = row.stamp.node_id
        x = self._x_of(row.stamp.wall_us)
        last_x = self._last_x.setdefault(node_id, [-1e9] * _LEVELS)
        free_levels = [
            n for n, previous in enumerate(last_x) if x - previous >= _MIN_DISTANCE_PX
        ]
        level = (
            free_levels[0]
            if free_levels
            else min(range(_LEVELS), key=lambda n: last_x[n])
        )
        last_x[level] = x
        offset_px = (0, -_LEVEL_PX, _LEVEL_PX)[level]
        number = list(self._lanes).index(node_id)
        return _Point(x, self._lane_y(number) + offset_px)

    def _draw_attempt_lines(self, points: Sequence[_Point]) -> None:
        """Draw a dashed line wherever an attempt passes between nodes."""
        last: dict[AttemptId, tuple[NodeId, _Point]] = {}
        for row, point in zip(self._rows, points, strict=True):
            if row.attempt_id is None:
                continue
            node_id = row.stamp.node_id
            before = last.get(row.attempt_id)
            if before is not None and before[0] != node_id:
                start = before[1]
                self._add_element(
                    "line",
                    x1=f"{start.x:.1f}",
                    y1=f"{start.y:.1f}",
                    x2=f"{point.x:.1f}",
                    y2=f"{point.y:.1f}",
                    stroke="#90a4ae",
                    stroke_dasharray="4 3",
                )
            last[row.attempt_id] = (node_id, point)

    def _draw_row(self, row: EventRow, point: _Point) -> None:
        dot = self._add_element(
            "circle",
            cx=f"{point.x:.1f}",
            cy=f"{point.y:.1f}",
            r=_DOT_PX,
            fill=_colour_of(row.event),
            stroke="#fff",
        )
        title = ElementTree.SubElement(dot, "title")
        title.text = row_line(row)


def draw_page(title: str, rows: Sequence[EventRow], gaps: Sequence[TimelineGap]) -> str:
    """Return an HTML page with a drawing of the events and a table of them.

    Parameters
    ----------
    rows
        Events in the order of their stamps.
    gaps
        Sources whose events are missing.
    """
    drawing = _Drawing(rows).draw() if rows else "<p>No event was found.</p>"
    missing = "".join(
        f"<li>{escape(gap.source)}: {escape(gap.reason)}</li>" for gap in gaps
    )
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>{escape(title)}</title><style>{_STYLE}</style>"
        f"<h1>{escape(title)}</h1><p class='span'>{len(rows)} events on "
        f"{len(_lanes_of(rows))} nodes</p><ul class='gaps'>{missing}</ul>"
        f"{_legend()}{drawing}{_table(rows)}</html>\n"
    )


def _legend() -> str:
    entries = [*_COLOURS.values(), (_FAILURE_COLOUR, "refused, lost or failed")]
    items = "".join(
        f"<li><span style='background:{colour}'></span>{escape(name)}</li>"
        for colour, name in entries
    )
    return f"<ul class='legend'>{items}</ul>"


def _table(rows: Sequence[EventRow]) -> str:
    first_us = rows[0].stamp.wall_us if rows else 0
    lines = []
    for row in rows:
        kind = " class='failure'" if row.event in _FAILURE_EVENTS else ""
        cells = (
            _offset_text(row.stamp.wall_us - first_us),
            row.stamp.node_id,
            f"{row.event.value} {row.event.name.lower().replace('_', ' ')}",
            subject_of(row),
            row.detail,
        )
        body = "".join(f"<td>{escape(cell)}</td>" for cell in cells)
        lines.append(f"<tr{kind}>{body}</tr>")
    return f"<table>{''.join(lines)}</table>"


def _lanes_of(rows: Sequence[EventRow]) -> dict[NodeId, str]:
    """Return the data centre of each node.

    Nodes are sorted by data centre, then by name.
    """
    data_centres = {row.stamp.node_id: row.data_centre for row in rows}
    ordered = sorted(data_centres.items(), key=lambda item: (item[1], item[0]))
    return dict(ordered)


def _colour_of(event: Event) -> str:
    if event in _FAILURE_EVENTS:
        return _FAILURE_COLOUR
    return _COLOURS[event.value // 100][0]


def _offset_text(offset_us: float) -> str:
    if offset_us < 1_000_000:
        return f"+{offset_us / 1_000:.2f} ms"
    return f"+{offset_us / 1_000_000:.3f} s"
