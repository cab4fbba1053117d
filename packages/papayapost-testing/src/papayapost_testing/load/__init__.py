"""An open-loop load generator that records latencies for each rank."""

from papayapost_testing.load.generator import LoadGenerator
from papayapost_testing.load.tables import CallTypeRow, TallyRow, Verdict

__all__ = ["CallTypeRow", "LoadGenerator", "TallyRow", "Verdict"]
