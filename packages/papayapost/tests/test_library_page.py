import doctest
import re
from pathlib import Path

PAGE = Path(__file__).parents[3] / "docs" / "LIBRARY.md"
STANDARD = {"dataclasses", "random"}


def test_every_example_of_the_page_runs():
    flags = doctest.NORMALIZE_WHITESPACE
    failed, attempted = doctest.testfile(
        str(PAGE), module_relative=False, optionflags=flags, encoding="utf-8"
    )
    assert failed == 0
    assert attempted > 50


def test_the_examples_import_the_decision_package_alone():
    modules = re.findall(
        r"^(?:>>>|\.\.\.) (?:from|import) (\w+)", PAGE.read_text(), re.M
    )
    assert set(modules) - STANDARD == {"papayapost"}
