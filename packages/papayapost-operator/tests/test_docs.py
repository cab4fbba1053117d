import dataclasses
import re
from pathlib import Path

import pytest

from papayapost.errors import ErrorCode
from papayapost.record.apply import ApplyReport
from papayapost.record.queries import LogReport, StatusOverview
from papayapost.rules import RuleFault, compile_rules
from papayapost_node.settings_file import SettingsFault
from papayapost_operator.check import CheckReport
from papayapost_operator.exit_codes import ExitCode
from papayapost_operator.explain import ExplainReport

DOCS = Path(__file__).parents[3] / "docs"
ROW = re.compile(r"^\| (PP\d+|[RS]\d+) \| (\w+) \|", re.MULTILINE)


def test_the_errors_page_lists_every_error_code_and_no_other():
    codes = {str(code): code.name for code in ErrorCode}
    for faults in (RuleFault, SettingsFault):
        codes |= {fault.value: fault.name for fault in faults}
    listed = ROW.findall((DOCS / "ERRORS.md").read_text())
    assert dict(listed) == codes
    assert len(listed) == len(codes)


def test_the_tool_page_lists_every_exit_code_and_no_other():
    listed = re.findall(
        r"^\| (\d+) \| (\w+) \|", (DOCS / "PAPAYA.md").read_text(), re.M
    )
    assert dict(listed) == {str(int(code)): code.name for code in ExitCode}


def test_the_rules_examples_of_both_deployments_compile():
    examples = re.findall(r"```rules\n(.*?)```", (DOCS / "RULES.md").read_text(), re.S)
    counts = [len(compile_rules(text).routes) for text in examples]
    assert counts == [7, 4]


@pytest.mark.parametrize(
    ("command", "report"),
    [
        ("check", CheckReport),
        ("apply", ApplyReport),
        ("explain", ExplainReport),
        ("log", LogReport),
        ("status", StatusOverview),
    ],
)
def test_the_tool_page_lists_the_fields_of_every_report(command, report):
    page = (DOCS / "PAPAYA.md").read_text()
    row = re.findall(rf"^\| `{command}` \| (.*) \|$", page, re.M)[-1]
    listed = re.findall(r"`(\w+)`", re.sub(r"\([^)]*\)| with .*", "", row))
    names = [item.name for item in dataclasses.fields(report)]
    assert listed == names


@pytest.mark.parametrize("page", ["RULES.md", "ERRORS.md", "PAPAYA.md"])
def test_links_between_pages_point_to_existing_files(page):
    targets = re.findall(r"\]\((?!http)([^)#]+)", (DOCS / page).read_text())
    assert [name for name in targets if not (DOCS / name).exists()] == []
