import asyncio
import json
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayapost.distribution import (
    Laggard,
    RefusedVersion,
    StatusReport,
)
from papayapost.findings import Finding
from papayapost.ids import DataCentreId, NodeId, RuleVersion
from papayapost_node.store import HttpStoreClient
from papayapost_node.store.values import encode_value
from papayapost_operator.apply import ApplyCommand
from papayapost_operator.exit_codes import exit_code_of
from papayapost_operator.main import run
from papayapost_operator.settings import StoreOptions
from papayapost_testing import ObjectStoreStandIn
from papayapost_testing.ports import free_addresses
from papayapost_testing.store import FaultsRow


def rule(path: str, owner: str = "Ana") -> str:
    return f"route GET oleaje.example/{path} -> counter # {owner}: asked for\n"


class OperatorHarness:
    """Runs papaya commands against a store stand-in.

    The stand-in runs on an event loop in a thread of its own.
    """

    def __init__(self, folder, capsys):
        (self.address,) = free_addresses(1)
        self._folder = folder
        self._capsys = capsys
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._store = ObjectStoreStandIn(self.address)

    def start(self) -> None:
        self._thread.start()
        self._run_on_store_loop(self._store.start())

    def close(self) -> None:
        self._run_on_store_loop(self._store.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def set_faults(self, **faults) -> None:
        async def set_store_faults() -> None:
            self._store.set_faults(FaultsRow(**faults))

        self._run_on_store_loop(set_store_faults())

    def update_object(self, kind: str, name: str, value: bytes) -> int:
        async def update() -> int:
            client = HttpStoreClient(self.address)
            current = await client.read(kind, name)
            version = await client.update(kind, name, value, current.version)
            client.close()
            return version

        return asyncio.run(update())

    def file(self, text: str, name: str = "mesh.rules") -> str:
        path = self._folder / name
        path.write_text(text)
        return str(path)

    def json(self, *arguments: str) -> dict:
        run([*arguments, "--store", self.address, "--json"])
        return json.loads(self._capsys.readouterr().out)

    def apply(self, text: str, operator: str, *arguments: str) -> dict:
        return self.json("apply", self.file(text), "--operator", operator, *arguments)

    def text(self, *arguments: str) -> str:
        run([*arguments, "--store", self.address])
        return self._capsys.readouterr().out

    def _run_on_store_loop(self, coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)


@pytest.fixture
def harness(tmp_path, capsys):
    harness = OperatorHarness(tmp_path, capsys)
    harness.start()
    yield harness
    harness.close()


def test_the_log_shows_which_operator_changed_which_rule(harness):
    first = harness.apply(rule("status/*"), "mei", "--message", "1, 2")
    harness.apply(rule("status/*", "Bo") + rule("scans/*"), "lin")
    assert (first["exit_code"], first["error"]) == (0, None)
    entries = harness.json("log")["report"]["entries"]
    assert [(e["operator"], e["message"]) for e in entries] == [
        ("lin", ""),
        ("mei", "1, 2"),
    ]
    assert all(e["overtaken"] == [] for e in entries)
    (entry,) = harness.json("log", "--rule", "scans")["report"]["entries"]
    assert [c["after"] for c in entry["changes"]["changes"]] == [
        rule("scans/*").strip()
    ]
    by_bo = harness.json("log", "--owner", "Bo", "--limit", "5")["report"]
    assert [e["operator"] for e in by_bo["entries"]] == ["lin"]
    limited = harness.json("log", "--limit", "1")["report"]
    assert (len(limited["entries"]), limited["is_whole"]) == (1, False)
    assert "applied by mei: 1, 2" in harness.text("log")


def test_one_of_several_concurrent_applies_wins_and_the_others_name_the_winner(harness):
    base = harness.apply(rule("a"), "ana")["report"]["version"]
    names = ["mei", "lin", "bo", "iker"]
    files = [harness.file(rule("a") + rule(name), f"{name}.rules") for name in names]

    def race(name: str, file: str) -> int:
        store = StoreOptions(harness.address, "")
        command = ApplyCommand(file, store, name, "", str(base), False)
        return exit_code_of(command.run().error)

    with ThreadPoolExecutor(4) as pool:
        codes = list(pool.map(race, names, files))
    assert sorted(codes) == [0, 3, 3, 3]
    winner = names[codes.index(0)]
    entries = harness.json("log")["report"]["entries"]
    assert [e["operator"] for e in entries] == [winner, "ana"]
    stale = harness.apply(rule("late"), "eva", "--base", str(base))
    assert (stale["exit_code"], stale["error"]["code"]) == (3, "PP703")
    assert stale["report"]["earlier"]["operator"] == winner
    assert [c["kind"] for c in stale["report"]["differing"]] == [
        "added",
        "removed",
        "removed",
    ]


def test_lost_replies_cause_neither_a_second_update_nor_a_lost_record(harness):
    harness.set_faults(lost_replies=4)
    report = harness.apply(rule("a"), "mei")["report"]
    assert (report["outcome"], report["is_recorded"]) == ("accepted", True)
    status = harness.json("status")["report"]
    assert status["version"] == report["version"]
    assert status["last_change"]["operator"] == "mei"
    assert len(harness.json("log")["report"]["entries"]) == 1


def test_a_store_that_is_down_or_too_slow_gives_error_pp301(harness, tmp_path):
    settings = {"store_address": harness.address, "store_timeout_ms": 50}
    path = harness.file(json.dumps(settings), "papaya.json")
    harness.apply(rule("a"), "mei")
    apply = ["apply", harness.file(rule("b")), "--operator", "lin"]
    for faults, arguments in (
        ({"is_down": True}, ["explain", "GET", "/a"]),
        ({"is_down": True}, ["status"]),
        ({"is_frozen": True}, ["log"]),
        ({"is_down": True}, apply),
        ({"slow_ms": 400}, apply),
    ):
        harness.set_faults(**faults)
        document = harness.json(*arguments, "--settings", path)
        assert document["exit_code"] == 1
        assert document["error"]["code"] == "PP301"
    harness.set_faults()
    assert [e["operator"] for e in harness.json("log")["report"]["entries"]] == ["mei"]


def test_rules_changed_directly_in_the_store_get_a_log_entry_before_an_apply(harness):
    harness.apply(rule("a"), "mei")
    edited = harness.update_object("config", "rules", b"route GET /a -> caf\xe9")
    status = harness.json("status")["report"]
    assert status["version"] == edited
    assert {item["code"] for item in status["findings"]} >= {"R001", "R019"}
    assert harness.apply(rule("b"), "lin")["report"]["outcome"] == "accepted"
    entries = harness.json("log")["report"]["entries"]
    assert [e["attribution"] for e in entries] == ["applied", "refused", "applied"]
    assert "does not compile" in harness.text("log")


def test_an_undecodable_record_stops_an_apply(harness):
    harness.apply(rule("a"), "mei")
    harness.update_object("record", "rules", b"{")
    document = harness.apply(rule("b"), "lin")
    assert (document["exit_code"], document["error"]["code"]) == (1, "PP301")
    assert "does not decode" in document["error"]["message"]


def test_status_shows_the_version_of_each_data_centre_and_refused_versions(harness):
    version = RuleVersion(harness.apply(rule("a"), "mei")["report"]["version"])
    finding = Finding("R001", "1:1", "no owner", "add one")
    report = StatusReport(
        DataCentreId("n1"),
        NodeId("r1"),
        version,
        3,
        4,
        (Laggard(NodeId("v4"), RuleVersion(0), "service 'counter' is not known"),),
        RefusedVersion(RuleVersion(version + 1), (finding,)),
    )
    harness.update_object("status", "n1", encode_value(report))
    shown = harness.text("status", "--data_centres", "n1,n2").splitlines()
    assert f"n1: version {version} on 3 of 4 nodes (told by r1)" in shown
    assert "  v4 holds 0: service 'counter' is not known" in shown
    assert "    1:1 R001 no owner; add one" in shown
    assert "n2: no report in the store yet" in shown


def test_explain_reads_the_rules_in_the_store(harness):
    harness.apply(rule("status/*") + rule("scans/*", "Iker"), "mei")
    document = harness.json("explain", "get", "https://oleaje.example:443/scans/7?a=b")
    explanation = document["report"]["explanation"]
    assert explanation["route"]["owner"] == "Iker"
    assert "line 2" in harness.text("explain", "GET", "oleaje.example/scans/7")


def test_a_preview_and_a_refused_file_write_nothing(harness):
    preview = harness.apply(rule("a"), "mei", "--preview")
    assert [c["kind"] for c in preview["report"]["changes"]] == ["added"]
    refused = harness.apply("route", "mei")
    assert (refused["exit_code"], refused["error"]["code"]) == (2, "PP101")
    assert harness.json("status")["report"]["version"] == 0
