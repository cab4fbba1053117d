"""Checks that a message comes from the node that it names as its sender."""

from papayapost.membership import Directory
from papayapost_node.security.key_ring import KeyRing
from papayapost_node.security.keys import PublicKey
from papayapost_node.wire import OfferCarrier

__all__ = ["SenderCheck"]


class SenderCheck:
    """Compares the sender that a message names with the holder of its key.

    Parameters
    ----------
    ring
        Accepted keys, or None if peers do not authenticate. Without keys, only
        the sender of a carried offer is compared with that of its carrier.
    directory
        Rows of the nodes, which hold the data centre of each node.
    """

    def __init__(self, ring: KeyRing | None, directory: Directory):
        self._ring = ring
        self._directory = directory

    def is_genuine(self, message: object, key: PublicKey | None) -> bool:
        """Return whether the holder of a key may send a message.

        Parameters
        ----------
        key
            The key that the connection was authenticated with; None without
            authentication.
        """
        sender = getattr(message, "sender", None)
        if type(message) is OfferCarrier and message.offer.sender != sender:
            return False
        if self._ring is None:
            return True
        row = self._ring.row_of(key) if key is not None else None
        if row is None:
            return False
        if row.node_id is not None:
            return sender == row.node_id
        known = self._directory.get(sender) if sender is not None else None
        return known is None or known.data_centre == row.data_centre
