"""Counters of the frames and bytes that a node sends and receives."""

from collections.abc import Callable

from papayapost.define import define
from papayapost.ids import Address
from papayapost.kernel import Table
from papayapost.states import LinkClass

__all__ = ["PeerRow", "PeerTable"]

_MAX_ROWS = 4_096

LinkClassOf = Callable[[Address], LinkClass | None]
"""Function that returns the class of the link to a peer.

It returns None if the class is unknown.
"""


@define
class PeerRow:
    """Counters of the frames that were sent to one peer.

    Parameters
    ----------
    link
        Class of the link to the peer when the last connection to it was
        opened; None if it was unknown.
    """

    address: Address
    link: LinkClass | None
    sent_frames: int = 0
    sent_bytes: int = 0
    dropped_frames: int = 0


class PeerTable:
    """Counts sent frames by peer, and bytes by class of link.

    Parameters
    ----------
    link_class_of
        Returns the class of the link to a peer.

    Attributes
    ----------
    rows
        Counters of each peer, by its address.
    sent_bytes
        Bytes that were sent to all peers, by class of link.
    received_frames, received_bytes
        Frames and bytes that were received from all peers.
    control_sent_bytes
        Part of `sent_bytes` that belongs to control messages, which are the
        messages of membership and of rules distribution.
    control_received_bytes
        Part of `received_bytes` that belongs to control messages.
    """

    def __init__(self, link_class_of: LinkClassOf):
        self._link_class_of = link_class_of
        self.rows: Table[Address, PeerRow] = Table("peers")
        self.sent_bytes: dict[LinkClass | None, int] = dict.fromkeys(
            [*LinkClass, None], 0
        )
        self.received_frames = 0
        self.received_bytes = 0
        self.control_sent_bytes: dict[LinkClass | None, int] = dict.fromkeys(
            [*LinkClass, None], 0
        )
        self.control_received_bytes = 0

    def row_for_connection(self, address: Address) -> PeerRow:
        """Return the row of a peer after an update of its class of link."""
        row = self.rows.get(address)
        if row is None:
            if len(self.rows) >= _MAX_ROWS:
                self.rows.pop(next(iter(self.rows)).address)
            row = PeerRow(address, None)
            self.rows.put(address, row)
        row.link = self._link_class_of(address)
        return row

    def count_sent(self, row: PeerRow, size_bytes: int) -> None:
        """Count a frame that was sent or queued for sending."""
        row.sent_frames += 1
        row.sent_bytes += size_bytes
        self.sent_bytes[row.link] += size_bytes

    def count_received(self, size_bytes: int) -> None:
        """Count a received frame."""
        self.received_frames += 1
        self.received_bytes += size_bytes

    def count_control_sent(self, address: Address, size_bytes: int) -> None:
        """Count a control message, in addition to `count_sent`."""
        row = self.rows.get(address)
        self.control_sent_bytes[row.link if row else None] += size_bytes

    def count_control_received(self, size_bytes: int) -> None:
        """Count a control message, in addition to `count_received`."""
        self.control_received_bytes += size_bytes
