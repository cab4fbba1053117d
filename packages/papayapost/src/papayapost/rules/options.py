"""Reads the ``name=value`` options at the end of a rule line."""

import re
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from papayapost.rules.faults import RuleFault
from papayapost.rules.tokens import RuleLine, Word
from papayapost.states import LinkUse, Rank

__all__ = [
    "DecimalReader",
    "FlagReader",
    "LinkReader",
    "NumberReader",
    "OptionReader",
    "PercentReader",
    "RankReader",
    "rank_names",
    "read_options",
]

_LINK_USES = {use.value: use for use in LinkUse}
_RANKS = {rank.name.lower(): rank for rank in Rank}


class OptionReader(ABC):
    """Reads the value of one option.

    Attributes
    ----------
    expected
        Description of the valid values, for the remedy of a finding.
    """

    expected: str

    @abstractmethod
    def read(self, text: str) -> object:
        """Return the value of a text, or None if the text is invalid."""


class FlagReader(OptionReader):
    """Reads ``yes`` or ``no``."""

    expected = "yes or no"

    def read(self, text: str) -> bool | None:
        """Return the value of a text, or None if the text is invalid."""
        return {"yes": True, "no": False}.get(text)


class LinkReader(OptionReader):
    """Reads whether and when calls take the link between regions.

    Examples
    --------
    >>> LinkReader().read("last")
    <LinkUse.LAST: 'last'>
    """

    def __init__(self):
        self.expected = ", ".join(use.value for use in LinkUse)

    def read(self, text: str) -> LinkUse | None:
        """Return the value of a text, or None if the text is invalid."""
        return _LINK_USES.get(text)


class RankReader(OptionReader):
    """Reads the name of a rank.

    Examples
    --------
    >>> RankReader().read("urgent").name
    'URGENT'
    """

    def __init__(self):
        self.expected = f"one of {rank_names()}"

    def read(self, text: str) -> Rank | None:
        """Return the value of a text, or None if the text is invalid."""
        return _RANKS.get(text)


class NumberReader(OptionReader):
    """Reads a whole number between two bounds, both included."""

    def __init__(self, low: int, high: int):
        self._low = low
        self._high = high
        self.expected = f"a number from {low} to {high}"

    def read(self, text: str) -> int | None:
        """Return the value of a text, or None if the text is invalid."""
        if not text.isascii() or not text.isdigit() or len(text) > 9:
            return None
        value = int(text)
        return value if self._low <= value <= self._high else None


class DecimalReader(OptionReader):
    """Reads a decimal number between two bounds, both included.

    Examples
    --------
    >>> DecimalReader(0, 100).read("2.5"), DecimalReader(0, 100).read("1e3")
    (2.5, None)
    """

    _PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")

    def __init__(self, low: float, high: float):
        self._low = low
        self._high = high
        self.expected = f"a number from {low} to {high}, with decimals if needed"

    def read(self, text: str) -> float | None:
        """Return the value of a text, or None if the text is invalid."""
        if not self._PATTERN.fullmatch(text):
            return None
        value = float(text)
        return value if self._low <= value <= self._high else None


class PercentReader(NumberReader):
    """Reads a whole percentage; the percent sign may be left out.

    Examples
    --------
    >>> PercentReader(0, 100).read("25%")
    25
    """

    def __init__(self, low: int, high: int):
        super().__init__(low, high)
        self.expected = f"{low}% to {high}%"

    def read(self, text: str) -> int | None:
        """Return the value of a text, or None if the text is invalid."""
        return super().read(text.removesuffix("%"))


def rank_names() -> str:
    """Return the names of all ranks as one text, the most urgent first."""
    return ", ".join(_RANKS)


def read_options(
    line: RuleLine,
    words: Sequence[Word],
    readers: Mapping[str, OptionReader],
    values: object,
) -> None:
    """Read the options of a line into the attributes of `values`.

    An unknown, repeated or invalid option is reported at the line, and its
    attribute keeps its value.

    Parameters
    ----------
    words
        The words of the line that are options.
    readers
        Readers of the options that the line may have, by option name.
    values
        Object with one attribute for each option, set to the default.
    """
    given_names: set[str] = set()
    for word in words:
        name = word.text.partition("=")[0]
        reader = readers.get(name)
        if reader is None:
            _report_unknown_option(line, word, name, readers)
        elif name in given_names:
            line.report(
                RuleFault.DUPLICATE_OPTION,
                word.column,
                f"option {name!r} is given twice",
                "keep one of the two",
            )
        elif (value := _read_value(line, word, reader)) is not None:
            setattr(values, name, value)
        given_names.add(name)


def _read_value(line: RuleLine, word: Word, reader: OptionReader) -> object:
    """Return an option's value, or None after a missing or invalid one."""
    name, _, text = word.text.partition("=")
    if not text:
        line.report(
            RuleFault.MISSING_VALUE,
            word.column,
            f"option {name!r} has no value",
            f"write '{name}=' and {reader.expected}, without spaces",
        )
        return None
    value = reader.read(text)
    if value is None:
        line.report(
            RuleFault.BAD_VALUE,
            word.column,
            f"invalid value {text!r} of option {name!r}",
            f"give {reader.expected}",
        )
    return value


def _report_unknown_option(
    line: RuleLine, word: Word, name: str, readers: Mapping[str, OptionReader]
) -> None:
    line.report(
        RuleFault.UNKNOWN_OPTION,
        word.column,
        f"unknown option {name!r}",
        f"use only the options {', '.join(readers)}",
    )
