"""The flood benchmark: overloads real nodes with calls of one rank.

A flood is a load above the capacity of the backend servers. The benchmark
measures how many calls of each rank the nodes still serve, and compares the
answers with the idempotency keys that ran.
"""

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
