"""Receives a body from another node under flow control."""

from collections.abc import Callable

from papayapost_node.exchange.windows import ReceiveWindow, WindowBudget

__all__ = ["BodyReceiver"]


class BodyReceiver:
    """Counts the bytes of a received body and grants its sender credit.

    Parameters
    ----------
    budget
        Memory budget from which the flow-control window is taken.
    grant
        Sends the given number of bytes as credit to the sender.
    """

    __slots__ = ("_budget", "_grant", "_held_bytes", "_received_bytes", "_window")

    def __init__(self, budget: WindowBudget, grant: Callable[[int], None]):
        self._budget = budget
        self._grant = grant
        self._window = ReceiveWindow(budget.open())
        self._held_bytes = 0
        self._received_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Window size: most bytes that may be in transit or held."""
        return self._window.size_bytes

    def receive(self, size_bytes: int) -> None:
        """Count a received piece of the body against the credit.

        Raises
        ------
        CreditExceeded
            If the piece is larger than the credit that is left.
        """
        self._window.receive(size_bytes)
        self._held_bytes += size_bytes
        self._received_bytes += size_bytes

    def consume_all(self) -> None:
        """Record that all received bytes were forwarded, and grant credit."""
        size, self._held_bytes = self._held_bytes, 0
        if size:
            added = self._budget.grow(self._window.size_bytes, self._received_bytes)
            self._window.grow(added)
        credit = self._window.consume(size) if size else 0
        if credit:
            self._grant(credit)

    def close(self) -> None:
        """Return the window to the budget; must be called only once."""
        self._budget.close(self._window.size_bytes)
