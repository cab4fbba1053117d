"""Tests of the validation of settings files and keys files."""

import json
from pathlib import Path

import msgspec
import pytest

from papayapost.errors import SettingsRefused
from papayapost_node.security import new_key_pair
from papayapost_node.settings import KeysFile, Settings, load_keys, load_settings
from papayapost_node.settings_file import SettingsModel

SETTINGS_PAGE = Path(__file__).parents[3] / "docs" / "SETTINGS.md"
VALID_SETTINGS = {
    "node_id": "n1",
    "data_centre": "north-1",
    "region": "north",
    "caller_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "store_address": "127.0.0.1:8082",
    "security": {"mode": "none"},
    "seeds": ["127.0.0.1:8081"],
    "backend_server": {
        "service": "gusts",
        "address": "127.0.0.1:8083",
        "slots": 8,
        "connections": 100,
    },
}


def findings_of(
    folder: Path, changes: dict, removed: tuple[str, ...] = ()
) -> list[str]:
    """Return the code and place of each finding in changed valid settings."""
    settings = {
        key: value for key, value in VALID_SETTINGS.items() if key not in removed
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings | changes))
    with pytest.raises(SettingsRefused) as refused:
        load_settings(path)
    return [f"{item.code} {item.place}" for item in refused.value.findings]


def with_backend_server(**changes) -> dict:
    """Return valid settings of a backend server with the given changes."""
    return {"backend_server": {**VALID_SETTINGS["backend_server"], **changes}}


def test_valid_settings_are_loaded(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID_SETTINGS))
    loaded = load_settings(path)
    assert loaded == msgspec.convert(VALID_SETTINGS, Settings)
    backend = loaded.backend_server
    assert (backend.slots, backend.report_interval_ms) == (8, 1_500)
    with pytest.raises(AttributeError):
        loaded.region = "south"


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"sedes": []}, "S003 sedes"),
        (with_backend_server(slot=1), "S003 backend_server.slot"),
        ({"node_id": 7}, "S005 node_id"),
        ({"node_id": "No 1"}, "S007 node_id"),
        ({"node_id": "n1\n"}, "S007 node_id"),
        (
            with_backend_server(health_path="/health\n"),
            "S007 backend_server.health_path",
        ),
        ({"http": {"connections": "many"}}, "S005 http.connections"),
        (with_backend_server(slots=0), "S006 backend_server.slots"),
        (with_backend_server(slots=True), "S005 backend_server.slots"),
        (with_backend_server(slots="8"), "S005 backend_server.slots"),
        (with_backend_server(slots=1.5), "S005 backend_server.slots"),
        (with_backend_server(health_path="x"), "S007 backend_server.health_path"),
        ({"backend_server": [1]}, "S005 backend_server"),
        ({"retry_budget": {"ratio": 0.2, "slack": 1}}, "S004 retry_budget.window_ms"),
        ({"seeds": "127.0.0.1:1"}, "S005 seeds"),
        ({"seeds": [7]}, "S005 seeds.0"),
        ({"link_mbps": -0.5}, "S006 link_mbps"),
        ({"slow_start": "fast"}, "S007 slow_start"),
        ({"security": {"mode": 1}}, "S005 security.mode"),
        ({"stop_limit_s": -1}, "S006 stop_limit_s"),
        ({"caller_address": "localhost:80"}, "S007 caller_address"),
        ({"caller_address": "127.0.0.1:99999"}, "S007 caller_address"),
        ({"seeds": ["127.0.0.1:1", "127.0.0.1"]}, "S007 seeds.1"),
        ({"seeds": ["127.0.0.1:1", "127.0.0.1:1"]}, "S008 seeds.1"),
        ({"peer_address": "127.0.0.1:8080"}, "S008 peer_address"),
        (with_backend_server(address="127.0.0.1:8080"), "S008 backend_server.address"),
        (with_backend_server(connections=7), "S009 backend_server.connections"),
        ({"security": {"mode": "trust"}}, "S007 security.mode"),
        ({"data_centres": {"south-1": "south"}}, "S009 data_centres.north-1"),
        ({"data_centres": {"north-1": "east"}}, "S009 data_centres.north-1"),
        ({"data_centres": ["north-1"]}, "S005 data_centres"),
        ({"security": {"mode": "curve"}}, "S010 security.keys_file"),
    ],
)
def test_an_invalid_value_gives_a_finding_with_its_code_and_path(
    tmp_path, changes, expected
):
    assert findings_of(tmp_path, changes) == [expected]


