"""Reads the files that a command names."""

from pathlib import Path

from papayapost.errors import FileUnreadable
from papayapost.rules import MAX_TEXT_BYTES, decode_text

__all__ = ["read_rules_file"]


def read_rules_file(path: str) -> str:
    """Return the text of a rules file, whatever its bytes are.

    Raises
    ------
    FileUnreadable
        If there is no such file or it cannot be read.
    """
    try:
        with Path(path).open("rb") as file:
            # One byte over the limit is enough for the finding.
            return decode_text(file.read(MAX_TEXT_BYTES + 1))
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise FileUnreadable(path, reason) from None
