"""The receiving end of a body that travels between nodes."""

from collections.abc import Callable

from papayapost_node.exchange.windows import ReceiveWindow, WindowBudget

__all__ = ["BodyInlet"]


class BodyInlet:
    """Grants the sender credit as what it sent moves on.

    Parameters
    ----------
    budget
        Where the window comes from, and goes back to.
    grant
        Sends credit of so many bytes.
    """

    __slots__ = ("_budget", "_grant", "_held_bytes", "_window")

    def __init__(self, budget: WindowBudget, grant: Callable[[int], None]):
        self._budget = budget
        self._grant = grant
        self._window = ReceiveWindow(budget.open())
        self._held_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Most that may be under way at once."""
        return self._window.size_bytes

    def receive(self, size_bytes: int) -> None:
        """Note that a piece arrived.

        Raises
        ------
        CreditExceeded
            If the sender was not granted that much.
        """
        self._window.receive(size_bytes)
        self._held_bytes += size_bytes

    def move_on(self) -> None:
        """Note that all that arrived has moved on, and grant its credit."""
        size, self._held_bytes = self._held_bytes, 0
        credit = self._window.consume(size) if size else 0
        if credit:
            self._grant(credit)

    def close(self) -> None:
        """Give the window back; called once."""
        self._budget.close(self._window.size_bytes)
