import doctest
import re
from pathlib import Path

PAGE = Path(__file__).parents[3] / "docs" / "LIBRARY.md"
STANDARD_MODULES = {"dataclasses", "random"}


def test_every_example_on_the_library_page_passes():
    flags = doctest.NORMALIZE_WHITESPACE
    failed, attempted = doctest.testfile(
        str(PAGE), module_relative=False, optionflags=flags, encoding="utf-8"
    )
    assert failed == 0
    assert attempted > 50


def test_the_examples_import_only_papayapost():
    modules = re.findall(
        r"^(?:>>>|\.\.\.) (?:from|import) (\w+)", PAGE.read_text(), re.M
    )
    assert set(modules) - STANDARD_MODULES == {"papayapost"}
