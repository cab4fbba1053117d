"""The table of peers that frames were sent to."""

from collections.abc import Callable
from dataclasses import dataclass

from papayapost.ids import Address
from papayapost.kernel import Table
from papayapost.states import LinkClass

__all__ = ["PeerRow", "PeerTable"]

_MAX_ROWS = 4_096

LinkClassOf = Callable[[Address], LinkClass | None]


@dataclass(slots=True)
class PeerRow:
    """What was sent to one peer.

    Parameters
    ----------
    link
        Distance when the peer was last connected; None while unknown.
    """

    address: Address
    link: LinkClass | None
    sent_frames: int = 0
    sent_bytes: int = 0
    dropped_frames: int = 0


class PeerTable:
    """Counts frames and bytes by peer and by class of link.

    Parameters
    ----------
    link_class_of
        Says how far a peer is.

    Attributes
    ----------
    received_frames, received_bytes
        From all peers together.
    control_sent_bytes, control_received_bytes
        Of these, what keeps the mesh together and carries no call.
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

    def connected(self, address: Address) -> PeerRow:
        """Return the peer's row, its distance brought up to date."""
        row = self.rows.get(address)
        if row is None:
            if len(self.rows) >= _MAX_ROWS:
                self.rows.pop(next(iter(self.rows)).address)
            row = PeerRow(address, None)
            self.rows.put(address, row)
        row.link = self._link_class_of(address)
        return row

    def sent(self, row: PeerRow, size_bytes: int) -> None:
        """Count a frame that was handed over."""
        row.sent_frames += 1
        row.sent_bytes += size_bytes
        self.sent_bytes[row.link] += size_bytes

    def received(self, size_bytes: int) -> None:
        """Count a frame that came in."""
        self.received_frames += 1
        self.received_bytes += size_bytes

    def control_sent(self, address: Address, size_bytes: int) -> None:
        """Count a frame that carries no call, beside `sent`."""
        row = self.rows.get(address)
        self.control_sent_bytes[row.link if row else None] += size_bytes

    def control_received(self, size_bytes: int) -> None:
        """Count a frame that carried no call, beside `received`."""
        self.control_received_bytes += size_bytes
