"""Bounds what is read of a backend server's answers that are not used."""

import h11

__all__ = ["AnswerBounds"]

_MAX_INFORMATIONAL = 32
"""Most informational answers to a request; real ones are one or two."""


class AnswerBounds:
    """Counts what one call reads, and ends a call whose answer does not come.

    Each method raises h11.RemoteProtocolError above its limit.
    """

    __slots__ = ("_informational",)

    def __init__(self) -> None:
        self._informational = 0

    def count_informational(self) -> None:
        """Count an informational answer."""
        self._informational += 1
        if self._informational > _MAX_INFORMATIONAL:
            raise h11.RemoteProtocolError("too many informational answers")
