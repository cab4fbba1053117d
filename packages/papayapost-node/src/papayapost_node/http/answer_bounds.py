"""Bounds what is read of a backend server's answers that are not used."""

import h11

__all__ = ["AnswerBounds"]

_MAX_INFORMATIONAL = 32
"""Most informational answers to a request; real ones are one or two."""

_MAX_SKIPPED_ANSWERS = 8
"""Most answers to other requests before the one that is due; a connection
runs one request at a time, so real ones are one or two."""

_MAX_SKIPPED_BYTES = 1 << 20
"""Most bytes of the bodies of those answers; a new connection costs less than
to read more."""

_MAX_DISCARDED_BYTES = 64 << 10
"""Most bytes of the body of an answer that is not used, as one read brings."""

_MAX_OVERHEAD_BYTES = 256 << 10
"""Most bytes of heads, chunk headers and trailers: four heads of full size."""

_CHUNK_OVERHEAD_BYTES = 16
"""Further bytes for each chunk, for its header without an extension."""


class AnswerBounds:
    """Counts what one call reads, and ends a call whose answer does not come.

    Each method raises h11.RemoteProtocolError above its limit.
    """

    __slots__ = (
        "_discarded_bytes",
        "_informational",
        "_overhead_bytes",
        "_skipped_answers",
        "_skipped_bytes",
    )

    def __init__(self) -> None:
        self._discarded_bytes = 0
        self._informational = 0
        self._overhead_bytes = 0
        self._skipped_answers = 0
        self._skipped_bytes = 0

    def count_informational(self) -> None:
        """Count an informational answer."""
        self._informational += 1
        if self._informational > _MAX_INFORMATIONAL:
            raise h11.RemoteProtocolError("too many informational answers")

    def count_skipped_answer(self) -> None:
        """Count an answer to another request."""
        self._skipped_answers += 1
        if self._skipped_answers > _MAX_SKIPPED_ANSWERS:
            raise h11.RemoteProtocolError("too many answers to other requests")

    def count_skipped_data(self, size_bytes: int) -> None:
        """Count a piece of the body of an answer to another request."""
        self._skipped_bytes += size_bytes
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            raise h11.RemoteProtocolError("answers to other requests are too long")

    def count_discarded_data(self, size_bytes: int) -> None:
        """Count a piece of the body of an answer that is not used."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            raise h11.RemoteProtocolError("the body of an unused answer is too long")

    def count_received(self, size_bytes: int) -> None:
        """Count received bytes, of whatever they are."""
        self._overhead_bytes += size_bytes

    def count_data(self, size_bytes: int, is_chunk_end: bool) -> None:
        """Subtract a piece of a body from the bytes received.

        As many bytes of overhead as of the body are allowed besides, since
        some backend servers sign each chunk.
        """
        self._overhead_bytes -= 2 * size_bytes
        if is_chunk_end:
            self._overhead_bytes -= _CHUNK_OVERHEAD_BYTES

    def check_overhead(self) -> None:
        """Check the bytes received that are no body."""
        if self._overhead_bytes > _MAX_OVERHEAD_BYTES:
            raise h11.RemoteProtocolError("the answer has too much beside its body")
