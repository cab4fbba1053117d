"""papaya: the operators' tool."""

from papayapost_operator.commands import Papaya

__all__ = ["Papaya"]
