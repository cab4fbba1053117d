"""Defines the effect that sends a message to another node."""

from dataclasses import dataclass

from papayapost.ids import Address

__all__ = ["PeerSend"]


@dataclass(slots=True)
class PeerSend:
    """Effect: send `message` to the node at `address`, at most once.

    The message may be lost. A system that depends on its delivery waits for
    an answer and retries.
    """

    address: Address
    message: object
