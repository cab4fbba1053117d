import re
from pathlib import Path

from papayapost.traffic import RefusalCode

PAGE = Path(__file__).parents[4] / "docs" / "CALLS.md"


def test_the_calls_page_lists_exactly_the_refusal_codes():
    codes = re.findall(r"^\| `([a-z-]+)` \| \d{3} \|", PAGE.read_text(), re.M)
    assert sorted(codes) == sorted(code.value for code in RefusalCode)
