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
    key_ring
        Accepted keys, or None if peers do not authenticate. Without keys, the
        only check is that an offer names the same sender as the carrier that
        contains it.
    directory
        Rows of the known nodes, each with the node's data centre.
    """

    def __init__(self, key_ring: KeyRing | None, directory: Directory):
        self._key_ring = key_ring
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
        if self._key_ring is None:
            return True
        row = self._key_ring.row_of(key) if key is not None else None
        if row is None:
            return False
        if row.node_id is not None:
            return sender == row.node_id
        sender_row = self._directory.get(sender) if sender is not None else None
        return sender_row is None or sender_row.data_centre == row.data_centre
