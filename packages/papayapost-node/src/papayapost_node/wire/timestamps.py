"""A codec that adds a time stamp of the sender's hybrid clock to frames."""

import struct

from papayapost.errors import FrameError
from papayapost.timeline import HybridClock
from papayapost_node.clock import Clock
from papayapost_node.wire.codec import Codec

__all__ = ["TimestampCodec"]

_STAMP = struct.Struct(">QH")


class TimestampCodec(Codec):
    """Prefixes each frame with a time stamp of ten bytes.

    The time stamp consists of the wall time in µs (eight bytes) and the
    counter (two bytes) of the sender's hybrid clock.

    Parameters
    ----------
    inner
        Codec of the message after the time stamp.
    hybrid_clock
        Hybrid clock of this node. Received time stamps advance it.
    clock
        Source of this node's wall time.
    """

    def __init__(self, inner: Codec, hybrid_clock: HybridClock, clock: Clock):
        self._inner = inner
        self._hybrid_clock = hybrid_clock
        self._clock = clock

    def encode(self, message: object) -> bytes:
        """Return the frame that encodes a message, after a new time stamp."""
        stamp = self._hybrid_clock.tick(self._clock.wall_us())
        return _STAMP.pack(stamp.wall_us, stamp.counter) + self._inner.encode(message)

    def decode(self, frame: bytes) -> object:
        """Return the message of a frame and advance the hybrid clock.

        Raises
        ------
        FrameError
            If the frame is too short or its message does not decode. The
            hybrid clock then ignores the time stamp of the frame.
        """
        if len(frame) < _STAMP.size:
            raise FrameError(
                f"a frame of {len(frame)} bytes is too short for a time stamp; check "
                "the versions of the two nodes"
            )
        message = self._inner.decode(frame[_STAMP.size :])
        sent_wall_us, counter = _STAMP.unpack_from(frame)
        self._hybrid_clock.receive(self._clock.wall_us(), sent_wall_us, counter)
        return message
