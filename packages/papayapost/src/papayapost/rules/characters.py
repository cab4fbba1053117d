"""Checks the size and the characters of a rules text."""

import re
from collections.abc import Iterator

from papayapost.findings import Finding
from papayapost.rules.faults import RuleFault

__all__ = ["MAX_TEXT_BYTES", "check_characters", "check_size", "decode_text"]

MAX_TEXT_BYTES = 1_000_000
"""Bytes of UTF-8; the object store holds values up to a megabyte."""

# Bidirectional controls and separators that editors show as line ends would
# let a line read differently from how it compiles.
_HIDDEN = "\u2028\u2029\u202a-\u202e\u2066-\u2069\ufeff"
_UNDECODED = "\ud800-\udfff"
_SUSPECT = re.compile(f"[\x00-\x08\x0b-\x1f\x7f-\x9f{_HIDDEN}{_UNDECODED}]")


def decode_text(data: bytes) -> str:
    r"""Return the text of an object's bytes, whatever they are.

    Bytes that are not UTF-8 become lone surrogates, which `compile_rules`
    reports with their line and column.

    Examples
    --------
    >>> decode_text(b"a\xff")
    'a\udcff'
    """
    return data.decode("utf-8", "surrogateescape")


def check_size(text: str) -> Finding | None:
    """Return a finding if the text is larger than `MAX_TEXT_BYTES`."""
    if len(text) * 4 <= MAX_TEXT_BYTES:
        return None
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes <= MAX_TEXT_BYTES:
        return None
    return Finding(
        RuleFault.TEXT_TOO_LARGE.value,
        "1:1",
        f"the text has {size_bytes} bytes, over {MAX_TEXT_BYTES}",
        "remove rules that are no longer needed, or join paths by a prefix",
    )


def check_characters(text: str) -> Iterator[Finding]:
    """Yield a finding for each character that may not stand in a text."""
    # These calls run at a nanosecond a character, the search at ten.
    plain = text.replace("\r\n", "").replace("\n", "").replace("\t", "")
    if plain.isprintable() or _SUSPECT.search(text) is None:
        return
    for number, line in enumerate(text.split("\n"), 1):
        for match in _SUSPECT.finditer(line.removesuffix("\r")):
            yield _finding_of(match.group(), number, match.start() + 1)


def _finding_of(character: str, line: int, column: int) -> Finding:
    place = f"{line}:{column}"
    code_point = ord(character)
    if 0xD800 <= code_point <= 0xDFFF:
        return Finding(
            RuleFault.NOT_UTF8.value,
            place,
            f"byte 0x{code_point & 0xFF:02x} is not UTF-8",
            "save the file as UTF-8",
        )
    return Finding(
        RuleFault.CONTROL_CHARACTER.value,
        place,
        f"control character U+{code_point:04X}",
        "remove it; only tabs, spaces and line ends may part words",
    )