def test_all_findings_of_a_file_are_reported_at_once(tmp_path):
    changes = {
        "peer_address": "127.0.0.1:8080",
        "extra": 1,
        "security": {"mode": "curve", "keys_file": str(tmp_path / "none.json")},
        **with_backend_server(slots=-1),
    }
    assert findings_of(tmp_path, changes, ("region",)) == [
        "S004 region",
        "S006 backend_server.slots",
        "S003 extra",
        "S008 peer_address",
        f"S001 {tmp_path / 'none.json'}",
    ]


def test_settings_without_security_are_refused(tmp_path):
    assert findings_of(tmp_path, {}, ("security",)) == ["S004 security"]


@pytest.mark.parametrize(
    ("content", "code"),
    [(b"{", "S002"), (b"", "S002"), (b"\xff\xfe", "S001"), (b"[1]", "S005")],
)
def test_an_unreadable_or_malformed_file_is_refused(tmp_path, content, code):
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    with pytest.raises(SettingsRefused) as refused:
        load_settings(path)
    assert [item.code for item in refused.value.findings] == [code]


def write_keys_file(folder: Path, allowed: list[dict], **own) -> Path:
    """Write a keys file with a new key pair and return its path.

    `own` replaces keys of the new pair.
    """
    pair = new_key_pair()
    keys = {"public_key": pair.public_key, "secret_key": pair.secret_key} | own
    path = folder / "keys.json"
    path.write_text(json.dumps({"own": keys, "allowed": allowed}))
    return path


def new_allowed_key(data_centre: str = "north-1", **fields) -> dict:
    return {
        "public_key": new_key_pair().public_key,
        "data_centre": data_centre,
        **fields,
    }


def test_a_holder_may_have_two_keys_but_not_three(tmp_path):
    allowed = [
        new_allowed_key(),
        new_allowed_key(),
        new_allowed_key("south-1"),
        new_allowed_key(node_id="n7"),
    ]
    assert len(load_keys(write_keys_file(tmp_path, allowed)).allowed_rows()) == 4
    path = write_keys_file(tmp_path, [*allowed, new_allowed_key()])
    with pytest.raises(SettingsRefused, match="S009 north-1 has more than 2 keys"):
        load_keys(path)


def test_findings_about_invalid_keys_do_not_show_the_secret_key(tmp_path):
    secret = new_key_pair().secret_key
    duplicate = new_allowed_key()
    allowed = [
        duplicate,
        duplicate,
        {**new_allowed_key("south-1"), "public_key": "\\" * 40},
    ]
    path = write_keys_file(tmp_path, allowed, secret_key=secret)
    with pytest.raises(SettingsRefused) as refused:
        load_keys(path)
    codes = [item.code for item in refused.value.findings]
    assert codes == ["S011", "S008", "S011"]
    assert secret not in str(refused.value)
    path = write_keys_file(tmp_path, [], secret_key=secret[:-1])
    with pytest.raises(SettingsRefused) as refused:
        load_keys(path)
    assert secret[:-1] not in str(refused.value)


def defaults_of(model: type[SettingsModel], prefix: str = "") -> dict[str, str]:
    """Return the default of each key as JSON, or ``needed`` without one."""
    defaults = {}
    for field in msgspec.structs.fields(model):
        nested_models = [
            kind
            for kind in (field.type, *getattr(field.type, "__args__", ()))
            if isinstance(kind, type) and issubclass(kind, SettingsModel)
        ]
        place = f"{prefix}{field.name}"
        if nested_models:
            is_list = "list" in str(field.type)
            defaults |= defaults_of(nested_models[0], f"{place}{'.N' * is_list}.")
        elif field.required:
            defaults[place] = "needed"
        elif field.default_factory is not msgspec.NODEFAULT:
            defaults[place] = json.dumps(field.default_factory())
        else:
            defaults[place] = json.dumps(field.default)
    return defaults


@pytest.mark.parametrize("model", [Settings, KeysFile])
def test_the_settings_page_documents_the_default_of_every_key(model):
    rows = [
        line.split("|")
        for line in SETTINGS_PAGE.read_text().splitlines()
        if "|" in line
    ]
    heading = {Settings: "## Settings file", KeysFile: "## Keys file"}[model]
    section = SETTINGS_PAGE.read_text().partition(heading)[2].partition("\n## ")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("| `")]
    documented = {row[1].strip(" `"): row[2].strip(" `") for row in rows}
    assert documented == defaults_of(model)
