"""Size limit of the frames between nodes."""

__all__ = ["MAX_FRAME_BYTES", "max_frame_bytes"]

MAX_FRAME_BYTES = 4 << 20
"""Size limit of a frame, unless the rules text of the mesh needs more."""

_FIELDS_BYTES = 64 << 10


def max_frame_bytes(max_rules_bytes: int) -> int:
    """Return the size limit of a frame that may hold a whole rules text.

    Examples
    --------
    >>> max_frame_bytes(1_000_000) == MAX_FRAME_BYTES
    True
    """
    return max(MAX_FRAME_BYTES, max_rules_bytes + _FIELDS_BYTES)
