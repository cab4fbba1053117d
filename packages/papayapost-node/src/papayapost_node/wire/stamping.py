"""Puts the sender's hybrid clock in front of every frame."""

import struct

from papayapost.errors import FrameError
from papayapost.timeline import HybridClock
from papayapost_node.clock import Clock
from papayapost_node.wire.codec import Codec

__all__ = ["StampingCodec"]

_STAMP = struct.Struct(">QH")


class StampingCodec(Codec):
    """Adds ten bytes to each frame: the stamp's wall time and counter.

    Parameters
    ----------
    inner
        Encodes the message itself.
    hybrid_clock
        The node's clock; it takes over the stamps of frames that come in.
    """

    def __init__(self, inner: Codec, hybrid_clock: HybridClock, clock: Clock):
        self._inner = inner
        self._hybrid_clock = hybrid_clock
        self._clock = clock

    def encode(self, message: object) -> bytes:
        """Return the frame of a message, led by a stamp."""
        stamp = self._hybrid_clock.tick(self._clock.wall_us())
        return _STAMP.pack(stamp.wall_us, stamp.counter) + self._inner.encode(message)

    def decode(self, frame: bytes) -> object:
        """Return the message of a frame and take over its stamp.

        Raises
        ------
        FrameError
            If the frame is too short or its message does not decode; the
            stamp of such a frame is not taken over.
        """
        if len(frame) < _STAMP.size:
            raise FrameError(
                f"{len(frame)} bytes are too short for a frame; check the versions "
                "of the two nodes"
            )
        message = self._inner.decode(frame[_STAMP.size :])
        sent_wall_us, counter = _STAMP.unpack_from(frame)
        self._hybrid_clock.receive(self._clock.wall_us(), sent_wall_us, counter)
        return message
