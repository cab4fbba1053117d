"""The memory that the connections of a process hold together.

Guards against many clients that each stay within the limits of one
connection, such as bodies that stop just short of their end.
"""

import asyncio
from abc import ABC, abstractmethod

from papayapost.define import define

__all__ = ["HeldBytes", "HeldRow", "Holder"]

_KEPT_SHARE = 0.75
"""Fraction of the limit that is kept when connections are shed, so that this
is rarely done."""

_SHORT_SHARE = 0.5
"""Fraction of the limit above which connections are read in small pieces."""


class Holder(ABC):
    """A connection that holds memory for its caller."""

    @abstractmethod
    def shed(self) -> None:
        """Give up what the connection holds, and close it."""


@define(eq=False)
class HeldRow:
    """What one connection holds.

    Parameters
    ----------
    size_bytes
        Estimated size of its unparsed bytes, open requests and unread answers.
    """

    holder: Holder
    size_bytes: int = 0


class HeldBytes:
    """Sums what connections hold, and sheds the largest above a limit.

    Attributes
    ----------
    total_bytes
        What all connections hold.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._rows: set[HeldRow] = set()
        self._is_shedding = False
        self.total_bytes = 0

    @property
    def is_short(self) -> bool:
        """Whether connections are to be read in small pieces."""
        return self.total_bytes > self._limit_bytes * _SHORT_SHARE

    def add(self, holder: Holder) -> HeldRow:
        """Add a connection that holds nothing yet."""
        row = HeldRow(holder)
        self._rows.add(row)
        return row

    def remove(self, row: HeldRow) -> None:
        """Remove a connection that has closed."""
        self.update(row, 0)
        self._rows.discard(row)

    def update(self, row: HeldRow, size_bytes: int) -> None:
        """Set what a connection holds; shed some later if that is too much."""
        self.total_bytes += size_bytes - row.size_bytes
        row.size_bytes = size_bytes
        if self.total_bytes > self._limit_bytes and not self._is_shedding:
            self._is_shedding = True
            asyncio.get_running_loop().call_soon(self._shed)

    def _shed(self) -> None:
        self._is_shedding = False
        if self.total_bytes <= self._limit_bytes:
            return
        kept_bytes = self._limit_bytes * _KEPT_SHARE
        for row in sorted(self._rows, key=lambda item: -item.size_bytes):
            if self.total_bytes <= kept_bytes:
                return
            row.holder.shed()
            self.update(row, 0)
