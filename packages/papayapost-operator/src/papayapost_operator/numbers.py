"""Parses numbers of the command line."""

from papayapost.errors import UsageRefused

__all__ = ["parse_whole_number"]

_MAX_DIGITS = 18


def parse_whole_number(option: str, text: str) -> int:
    """Return the whole number that was given for an option.

    Raises
    ------
    UsageRefused
        If the text is not a whole number of at most 18 digits.

    Examples
    --------
    >>> parse_whole_number("--base", "17")
    17
    """
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    raise UsageRefused(
        f"{option} {text!r} is not a whole number; write one of at most 18 digits"
    )
