"""Tables of the evidence that the rules in force are the newest."""

from dataclasses import field

from papayapost.define import define
from papayapost.distribution.peer_messages import Confirmation
from papayapost.ids import Incarnation, Micros, NodeId, RuleVersion
from papayapost.kernel import Table

__all__ = ["EchoRow", "EvidenceRow", "EvidenceTables"]

_MAX_PENDING = 16
"""Versions that may be known before they are in force. In a storm of versions
the one in force may stay behind the newest for seconds."""

_MAX_ECHO_AGE_US = 10_000_000
"""Age at which a relay forgets the clock of a node. Clocks that run at
different rates would make older readings wrong by milliseconds."""


@define
class EvidenceRow:
    """Evidence of this node that no newer rules exist.

    A store that has come back from an older copy shows older rules than exist.
    What it shows is evidence only if this node knows of no newer version.

    Parameters
    ----------
    limit_us
        Largest age in µs of the evidence with which calls with a key are
        served; None if the deployment sets no bound on the removal of a key.
    confirmed_us
        Tick time in µs at which the store held no newer rules than those in
        force; None if that is not known.
    newest_known
        Newest version that the store or a peer has shown, or that is in force.
    pending
        Tick time in µs at which the store held no newer version, for each
        version that is known but not in force yet.
    """

    limit_us: Micros | None = None
    confirmed_us: Micros | None = None
    newest_known: RuleVersion = RuleVersion(0)
    pending: dict[RuleVersion, Micros] = field(default_factory=dict)

    def is_fresh(self, now_us: Micros) -> bool:
        """Return whether the keys of the rules in force can be relied on."""
        if self.limit_us is None:
            return True
        confirmed_us = self.confirmed_us
        return confirmed_us is not None and now_us - confirmed_us <= self.limit_us

    def record_known(self, version: RuleVersion) -> None:
        """Record that a version exists, whether it has arrived or not."""
        self.newest_known = max(self.newest_known, version)

    def record(
        self, version: RuleVersion, newest_at_us: Micros, in_force: RuleVersion
    ) -> None:
        """Record that the store held nothing newer than a version."""
        self.record_known(max(version, in_force))
        if version < self.newest_known:
            return
        if version == in_force:
            self._confirm(newest_at_us)
        else:
            known_us = self.pending.get(version, newest_at_us)
            self.pending[version] = max(known_us, newest_at_us)
            if len(self.pending) > _MAX_PENDING:
                del self.pending[min(self.pending)]

    def apply_in_force(self, in_force: RuleVersion) -> None:
        """Let the evidence for a version count that is now in force."""
        self.record_known(in_force)
        for version in [item for item in self.pending if item <= in_force]:
            known_us = self.pending.pop(version)
            if version == in_force:
                self._confirm(known_us)

    def _confirm(self, newest_at_us: Micros) -> None:
        confirmed_us = self.confirmed_us
        if confirmed_us is None or newest_at_us > confirmed_us:
            self.confirmed_us = newest_at_us


@define
class EchoRow:
    """The clock of another node, as this node has last heard of it.

    Parameters
    ----------
    incarnation
        Process whose clock it is.
    clock_us, arrived_us
        Reading of the other node's clock in µs, and the time of this node's
        clock at which the reading arrived.
    """

    node_id: NodeId
    incarnation: Incarnation
    clock_us: Micros
    arrived_us: Micros


class EvidenceTables:
    """Evidence of this node, and the clocks of those it reports to."""

    def __init__(self, row: EvidenceRow):
        self.row = row
        self.echoes: Table[NodeId, EchoRow] = Table("echoes")

    def confirmation_for(self, node_id: NodeId, now_us: Micros) -> Confirmation | None:
        """Return this node's evidence by the clock of another node, or None.

        The reading F of the other clock was taken before it arrived here at B.
        At the time E of the evidence, the other clock showed F + (E - B) at
        least, however long the reading was on its way.
        """
        echo, confirmed_us = self.echoes.get(node_id), self.row.confirmed_us
        if echo is None or confirmed_us is None:
            return None
        if now_us - echo.arrived_us > _MAX_ECHO_AGE_US:
            self.echoes.pop(node_id)
            return None
        clock_us = Micros(echo.clock_us + confirmed_us - echo.arrived_us)
        return Confirmation(echo.incarnation, clock_us)
