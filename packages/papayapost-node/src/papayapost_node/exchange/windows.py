"""Credit for bodies: how much a sender may have under way."""

from papayapost.errors import CreditExceeded

__all__ = ["ReceiveWindow", "SendWindow", "WindowBudget"]

_MAX_WINDOW_BYTES = 256 << 10
_MIN_WINDOW_BYTES = 16 << 10
_BUDGET_SHARE = 8


class SendWindow:
    """Credit that the receiver of a body has granted.

    Examples
    --------
    >>> window = SendWindow(100)
    >>> window.take(70), window.take(70), window.take(70)
    (70, 30, 0)
    """

    __slots__ = ("credit_bytes",)

    def __init__(self, credit_bytes: int):
        self.credit_bytes = credit_bytes

    def grant(self, size_bytes: int) -> None:
        """Add credit."""
        self.credit_bytes += size_bytes

    def take(self, wanted_bytes: int) -> int:
        """Use up to `wanted_bytes` of the credit and return how many."""
        taken = min(wanted_bytes, self.credit_bytes)
        self.credit_bytes -= taken
        return taken


class ReceiveWindow:
    """Credit that this side has granted, and when to grant more.

    Parameters
    ----------
    size_bytes
        Most that may be under way or held here at once.

    Examples
    --------
    >>> window = ReceiveWindow(100)
    >>> window.receive(40)
    >>> window.consume(40)
    0
    >>> window.receive(30)
    >>> window.consume(30)
    70
    """

    __slots__ = ("_granted_bytes", "_owed_bytes", "size_bytes")

    def __init__(self, size_bytes: int):
        self.size_bytes = size_bytes
        self._granted_bytes = size_bytes
        self._owed_bytes = 0

    def receive(self, size_bytes: int) -> None:
        """Note that a piece arrived.

        Raises
        ------
        CreditExceeded
            If the sender was not granted that much.
        """
        if size_bytes > self._granted_bytes:
            raise CreditExceeded(size_bytes, self._granted_bytes)
        self._granted_bytes -= size_bytes

    def consume(self, size_bytes: int) -> int:
        """Note that bytes left this node; return the credit to grant now.

        Small amounts are gathered, so that a grant travels for half of a
        window and not for each piece.
        """
        self._owed_bytes += size_bytes
        if self._owed_bytes * 2 < self.size_bytes:
            return 0
        grant, self._owed_bytes = self._owed_bytes, 0
        self._granted_bytes += grant
        return grant


class WindowBudget:
    """Shares a bound on memory among the windows of all bodies.

    Parameters
    ----------
    limit_bytes
        Sum of the windows, but for the smallest window of each body.

    Examples
    --------
    >>> budget = WindowBudget(1 << 20)
    >>> [budget.open() >> 10 for _ in range(3)]
    [128, 112, 98]
    """

    def __init__(self, limit_bytes: int):
        self._free_bytes = limit_bytes

    def open(self) -> int:
        """Return the size of one more window."""
        share = self._free_bytes // _BUDGET_SHARE
        size = max(_MIN_WINDOW_BYTES, min(_MAX_WINDOW_BYTES, share))
        self._free_bytes -= size
        return size

    def close(self, size_bytes: int) -> None:
        """Give a window back."""
        self._free_bytes += size_bytes
