"""papaya, the command-line tool for the operators of a mesh."""

from papayapost_operator.commands import Papaya

__all__ = ["Papaya"]
