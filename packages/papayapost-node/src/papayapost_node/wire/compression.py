"""A codec that compresses large control messages by zstandard."""

from collections.abc import Collection

import zstandard

from papayapost.errors import FrameError
from papayapost_node.wire.codec import Codec

__all__ = ["CompressingCodec"]

_MIN_BYTES = 512
_MAX_BYTES = 4 << 20
_LEVEL = 3
_MAGIC = b"\x28\xb5\x2f\xfd"


class CompressingCodec(Codec):
    """Compresses the frames of some message types above 512 bytes.

    A compressed frame is told by the magic number of zstandard, which no
    MessagePack array begins with.

    Parameters
    ----------
    inner
        Codec of the frames before compression.
    kinds
        Message types whose frames may be compressed.
    """

    def __init__(self, inner: Codec, kinds: Collection[type]):
        self._inner = inner
        self._kinds = frozenset(kinds)
        self._compressor = zstandard.ZstdCompressor(level=_LEVEL)
        self._decompressor = zstandard.ZstdDecompressor()

    def encode(self, message: object) -> bytes:
        """Return the frame of a message."""
        frame = self._inner.encode(message)
        if len(frame) < _MIN_BYTES or type(message) not in self._kinds:
            return frame
        return self._compressor.compress(frame)

    def decode(self, frame: bytes) -> object:
        """Return the message of a frame, decompressed to 4 MB at most."""
        if not frame.startswith(_MAGIC):
            return self._inner.decode(frame)
        return self._inner.decode(self._decompress(frame))

    def _decompress(self, frame: bytes) -> bytes:
        try:
            size_bytes = zstandard.frame_content_size(frame)
            if not 0 <= size_bytes <= _MAX_BYTES:
                raise FrameError(
                    f"a compressed frame claims {size_bytes} bytes of at most "
                    f"{_MAX_BYTES}; check the versions of the two nodes"
                )
            return self._decompressor.decompress(frame)
        except zstandard.ZstdError as error:
            raise FrameError(
                f"{len(frame)} bytes do not decompress: {error}; the sender "
                "sends them again"
            ) from None
