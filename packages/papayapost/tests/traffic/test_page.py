import re
from pathlib import Path

from papayapost.traffic import RefusalCode

PAGE = Path(__file__).parents[4] / "docs" / "CALLS.md"


def test_every_refusal_code_stands_in_the_page_of_calls_and_no_other():
    codes = re.findall(r"^\| `([a-z-]+)` \| \d{3} \|", PAGE.read_text(), re.M)
    assert sorted(codes) == sorted(code.value for code in RefusalCode)
