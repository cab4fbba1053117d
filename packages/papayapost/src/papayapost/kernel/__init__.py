"""Tables, systems and ticks, on which all other parts are built."""

from papayapost.kernel.system import System
from papayapost.kernel.table import Table
from papayapost.kernel.timers import Timers
from papayapost.kernel.world import Tick, World

__all__ = ["System", "Table", "Tick", "Timers", "World"]
