"""Crowds of clients outside the limits, against a node in its own process."""

from papayapost_testing.crowds.entry_points import (
    ENTRY_POINTS,
    PEER_PORT,
    EntryPoint,
)
from papayapost_testing.crowds.forms import FORMS, ClientForm
from papayapost_testing.crowds.peer_forms import PEER_FORMS
from papayapost_testing.crowds.scene import CrowdScene, Figures

__all__ = [
    "ENTRY_POINTS",
    "FORMS",
    "PEER_FORMS",
    "PEER_PORT",
    "ClientForm",
    "CrowdScene",
    "EntryPoint",
    "Figures",
]
