"""How recently the rules in force were known to be the newest."""

from papayapost.define import define
from papayapost.ids import Micros

__all__ = ["EvidenceRow"]


@define
class EvidenceRow:
    """Evidence of this node that no newer rules exist.

    Parameters
    ----------
    limit_us
        Largest age in µs of the evidence with which calls with a key are
        served; None if the deployment sets no bound on the removal of a key.
    confirmed_us
        Tick time in µs at which the store held no newer rules than those in
        force; None if that is not known.
    """

    limit_us: Micros | None = None
    confirmed_us: Micros | None = None

    def is_fresh(self, now_us: Micros) -> bool:
        """Return whether the keys of the rules in force can be relied on."""
        if self.limit_us is None:
            return True
        confirmed_us = self.confirmed_us
        return confirmed_us is not None and now_us - confirmed_us <= self.limit_us
