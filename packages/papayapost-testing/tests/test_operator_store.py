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
from papayapost_operator.exits import exit_code_of
from papayapost_operator.main import run
from papayapost_operator.settings import StoreOptions
from papayapost_testing import ObjectStoreStandIn
from papayapost_testing.ports import free_addresses
from papayapost_testing.store import FaultsRow


def rule(path: str, owner: str = "Ana") -> str:
    return f"route GET oleaje.example/{path} -> counter # {owner}: asked for\n"


class Bench:
    """A store stand-in on its own loop, and papaya run against it."""

    def __init__(self, folder, capsys):
        (self.address,) = free_addresses(1)
        self._folder = folder
        self._capsys = capsys
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._store = ObjectStoreStandIn(self.address)

    def start(self) -> None:
        self._thread.start()
        self._await(self._store.start())

    def close(self) -> None:
        self._await(self._store.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def faults(self, **faults) -> None:
        async def switch() -> None:
            self._store.set_faults(FaultsRow(**faults))

        self._await(switch())

    def edit(self, kind: str, name: str, value: bytes) -> int:
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

    def json(self, *words: str) -> dict:
        run([*words, "--store", self.address, "--json"])
        return json.loads(self._capsys.readouterr().out)

    def apply(self, text: str, operator: str, *words: str) -> dict:
        return self.json("apply", self.file(text), "--operator", operator, *words)

    def text(self, *words: str) -> str:
        run([*words, "--store", self.address])
        return self._capsys.readouterr().out

    def _await(self, work) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(10)


@pytest.fixture
def bench(tmp_path, capsys):
    bench = Bench(tmp_path, capsys)
    bench.start()
    yield bench
    bench.close()


def test_the_log_says_who_changed_which_rule_when(bench):
    first = bench.apply(rule("status/*"), "mei", "--message", "1, 2")
    bench.apply(rule("status/*", "Bo") + rule("scans/*"), "lin")
    assert (first["exit_code"], first["error"]) == (0, None)
    entries = bench.json("log")["report"]["entries"]
    assert [(e["operator"], e["message"]) for e in entries] == [
        ("lin", ""),
        ("mei", "1, 2"),
    ]
    assert all(e["overtaken"] == [] for e in entries)
    (entry,) = bench.json("log", "--rule", "scans")["report"]["entries"]
    assert [c["after"] for c in entry["changes"]["changes"]] == [
        rule("scans/*").strip()
    ]
    by_bo = bench.json("log", "--owner", "Bo", "--limit", "5")["report"]
    assert [e["operator"] for e in by_bo["entries"]] == ["lin"]
    limited = bench.json("log", "--limit", "1")["report"]
    assert (len(limited["entries"]), limited["is_whole"]) == (1, False)
    assert "applied by mei: 1, 2" in bench.text("log")


def test_of_racing_operators_one_wins_and_the_others_learn_who(bench):
    base = bench.apply(rule("a"), "ana")["report"]["version"]
    names = ["mei", "lin", "bo", "iker"]
    files = [bench.file(rule("a") + rule(name), f"{name}.rules") for name in names]

    def race(name: str, file: str) -> int:
        store = StoreOptions(bench.address, "")
        command = ApplyCommand(file, store, name, "", str(base), False)
        return exit_code_of(command.run().error)

    with ThreadPoolExecutor(4) as pool:
        codes = list(pool.map(race, names, files))
    assert sorted(codes) == [0, 3, 3, 3]
    winner = names[codes.index(0)]
    entries = bench.json("log")["report"]["entries"]
    assert [e["operator"] for e in entries] == [winner, "ana"]
    late = bench.apply(rule("late"), "eva", "--base", str(base))
    assert (late["exit_code"], late["error"]["code"]) == (3, "PP703")
    assert late["report"]["earlier"]["operator"] == winner
    assert [c["kind"] for c in late["report"]["differing"]] == [
        "added",
        "removed",
        "removed",
    ]


def test_lost_replies_do_not_write_twice_nor_lose_the_record(bench):
    bench.faults(lost_replies=4)
    report = bench.apply(rule("a"), "mei")["report"]
    assert (report["outcome"], report["is_recorded"]) == ("accepted", True)
    status = bench.json("status")["report"]
    assert status["version"] == report["version"]
    assert status["last_change"]["operator"] == "mei"
    assert len(bench.json("log")["report"]["entries"]) == 1


def test_a_store_that_is_down_or_slow_is_a_coded_error(bench, tmp_path):
    settings = {"store_address": bench.address, "store_timeout_ms": 50}
    path = bench.file(json.dumps(settings), "papaya.json")
    bench.apply(rule("a"), "mei")
    apply = ["apply", bench.file(rule("b")), "--operator", "lin"]
    for faults, words in (
        ({"is_down": True}, ["explain", "GET", "/a"]),
        ({"is_down": True}, ["status"]),
        ({"is_frozen": True}, ["log"]),
        ({"is_down": True}, apply),
        ({"slow_ms": 400}, apply),
    ):
        bench.faults(**faults)
        document = bench.json(*words, "--settings", path)
        assert document["exit_code"] == 1
        assert document["error"]["code"] == "PP301"
    bench.faults()
    assert [e["operator"] for e in bench.json("log")["report"]["entries"]] == ["mei"]


def test_a_text_edited_in_the_store_is_replaced_only_with_its_entry(bench):
    bench.apply(rule("a"), "mei")
    edited = bench.edit("config", "rules", b"route GET /a -> caf\xe9")
    status = bench.json("status")["report"]
    assert status["version"] == edited
    assert {item["code"] for item in status["findings"]} >= {"R001", "R019"}
    assert bench.apply(rule("b"), "lin")["report"]["outcome"] == "accepted"
    entries = bench.json("log")["report"]["entries"]
    assert [e["attribution"] for e in entries] == ["applied", "refused", "applied"]
    assert "does not compile" in bench.text("log")


def test_a_record_that_was_edited_to_nonsense_stops_an_apply(bench):
    bench.apply(rule("a"), "mei")
    bench.edit("record", "rules", b"{")
    document = bench.apply(rule("b"), "lin")
    assert (document["exit_code"], document["error"]["code"]) == (1, "PP301")
    assert "does not decode" in document["error"]["message"]


def test_status_shows_who_holds_which_version_and_what_was_refused(bench):
    version = RuleVersion(bench.apply(rule("a"), "mei")["report"]["version"])
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
    bench.edit("status", "n1", encode_value(report))
    shown = bench.text("status", "--data_centres", "n1,n2").splitlines()
    assert f"n1: version {version} on 3 of 4 nodes (told by r1)" in shown
    assert "  v4 holds 0: service 'counter' is not known" in shown
    assert "    1:1 R001 no owner; add one" in shown
    assert "n2: no report in the store yet" in shown


def test_explain_reads_the_rules_in_the_store(bench):
    bench.apply(rule("status/*") + rule("scans/*", "Iker"), "mei")
    document = bench.json("explain", "get", "https://oleaje.example:443/scans/7?a=b")
    explanation = document["report"]["explanation"]
    assert explanation["route"]["owner"] == "Iker"
    assert "line 2" in bench.text("explain", "GET", "oleaje.example/scans/7")


def test_a_preview_and_a_refused_file_write_nothing(bench):
    preview = bench.apply(rule("a"), "mei", "--preview")
    assert [c["kind"] for c in preview["report"]["changes"]] == ["added"]
    refused = bench.apply("route", "mei")
    assert (refused["exit_code"], refused["error"]["code"]) == (2, "PP101")
    assert bench.json("status")["report"]["version"] == 0
