"""Delivers messages that carry requests and answers, locally or to a peer.

Such a message is called a carrier: it holds the head or a part of the body of
a request or an answer, or credit for one.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping

from papayapost.ids import Address
from papayapost_node.transport import DroppedCallback

__all__ = ["CarrierDelivery", "NodeCarrierDelivery"]

SendMessage = Callable[[Address, object, DroppedCallback | None], bool]


class CarrierDelivery(ABC):
    """Delivers carriers to a node's address, which may be this node's own."""

    @abstractmethod
    def deliver(
        self,
        address: Address,
        carrier: object,
        on_dropped: DroppedCallback | None = None,
    ) -> bool:
        """Deliver a carrier at most once.

        Parameters
        ----------
        address
            The node that the carrier is for.
        on_dropped
            Called later if the carrier was accepted but could not be sent.

        Returns
        -------
        bool
            False if the carrier was not accepted and will never arrive. True
            does not promise that it arrives.
        """


class NodeCarrierDelivery(CarrierDelivery):
    """Sends carriers to peers and passes those for this node to its handlers.

    A carrier for this node itself is passed on without being encoded.

    Parameters
    ----------
    own_address
        Address of this node.
    send
        Sends a message to a peer; returns False if it was not accepted.
    """

    def __init__(self, own_address: Address, send: SendMessage):
        self._own_address = own_address
        self._send = send
        self._handlers: dict[type, Callable] = {}

    def add_handlers(self, handlers: Mapping[type, Callable]) -> None:
        """Register the handler of each carrier type at this node."""
        self._handlers.update(handlers)

    def take(self, carrier: object) -> bool:
        """Call the handler of a message; return False if it has none."""
        handler = self._handlers.get(type(carrier))
        if handler is None:
            return False
        handler(carrier)
        return True

    def deliver(
        self,
        address: Address,
        carrier: object,
        on_dropped: DroppedCallback | None = None,
    ) -> bool:
        """Deliver a carrier at most once."""
        if address == self._own_address:
            return self.take(carrier)
        return self._send(address, carrier, on_dropped)
