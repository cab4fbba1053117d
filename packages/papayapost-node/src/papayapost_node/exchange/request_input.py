"""Receives the body of an offered request under flow control."""

from papayapost.errors import CreditExceeded
from papayapost_node.exchange.body_receiver import BodyReceiver
from papayapost_node.exchange.owner_services import OwnerServices
from papayapost_node.exchange.tables import OwnedRequest
from papayapost_node.wire import RequestCredit, RequestPart

__all__ = ["RequestInput"]


class RequestInput:
    """Counts the parts of a request's body and grants the entry node credit.

    Parameters
    ----------
    owned
        The request that the entry node offered.
    services
        Functions and settings that all calls of this node share.
    """

    def __init__(self, owned: OwnedRequest, services: OwnerServices):
        self._owned = owned
        self._services = services
        self._received_bytes = len(owned.request.body)
        self._receiver: BodyReceiver | None = None

    @property
    def is_open(self) -> bool:
        """Whether parts of the body may arrive."""
        return self._receiver is not None

    def open(self) -> None:
        """Grant the first credit for the rest of the body."""
        self._receiver = BodyReceiver(self._services.budget, self._grant)
        self._grant(self._receiver.size_bytes)

    def take(self, part: RequestPart) -> bool:
        """Count a part; return False if it must not be used.

        This is the case if the entry node sent more than its credit, or if an
        earlier part was lost with a connection of the entry node.
        """
        if self._receiver is None:
            return False
        try:
            self._receiver.receive(len(part.data))
        except CreditExceeded:
            return False
        if part.offset is not None and part.offset != self._received_bytes:
            return False
        self._received_bytes += len(part.data)
        return True

    def consume_all(self) -> None:
        """Record that all parts were forwarded, and grant credit."""
        if self._receiver is not None:
            self._receiver.consume_all()

    def close(self) -> None:
        """Return the window to the budget."""
        if self._receiver is not None:
            self._receiver.close()
            self._receiver = None

    def _grant(self, size_bytes: int) -> None:
        services, attempt_id = self._services, self._owned.attempt_id
        credit = RequestCredit(services.node_id, attempt_id, size_bytes)
        services.carrier_delivery.deliver(self._owned.entry, credit)
