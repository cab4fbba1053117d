import json
from pathlib import Path

import pytest
from pydantic import BaseModel

from papayapost.errors import SettingsRefused
from papayapost_node.security import new_key_pair
from papayapost_node.settings import KeysFile, Settings, load_keys, load_settings

PAGE = Path(__file__).parents[3] / "docs" / "SETTINGS.md"
GOOD = {
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


def places_of(folder: Path, changes: dict, removed: tuple[str, ...] = ()) -> list[str]:
    """Return the code and the place of each finding of changed settings."""
    settings = {key: value for key, value in GOOD.items() if key not in removed}
    path = folder / "settings.json"
    path.write_text(json.dumps(settings | changes))
    with pytest.raises(SettingsRefused) as refused:
        load_settings(path)
    return [f"{item.code} {item.place}" for item in refused.value.findings]


def backend(**changes) -> dict:
    return {"backend_server": {**GOOD["backend_server"], **changes}}


def test_good_settings_are_taken(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(GOOD))
    assert load_settings(path) == Settings.model_validate_json(json.dumps(GOOD))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"sedes": []}, "S003 sedes"),
        (backend(slot=1), "S003 backend_server.slot"),
        ({"node_id": 7}, "S005 node_id"),
        ({"node_id": "No 1"}, "S007 node_id"),
        ({"http": {"connections": "many"}}, "S005 http.connections"),
        (backend(slots=0), "S006 backend_server.slots"),
        (backend(slots=True), "S005 backend_server.slots"),
        ({"drain_limit_ms": -1}, "S006 drain_limit_ms"),
        ({"caller_address": "localhost:80"}, "S007 caller_address"),
        ({"caller_address": "127.0.0.1:99999"}, "S007 caller_address"),
        ({"seeds": ["127.0.0.1:1", "127.0.0.1"]}, "S007 seeds.1"),
        ({"seeds": ["127.0.0.1:1", "127.0.0.1:1"]}, "S008 seeds.1"),
        ({"peer_address": "127.0.0.1:8080"}, "S008 peer_address"),
        (backend(address="127.0.0.1:8080"), "S008 backend_server.address"),
        (backend(connections=7), "S009 backend_server.connections"),
        ({"security": {"mode": "trust"}}, "S007 security.mode"),
        ({"security": {"mode": "curve"}}, "S010 security.keys_file"),
    ],
)
def test_a_wrong_value_is_named_with_its_path(tmp_path, changes, expected):
    assert places_of(tmp_path, changes) == [expected]


def test_all_findings_come_together(tmp_path):
    changes = {
        "peer_address": "127.0.0.1:8080",
        "extra": 1,
        "security": {"mode": "curve", "keys_file": str(tmp_path / "none.json")},
        **backend(slots=-1),
    }
    assert places_of(tmp_path, changes, ("region",)) == [
        "S004 region",
        "S006 backend_server.slots",
        "S003 extra",
        "S008 peer_address",
        f"S001 {tmp_path / 'none.json'}",
    ]


def test_there_is_no_default_for_security(tmp_path):
    assert places_of(tmp_path, {}, ("security",)) == ["S004 security"]


@pytest.mark.parametrize(
    ("content", "code"),
    [(b"{", "S002"), (b"", "S002"), (b"\xff\xfe", "S001"), (b"[1]", "S005")],
)
def test_a_file_that_holds_no_settings_is_refused(tmp_path, content, code):
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    with pytest.raises(SettingsRefused) as refused:
        load_settings(path)
    assert [item.code for item in refused.value.findings] == [code]


def keys_file(folder: Path, allowed: list[dict], **own) -> Path:
    pair = new_key_pair()
    keys = {"public_key": pair.public_key, "secret_key": pair.secret_key} | own
    path = folder / "keys.json"
    path.write_text(json.dumps({"own": keys, "allowed": allowed}))
    return path


def new_key(data_centre: str = "north-1", **more) -> dict:
    return {"public_key": new_key_pair().public_key, "data_centre": data_centre, **more}


def test_two_generations_of_keys_are_taken_and_a_third_is_refused(tmp_path):
    allowed = [new_key(), new_key(), new_key("south-1"), new_key(node_id="n7")]
    assert len(load_keys(keys_file(tmp_path, allowed)).allowed_rows()) == 4
    path = keys_file(tmp_path, [*allowed, new_key()])
    with pytest.raises(SettingsRefused, match="S009 north-1 has more than 2 keys"):
        load_keys(path)


def test_a_bad_key_is_refused_without_showing_the_secret(tmp_path):
    secret = new_key_pair().secret_key
    twice = new_key()
    allowed = [twice, twice, {**new_key("south-1"), "public_key": "\\" * 40}]
    path = keys_file(tmp_path, allowed, secret_key=secret)
    with pytest.raises(SettingsRefused) as refused:
        load_keys(path)
    codes = [item.code for item in refused.value.findings]
    assert codes == ["S011", "S008", "S011"]
    assert secret not in str(refused.value)
    path = keys_file(tmp_path, [], secret_key=secret[:-1])
    with pytest.raises(SettingsRefused) as refused:
        load_keys(path)
    assert secret[:-1] not in str(refused.value)


def keys_of(model: type[BaseModel], prefix: str = "") -> dict[str, str]:
    """Return each key with its default as JSON."""
    keys = {}
    for name, field in model.model_fields.items():
        inner = [
            kind
            for kind in (field.annotation, *getattr(field.annotation, "__args__", ()))
            if isinstance(kind, type) and issubclass(kind, BaseModel)
        ]
        if inner:
            is_list = "list" in str(field.annotation)
            keys |= keys_of(inner[0], f"{prefix}{name}{'.N' if is_list else ''}.")
        else:
            default = "needed" if field.is_required() else json.dumps(field.default)
            keys[f"{prefix}{name}"] = default
    return keys


@pytest.mark.parametrize("model", [Settings, KeysFile])
def test_the_page_names_every_key_with_its_default(model):
    rows = [line.split("|") for line in PAGE.read_text().splitlines() if "|" in line]
    heading = {Settings: "## Settings file", KeysFile: "## Keys file"}[model]
    section = PAGE.read_text().partition(heading)[2].partition("\n## ")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("| `")]
    told = {row[1].strip(" `"): row[2].strip(" `") for row in rows}
    assert told == keys_of(model)
