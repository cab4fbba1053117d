"""Tables, systems and ticks, on which all other parts are built."""

from papayapost.kernel.system import System
from papayapost.kernel.table import Table
from papayapost.kernel.tick import Tick
from papayapost.kernel.timers import Timers
from papayapost.kernel.world import World

__all__ = ["System", "Table", "Tick", "Timers", "World"]
