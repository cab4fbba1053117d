"""A codec that compresses large control messages with zstandard."""

from collections.abc import Collection

import zstandard

from papayapost.errors import FrameError
from papayapost_node.frames import MAX_FRAME_BYTES
from papayapost_node.wire.codec import Codec

__all__ = ["CompressingCodec"]

_MIN_FRAME_BYTES = 512
_COMPRESSION_LEVEL = 3
_ZSTD_MAGIC = b"\x28\xb5\x2f\xfd"


class CompressingCodec(Codec):
    """Compresses frames of at least 512 bytes of the given message types.

    The decoder recognises a compressed frame by the magic number of
    zstandard, which is not the start of any MessagePack array.

    Parameters
    ----------
    inner
        Codec of the uncompressed frames.
    message_types
        Message types whose frames may be compressed.
    max_frame_bytes
        Size limit of a frame after decompression.
    """

    def __init__(
        self,
        inner: Codec,
        message_types: Collection[type],
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ):
        self._inner = inner
        self._max_frame_bytes = max_frame_bytes
        self._message_types = frozenset(message_types)
        self._compressor = zstandard.ZstdCompressor(level=_COMPRESSION_LEVEL)
        self._decompressor = zstandard.ZstdDecompressor()

    def encode(self, message: object) -> bytes:
        """Return the frame of a message, compressed if it is large."""
        frame = self._inner.encode(message)
        if len(frame) < _MIN_FRAME_BYTES or type(message) not in self._message_types:
            return frame
        return self._compressor.compress(frame)

    def decode(self, frame: bytes) -> object:
        """Return the message that a frame encodes.

        Raises
        ------
        FrameError
            If the frame does not decode, or its size after decompression is
            unknown or above the limit.
        """
        if not frame.startswith(_ZSTD_MAGIC):
            return self._inner.decode(frame)
        return self._inner.decode(self._decompress(frame))

    def _decompress(self, frame: bytes) -> bytes:
        try:
            size_bytes = zstandard.frame_content_size(frame)
            if not 0 <= size_bytes <= self._max_frame_bytes:
                raise FrameError(
                    f"a compressed frame declares {size_bytes} bytes, but at most "
                    f"{self._max_frame_bytes} are allowed; check the versions of "
                    "the two nodes"
                )
            return self._decompressor.decompress(frame)
        except zstandard.ZstdError as error:
            raise FrameError(
                f"{len(frame)} bytes do not decompress: {error}; the sender "
                "sends them again"
            ) from None
