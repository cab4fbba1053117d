"""Floods of calls of one rank against a deployment of real processes."""

from papayapost_testing.floods.director import FloodDirector
from papayapost_testing.floods.plans import FloodScript, flood_deployment
from papayapost_testing.floods.tables import FloodName, FloodRow, FloodTables

__all__ = [
    "FloodDirector",
    "FloodName",
    "FloodRow",
    "FloodScript",
    "FloodTables",
    "flood_deployment",
]
