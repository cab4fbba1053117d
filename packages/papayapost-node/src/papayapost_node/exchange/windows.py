"""Flow control by credit: how many bytes of a body may be in transit."""

from papayapost.errors import CreditExceeded

__all__ = ["ReceiveWindow", "SendWindow", "WindowBudget"]

_MAX_WINDOW_BYTES = 256 << 10
_FIRST_WINDOW_BYTES = 32 << 10
"""Size of a new window. On a link of 3.5 Mbit/s, messages behind that many
bytes wait 75 ms; it is also what such a link carries in a round trip between
regions."""
_GROWTH_DIVISOR = 4
"""A window grows to this fraction of the bytes received, one quarter."""
_MIN_WINDOW_BYTES = 16 << 10
_BUDGET_DIVISOR = 8
"""A new window gets this fraction of the free budget, one eighth."""


class SendWindow:
    """Counts, at the sender of a body, the credit that its receiver granted.

    Examples
    --------
    >>> window = SendWindow(100)
    >>> window.take(70), window.take(70), window.take(70)
    (70, 30, 0)
    """

    __slots__ = ("credit_bytes",)

    def __init__(self, credit_bytes: int):
        self.credit_bytes = credit_bytes

    def close(self) -> None:
        """Release what the window holds; nothing more is sent."""

    def grant(self, size_bytes: int) -> None:
        """Add credit from the receiver."""
        self.credit_bytes += size_bytes

    def take(self, wanted_bytes: int) -> int:
        """Use up to `wanted_bytes` of the credit and return the bytes used."""
        taken = min(wanted_bytes, self.credit_bytes)
        self.credit_bytes -= taken
        return taken


class ReceiveWindow:
    """Counts, at the receiver of a body, the credit granted to its sender.

    Parameters
    ----------
    size_bytes
        Most bytes that may be in transit or held by this node at once.

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

    __slots__ = ("_granted_bytes", "_ungranted_bytes", "size_bytes")

    def __init__(self, size_bytes: int):
        self.size_bytes = size_bytes
        self._granted_bytes = size_bytes
        self._ungranted_bytes = 0

    def receive(self, size_bytes: int) -> None:
        """Count a received piece of the body against the credit.

        Raises
        ------
        CreditExceeded
            If the piece is larger than the credit that is left.
        """
        if size_bytes > self._granted_bytes:
            raise CreditExceeded(size_bytes, self._granted_bytes)
        self._granted_bytes -= size_bytes

    def consume(self, size_bytes: int) -> int:
        """Record forwarded bytes and return the credit to grant now.

        Returns 0 until half of the window can be granted, so that the node
        does not send a message with credit for each small piece.
        """
        self._ungranted_bytes += size_bytes
        if self._ungranted_bytes * 2 < self.size_bytes:
            return 0
        grant, self._ungranted_bytes = self._ungranted_bytes, 0
        self._granted_bytes += grant
        return grant

    def grow(self, size_bytes: int) -> None:
        """Enlarge the window; the next credit includes the added bytes."""
        self._ungranted_bytes += size_bytes
        self.size_bytes += size_bytes


class WindowBudget:
    """Divides a limit on memory among the windows of all bodies.

    A window is small at first, so that a short body does not fill the queue of
    a slow link at once and delay the messages behind it. It grows with the
    bytes received, as a long body needs a window for the whole round trip.

    Parameters
    ----------
    limit_bytes
        Limit on the sum of all windows. It can be exceeded, because every
        body gets a window of the smallest size when nothing is left.

    Examples
    --------
    >>> budget = WindowBudget(1 << 20)
    >>> budget.open() >> 10
    32
    >>> received_kb = (64, 160, 9999)
    >>> [budget.grow(32 << 10, size << 10) >> 10 for size in received_kb]
    [0, 8, 123]
    """

    def __init__(self, limit_bytes: int):
        self._free_bytes = limit_bytes

    def open(self) -> int:
        """Reserve one more window and return its size in bytes."""
        share = self._free_bytes // _BUDGET_DIVISOR
        size = max(_MIN_WINDOW_BYTES, min(_FIRST_WINDOW_BYTES, share))
        self._free_bytes -= size
        return size

    def grow(self, size_bytes: int, received_bytes: int) -> int:
        """Reserve more for a window and return the number of bytes added.

        Parameters
        ----------
        size_bytes
            Present size of the window.
        received_bytes
            Length of the part of the body that has been received.
        """
        share = self._free_bytes // _BUDGET_DIVISOR
        wanted = min(_MAX_WINDOW_BYTES, received_bytes // _GROWTH_DIVISOR)
        added = max(0, min(wanted - size_bytes, share))
        self._free_bytes -= added
        return added

    def close(self, size_bytes: int) -> None:
        """Return a window of this size to the budget."""
        self._free_bytes += size_bytes
