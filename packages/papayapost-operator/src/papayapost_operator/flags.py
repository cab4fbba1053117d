"""How papaya's command line reads its words."""

from collections.abc import Sequence
from itertools import pairwise

from papayapost.errors import UsageRefused

__all__ = ["FLAGS", "check_options", "literal_word", "read_flag"]

FLAGS = frozenset(["--preview"])
"""Options of all commands that take no value."""


def check_options(words: Sequence[str]) -> None:
    """Check that options are written in full and have their values.

    Raises
    ------
    UsageRefused
        At the first that is not.
    """
    for word, following in pairwise((*words, "--")):
        if not word.startswith("-"):
            continue
        if not word.startswith("--") or word == "--":
            raise UsageRefused(f"{word!r} is no option; write it as in --store ADDRESS")
        if "=" not in word and word not in FLAGS and following.startswith("-"):
            raise UsageRefused(f"{word} has no value; write it as in {word}=VALUE")


def literal_word(word: str) -> str:
    """Return a word so that the command line's library takes it as text.

    It would read a message such as ``1,2`` as a tuple.

    Examples
    --------
    >>> [literal_word(word) for word in ("1,2", "--limit=5", "--preview")]
    ["'1,2'", "--limit='5'", '--preview']
    """
    if not word.startswith("-"):
        return repr(word)
    name, equals, value = word.partition("=")
    return f"{name}={value!r}" if equals else word


def read_flag(option: str, value: object) -> bool:
    """Return the value of an option that is on or off.

    Raises
    ------
    UsageRefused
        If a word follows the option.
    """
    if not isinstance(value, bool):
        raise UsageRefused(
            f"{option} takes no value such as {value!r}; write it after the "
            "other arguments"
        )
    return value
