"""The effect that sends a message to another node."""

from dataclasses import dataclass

from papayapost.ids import Address

__all__ = ["PeerSend"]


@dataclass(slots=True)
class PeerSend:
    """Effect: send `message` to the node at `address`, at most once.

    Delivery is not promised: a system that needs it waits for an answer
    and sends again.
    """

    address: Address
    message: object
