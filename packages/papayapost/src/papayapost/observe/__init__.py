"""Events that a node records for its log and its time line."""

from papayapost.observe.events import Event, Noted

__all__ = ["Event", "Noted"]
