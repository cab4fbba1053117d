"""Reads the files that a command gets as arguments."""

from pathlib import Path

from papayapost.errors import FileUnreadable
from papayapost.rules import MAX_TEXT_BYTES, decode_text

__all__ = ["read_rules_file"]


def read_rules_file(path: str) -> str:
    """Return the text of a rules file.

    Bytes that are not UTF-8 are no error here; `compile_rules` reports them.

    Raises
    ------
    FileUnreadable
        If the file does not exist or cannot be read.
    """
    try:
        with Path(path).open("rb") as file:
            # One byte beyond the limit is enough to detect a larger file.
            return decode_text(file.read(MAX_TEXT_BYTES + 1))
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise FileUnreadable(path, reason) from None
