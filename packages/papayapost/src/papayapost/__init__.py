"""Decisions of papayapost, free of I/O and of any encoding.

The subpackages can be embedded on their own: `kernel` holds tables, systems
and the tick; `rules`, `distribution` and `traffic` build on it.
"""

from papayapost.errors import ErrorCode, PapayapostError

__all__ = ["ErrorCode", "PapayapostError"]
