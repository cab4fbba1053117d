"""Hybrid logical clock: stamps whose order follows causality.

A new stamp has the time of the wall clock if that is later than all stamps
that the node has made or received. Otherwise it has the time of the highest
of these stamps, and a counter one above that stamp's counter. Each message
carries a stamp of its sender, so that events caused by the message get later
stamps, even if the wall clocks of the nodes differ.

The algorithm is from Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

from papayapost.define import define
from papayapost.ids import Micros, NodeId

__all__ = ["MAX_AHEAD_US", "MAX_COUNTER", "HybridClock", "Stamp"]

MAX_AHEAD_US = Micros(60_000_000)
"""Maximum lead in µs of a received stamp over the local wall clock."""

MAX_COUNTER = 65_535
"""Highest counter, to fit two bytes; the stamp after it is 1 µs later."""


@define(frozen=True, order=True)
class Stamp:
    """Time of an event on the time line; a node makes each stamp only once.

    Parameters
    ----------
    wall_us
        Time in µs since the Unix epoch; may be ahead of the wall clock.
    counter
        Orders stamps with equal `wall_us`.
    node_id
        Node that made the stamp; orders stamps that are otherwise equal.
    """

    wall_us: Micros
    counter: int
    node_id: NodeId


class HybridClock:
    """The hybrid logical clock of one node.

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
        """Return a stamp later than all stamps made or received before.

        Parameters
        ----------
        wall_us
            Time of the wall clock in µs since the Unix epoch; may step back.
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
        """Advance the clock to the stamp of a received message.

        Parameters
        ----------
        wall_us
            Time of the local wall clock in µs since the Unix epoch.
        sent_wall_us, counter
            Time and counter of the received stamp.

        Returns
        -------
        bool
            False if the stamp is refused: its time is more than
            `MAX_AHEAD_US` ahead of the local wall clock, or its counter is
            above `MAX_COUNTER`. Without this limit, a single wrong wall
            clock would move the stamps of the whole mesh into the future.
        """
        if sent_wall_us > wall_us + MAX_AHEAD_US or counter > MAX_COUNTER:
            return False
        if (sent_wall_us, counter) > (self._wall_us, self._counter):
            self._wall_us = sent_wall_us
            self._counter = counter
        return True
