import json

import pytest

from papayapost_operator.check import CheckCommand
from papayapost_operator.main import run

RULES = "route GET wind.example/gusts/* -> gusts rank=urgent # Lin: launches\n"


@pytest.fixture
def rules_file(tmp_path):
    path = tmp_path / "mesh.rules"
    path.write_text(RULES)
    return str(path)


@pytest.mark.parametrize(
    ("words", "expected_text"),
    [
        ([], "no command is named"),
        (["undo"], "unknown command 'undo'"),
        (["__class__"], "unknown command"),
        (["check"], "required argument: file"),
        (["check", "FILE", "run"], "Could not consume arg"),
        (["check", "FILE", "--colour", "red"], "--colour"),
        (["check", "FILE", "--", "--interactive"], "'--' is no option"),
        (["log", "--store"], "--store has no value"),
        (["log", "-s", "127.0.0.1:1"], "'-s' is no option"),
        (["log", "--store", "localhost:1"], "is not an address"),
        (["log", "--store", "127.0.0.1:1", "--limit", "many"], "--limit 'many'"),
        (["apply", "FILE"], "no store is named"),
        (["apply", "FILE", "--preview", "no"], "--preview takes no value"),
        (["apply", "FILE", "--store=127.0.0.1:1", "--base=-1"], "--base '-1'"),
        (["apply", "FILE", "--store=127.0.0.1:1", "--message=a\x1b"], "printable"),
        (["explain", "GET", "http://[/", "--file", "FILE"], "is not a URL"),
    ],
)
def test_a_mistake_on_the_command_line_is_reported_as_a_usage_error(
    words, expected_text, rules_file, capsys
):
    assert run([rules_file if word == "FILE" else word for word in words]) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err.startswith("PP701: ")
    assert expected_text in output.err
    assert "Traceback" not in output.err


def test_an_unreadable_file_is_reported_with_its_error_code(tmp_path, capsys):
    for path in (tmp_path / "none", tmp_path, "a\0b"):
        assert run(["check", str(path)]) == 2
        assert capsys.readouterr().err.startswith("PP702: ")


@pytest.mark.parametrize(
    ("raised", "exit_code", "code"),
    [(KeyboardInterrupt(), 130, "PP705"), (RuntimeError("odd state"), 70, "PP902")],
)
def test_an_interrupt_and_an_internal_error_are_reported_with_their_codes(
    raised, exit_code, code, rules_file, monkeypatch, capsys
):
    def fail(command: CheckCommand) -> None:
        raise raised

    monkeypatch.setattr(CheckCommand, "run", fail)
    assert run(["check", rules_file]) == exit_code
    assert capsys.readouterr().err.startswith(f"{code}: ")


def test_help_is_printed_to_standard_output_on_request(capsys):
    assert run(["apply", "--help"]) == 0
    output = capsys.readouterr()
    assert "--preview" in output.out
    assert output.err == ""


def test_check_reports_every_finding_with_its_place(rules_file, tmp_path, capsys):
    assert run(["check", rules_file]) == 0
    assert "1 routes, 0 shares, 1 services" in capsys.readouterr().out
    bad = tmp_path / "bad.rules"
    bad.write_bytes(b"route GET /a -> A\n# \xff\n" + b"share x # Mei: why")
    assert run(["check", str(bad), "--json"]) == 2
    document = json.loads(capsys.readouterr().out)
    assert document["error"]["code"] == "PP101"
    found = [(item["place"], item["code"]) for item in document["report"]["findings"]]
    assert found == [
        ("1:17", "R007"),
        ("1:18", "R001"),
        ("2:3", "R019"),
        ("3:7", "R004"),
    ]
    assert run(["check", str(bad)]) == 2
    printed = capsys.readouterr()
    assert [line.count("R007") for line in printed.out.splitlines()] == [1, 0, 0, 0]
    assert printed.err == "PP101: 4 findings\n"
    bad.write_bytes(b"#" * 2_000_000)
    assert run(["check", str(bad)]) == 2
    assert "R020" in capsys.readouterr().out


def test_all_findings_of_a_settings_file_are_reported_together(tmp_path, capsys):
    path = tmp_path / "papaya.json"
    settings = {
        "store_addres": "127.0.0.1:1",
        "store_timeout_ms": 1,
        "operator": 7,
        "data_centres": ["n1", "North 2"],
    }
    path.write_text(json.dumps(settings))
    assert run(["log", "--settings", str(path)]) == 2
    lines = capsys.readouterr().err.removeprefix("PP201: ").splitlines()
    assert [line.split()[:2] for line in lines] == [
        ["store_address", "S004"],
        ["store_timeout_ms", "S006"],
        ["operator", "S005"],
        ["data_centres.1", "S007"],
        ["store_addres", "S003"],
    ]
    for text, code in (("{", "S002"), ('{"store_address": "h:1"}', "S007")):
        path.write_text(text)
        assert run(["log", "--settings", str(path)]) == 2
        assert code in capsys.readouterr().err
    assert run(["log", "--settings", str(tmp_path / "none")]) == 2
    assert f"{tmp_path / 'none'} S001" in capsys.readouterr().err
