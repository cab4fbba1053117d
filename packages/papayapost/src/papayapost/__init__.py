"""Decision logic of papayapost, without I/O and without message encoding.

Another program can embed the subpackages separately: `kernel` provides
tables, systems and the tick; `rules`, `distribution` and `traffic` use it.
"""

from papayapost.errors import ErrorCode, PapayapostError

__all__ = ["ErrorCode", "PapayapostError"]
