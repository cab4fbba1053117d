"""A codec that compresses large control messages with zstandard."""

from collections.abc import Collection

import zstandard

from papayapost.errors import FrameError
from papayapost_node.wire.codec import Codec

__all__ = ["CompressingCodec"]

_MIN_FRAME_BYTES = 512
_MAX_DECOMPRESSED_BYTES = 4 << 20
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
    """

    def __init__(self, inner: Codec, message_types: Collection[type]):
        self._inner = inner
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
            unknown or more than 4 MB.
        """
        if not frame.startswith(_ZSTD_MAGIC):
            return self._inner.decode(frame)
        return self._inner.decode(self._decompress(frame))

    def _decompress(self, frame: bytes) -> bytes:
        try:
            size_bytes = zstandard.frame_content_size(frame)
            if not 0 <= size_bytes <= _MAX_DECOMPRESSED_BYTES:
                raise FrameError(
                    f"a compressed frame declares {size_bytes} bytes, but at most "
                    f"{_MAX_DECOMPRESSED_BYTES} are allowed; check the versions of "
                    "the two nodes"
                )
            return self._decompressor.decompress(frame)
        except zstandard.ZstdError as error:
            raise FrameError(
                f"{len(frame)} bytes do not decompress: {error}; the sender "
                "sends them again"
            ) from None
