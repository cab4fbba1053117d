"""Hands carriers to this node's own sides or to a peer."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping

from papayapost.ids import Address
from papayapost_node.transport import Dropped

__all__ = ["Courier", "NodeCourier"]

SendMessage = Callable[[Address, object, Dropped | None], bool]


class Courier(ABC):
    """Delivers carriers by address; this node's own address is one too."""

    @abstractmethod
    def deliver(
        self, address: Address, carrier: object, on_dropped: Dropped | None = None
    ) -> bool:
        """Deliver a carrier, at most once.

        Parameters
        ----------
        on_dropped
            Called later if it turns out that the carrier never left.

        Returns
        -------
        bool
            False if it certainly does not arrive.
        """


class NodeCourier(Courier):
    """Calls this node's own sides directly, without encoding.

    Parameters
    ----------
    own_address
        Address that stands for this node.
    send
        Sends a message to a peer.
    """

    def __init__(self, own_address: Address, send: SendMessage):
        self._own_address = own_address
        self._send = send
        self._takers: dict[type, Callable] = {}

    def connect(self, takers: Mapping[type, Callable]) -> None:
        """Say what takes each type of carrier here."""
        self._takers.update(takers)

    def take(self, carrier: object) -> bool:
        """Hand over what came from a peer, if it is a carrier."""
        taker = self._takers.get(type(carrier))
        if taker is None:
            return False
        taker(carrier)
        return True

    def deliver(
        self, address: Address, carrier: object, on_dropped: Dropped | None = None
    ) -> bool:
        """Deliver a carrier, at most once."""
        if address == self._own_address:
            return self.take(carrier)
        return self._send(address, carrier, on_dropped)
