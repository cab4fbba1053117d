"""A randomized soak of real processes under faults from outside."""

from papayapost_testing.soak.run import Soak, SoakSize

__all__ = ["Soak", "SoakSize"]
