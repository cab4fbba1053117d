"""Checks the size and the characters of a rules text."""

import re
from collections.abc import Iterator

from papayapost.findings import Finding
from papayapost.rules.faults import RuleFault

__all__ = [
    "MAX_TEXT_BYTES",
    "check_characters",
    "check_size",
    "decode_text",
    "owner_label",
]

MAX_TEXT_BYTES = 1_000_000
"""Default size limit in bytes of UTF-8; the object store takes values up to
1 MB. A mesh whose rules come from another document has a limit of its own."""

# Bidirectional controls, Unicode line separators and the byte order mark are
# refused because an editor shows such a line differently from how it compiles.
_MISLEADING = "\u2028\u2029\u202a-\u202e\u2066-\u2069\ufeff"
_LONE_SURROGATES = "\ud800-\udfff"
_FORBIDDEN = re.compile(f"[\x00-\x08\x0b-\x1f\x7f-\x9f{_MISLEADING}{_LONE_SURROGATES}]")

_NOT_IN_OWNER = re.compile(rf"[#\t\n]|{_FORBIDDEN.pattern}")
_NO_OWNER = "unnamed"


def owner_label(name: str) -> str:
    """Return a name in a form that can be the owner of a rule.

    Each character that would end or break the comment becomes ``_``. The text
    before the first colon is the owner, and must not be empty.

    Examples
    --------
    >>> owner_label("r#7"), owner_label(""), owner_label(": b")
    ('r_7', 'unnamed', 'unnamed: b')
    """
    label = _NOT_IN_OWNER.sub("_", name)
    return label if label.partition(":")[0].strip() else f"{_NO_OWNER}{label.strip()}"


def decode_text(data: bytes) -> str:
    r"""Decode the bytes of a stored rules text without ever failing.

    Bytes that are not UTF-8 become lone surrogates, which `compile_rules`
    reports with their line and column.

    Examples
    --------
    >>> decode_text(b"a\xff")
    'a\udcff'
    """
    return data.decode("utf-8", "surrogateescape")


def check_size(text: str, max_bytes: int) -> Finding | None:
    """Return a finding if the text exceeds a size limit, else None."""
    if len(text) * 4 <= max_bytes:
        return None
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes <= max_bytes:
        return None
    return Finding(
        RuleFault.TEXT_TOO_LARGE.value,
        "1:1",
        f"the text has {size_bytes} bytes, more than the limit of {max_bytes}",
        "remove rules that are no longer needed, or merge paths into a prefix",
    )


def check_characters(text: str) -> Iterator[Finding]:
    """Yield a finding for each character that a rules text may not hold."""
    # The string methods take about 1 ns a character, the regular expression
    # about 10 ns. It runs only on texts that the string methods do not pass.
    remaining = text.replace("\r\n", "").replace("\n", "").replace("\t", "")
    if remaining.isprintable() or _FORBIDDEN.search(text) is None:
        return
    for number, line in enumerate(text.split("\n"), 1):
        for match in _FORBIDDEN.finditer(line.removesuffix("\r")):
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
        "remove it; only tabs, spaces and line ends may separate words",
    )
