"""What a node notes of its own doings."""

from papayapost.observe.events import Event, Noted

__all__ = ["Event", "Noted"]
