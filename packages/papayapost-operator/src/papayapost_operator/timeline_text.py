"""Formats events of the time line as text."""

from datetime import UTC, datetime

from papayapost.timeline import EventRow

__all__ = ["row_line", "subject_of"]


def subject_of(row: EventRow) -> str:
    """Return the version, call, attempt and peer of an event as text."""
    parts = []
    if row.version is not None:
        parts.append(f"version {row.version}")
    if row.call_id is not None:
        parts.append(f"call {row.stamp.node_id}/{row.call_id}")
    if row.attempt_id is not None:
        parts.append(f"attempt {row.attempt_id}")
    if row.peer is not None:
        parts.append(f"with {row.peer}")
    return ", ".join(parts)


def row_line(row: EventRow) -> str:
    """Return an event with all its fields as one line of text."""
    stamp = row.stamp
    time = datetime.fromtimestamp(stamp.wall_us / 1e6, UTC)
    time_of_day = time.strftime("%H:%M:%S.%f")
    name = row.event.name.lower().replace("_", " ")
    place = f"{row.data_centre}/{stamp.node_id}"
    details = "; ".join(part for part in (subject_of(row), row.detail) if part)
    return f"{time_of_day} {place:<24} {row.event.value} {name:<22} {details}".rstrip()
