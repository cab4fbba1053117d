"""Hybrid logical clock: stamps whose order follows causality.

A stamp is the wall clock where it runs ahead, else the highest stamp seen
plus one count. A message carries its sender's stamp, so that whatever it
causes is stamped later, however the wall clocks differ.

The construction is that of Kulkarni et al., "Logical Physical Clocks",
OPODIS 2014.
"""

from dataclasses import dataclass

from papayapost.ids import Micros, NodeId

__all__ = ["MAX_AHEAD_US", "MAX_COUNTER", "HybridClock", "Stamp"]

MAX_AHEAD_US = Micros(60_000_000)
"""A stamp this far ahead of the own wall clock is not taken over."""

MAX_COUNTER = 65_535
"""A stamp's counter fits two bytes; beyond it the wall time moves on."""


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A point on the time line; stamps of one node never repeat.

    Parameters
    ----------
    wall_us
        µs since the Unix epoch, possibly ahead of the node's wall clock.
    counter
        Order among stamps of the same `wall_us`.
    node_id
        Breaks ties between nodes.
    """

    wall_us: Micros
    counter: int
    node_id: NodeId


class HybridClock:
    """The clock of one node.

    Examples
    --------
    >>> ahead, behind = HybridClock(NodeId("a")), HybridClock(NodeId("b"))
    >>> sent = ahead.tick(Micros(2_000))
    >>> behind.receive(Micros(1_000), sent.wall_us, sent.counter)
    True
    >>> behind.tick(Micros(1_001)) > sent
    True
    """

    def __init__(self, node_id: NodeId):
        self._node_id = node_id
        self._wall_us = Micros(0)
        self._counter = 0

    def tick(self, wall_us: Micros) -> Stamp:
        """Return a stamp later than all that this clock gave or received.

        Parameters
        ----------
        wall_us
            The wall clock now, in µs; it may step back.
        """
        if wall_us > self._wall_us:
            self._wall_us = wall_us
            self._counter = 0
        elif self._counter < MAX_COUNTER:
            self._counter += 1
        else:
            self._wall_us = Micros(self._wall_us + 1)
            self._counter = 0
        return Stamp(self._wall_us, self._counter, self._node_id)

    def receive(self, wall_us: Micros, sent_wall_us: Micros, counter: int) -> bool:
        """Take over a peer's stamp.

        Returns
        -------
        bool
            False if the stamp is further ahead than `MAX_AHEAD_US`: one bad
            wall clock must not carry the whole mesh into the future.
        """
        if sent_wall_us > wall_us + MAX_AHEAD_US or counter > MAX_COUNTER:
            return False
        if (sent_wall_us, counter) > (self._wall_us, self._counter):
            self._wall_us = sent_wall_us
            self._counter = counter
        return True
