"""An open-loop load generator with a latency histogram for each rank."""

from papayapost_testing.load.shell import LoadGenerator
from papayapost_testing.load.tables import MixRow, TallyRow, Verdict

__all__ = ["LoadGenerator", "MixRow", "TallyRow", "Verdict"]
