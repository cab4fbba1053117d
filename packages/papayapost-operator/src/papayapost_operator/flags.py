"""Checks the words of papaya's command line before Python Fire parses them."""

from collections.abc import Sequence
from itertools import pairwise

from papayapost.errors import UsageRefused

__all__ = ["FLAGS", "check_options", "quote_word", "read_flag"]

FLAGS = frozenset(["--preview"])
"""The options, of any command, that take no value."""


def check_options(words: Sequence[str]) -> None:
    """Check that all options are written in full and have values.

    Raises
    ------
    UsageRefused
        If an option is abbreviated or has no value; the error names the first
        such option.
    """
    for word, following in pairwise((*words, "--")):
        if not word.startswith("-"):
            continue
        if not word.startswith("--") or word == "--":
            raise UsageRefused(f"{word!r} is no option; write it as in --store ADDRESS")
        if "=" not in word and word not in FLAGS and following.startswith("-"):
            raise UsageRefused(f"{word} has no value; write it as in {word}=VALUE")


def quote_word(word: str) -> str:
    """Quote a word so that Python Fire takes its value as text.

    Fire would read an unquoted message such as ``1,2`` as a tuple.

    Examples
    --------
    >>> [quote_word(word) for word in ("1,2", "--limit=5", "--preview")]
    ["'1,2'", "--limit='5'", '--preview']
    """
    if not word.startswith("-"):
        return repr(word)
    name, equals, value = word.partition("=")
    return f"{name}={value!r}" if equals else word


def read_flag(option: str, value: object) -> bool:
    """Return whether an option that takes no value is set.

    Raises
    ------
    UsageRefused
        If Python Fire took the next word for the value of the option.
    """
    if not isinstance(value, bool):
        raise UsageRefused(
            f"{option} takes no value such as {value!r}; write it after the "
            "other arguments"
        )
    return value
