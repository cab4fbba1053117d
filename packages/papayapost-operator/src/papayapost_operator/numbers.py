"""Numbers on the command line."""

from papayapost.errors import UsageRefused

__all__ = ["whole_number"]

_MAX_DIGITS = 18


def whole_number(option: str, text: str) -> int:
    """Return the number that an option was given.

    Raises
    ------
    UsageRefused
        If it is not a whole number of 18 digits at most.

    Examples
    --------
    >>> whole_number("--base", "17")
    17
    """
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    raise UsageRefused(f"{option} {text!r} is not a whole number; write one")
