"""Checks that a message comes from whom it names as its sender."""

from papayapost.membership import Directory
from papayapost_node.security.keys import PublicKey
from papayapost_node.security.ring import KeyRing
from papayapost_node.wire import OfferCarrier

__all__ = ["SenderCheck"]


class SenderCheck:
    """Compares the sender field with the holder of the authenticated key.

    Parameters
    ----------
    ring
        None where peers do not authenticate; then only messages within
        messages are checked.
    directory
        Says in which data centre a node is.
    """

    def __init__(self, ring: KeyRing | None, directory: Directory):
        self._ring = ring
        self._directory = directory

    def is_genuine(self, message: object, key: PublicKey | None) -> bool:
        """Return whether the key's holder may send this message."""
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
