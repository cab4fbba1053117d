"""Defines the effect that sends a message to another node."""

from papayapost.define import define
from papayapost.ids import Address

__all__ = ["PeerSend"]


@define
class PeerSend:
    """Effect: send `message` to the node at `address`, at most once.

    The message may be lost. A system that depends on its delivery waits for
    an answer and retries.
    """

    address: Address
    message: object
