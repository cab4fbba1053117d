"""Tests that each check of the soak finds the breach that it is for."""

import signal
from random import Random

import pytest

from papayapost.ids import Micros, RequestName
from papayapost.kernel import World
from papayapost_testing.soak import checks, messages
from papayapost_testing.soak.bounds import EXIT_SLACK_US, MEMORY_BYTES
from papayapost_testing.soak.rows import (
    AnswerRow,
    CallEnd,
    CallRow,
    NodeRow,
    RouteKind,
    RunRow,
    Start,
    TroubleRow,
    WaitRow,
)
from papayapost_testing.soak.rules import first_version, next_version
from papayapost_testing.soak.systems import RecordCalls, TrackNodes
from papayapost_testing.soak.tables import SoakTables

SECOND_US = 1_000_000
# Long after the nodes' start, which disturbs them for the stable window.
T = 100 * SECOND_US
MS = 1_000


class Scene:
    """A gusts node n0 and a vault node n1, with all checks over them.

    The defaults of each step are those of a call that breaks no promise.
    """

    def __init__(self):
        self.tables = SoakTables()
        self.tables.nodes.put("n0", NodeRow("n0", "gusts"))
        self.tables.nodes.put("n1", NodeRow("n1", "vault"))
        first = first_version()
        first.acked_us = Micros(0)
        self.tables.versions.put(first.version, first)
        systems = [RecordCalls(self.tables), TrackNodes(self.tables)]
        all_checks = [check(self.tables) for check in checks.CHECKS]
        self.world = World([*systems, *all_checks], Random(1))
        for node_id in ("n0", "n1"):
            self.start(node_id, 1, 0)

    def post(self, at_us, *messages):
        self.world.tick(Micros(int(at_us)), messages)

    def start(self, node_id, number, at_us):
        self.post(at_us, messages.NodeStarted(node_id, Start(number), at_us))

    def send(self, at_us=T, request_id="r1", **changes):
        values = {
            "node_id": "n0",
            "start": Start(1),
            "method": "POST",
            "target": f"/book/{request_id}",
            "body_hash": "b0",
            "kind": RouteKind.NON_IDEMPOTENT,
            "timeout_ms": 2_500,
            "sent_us": at_us,
            "whole_us": at_us,
        } | changes
        call = CallRow(RequestName(request_id), **values)
        self.post(at_us, messages.CallSent(call))
        return call

    def run(self, call, at_us=None, **changes):
        values = {
            "request_id": call.request_id,
            "server_id": "i1",
            "node_id": "n0",
            "service": "gusts",
            "method": call.method,
            "target": call.target,
            "body_hash": call.body_hash,
            "caller_service": "gusts",
            "began_us": at_us or call.sent_us + 5 * MS,
            "status": 200,
            "signature": "i1.a0",
        } | changes
        run = RunRow(**values)
        self.post(run.began_us, messages.RunStarted(run))
        return run

    def answer(self, call, at_us=None, **changes):
        values = {
            "status": 200,
            "names_request": call.request_id,
            "signature": "i1.a0",
            "body_hash": "a0",
        } | changes
        self.end(call, at_us, CallEnd.ANSWERED, AnswerRow(**values))

    def refuse(self, call, status, at_us=None):
        self.answer(call, at_us, status=status, signature="", names_request="")

    def end(self, call, at_us=None, end=CallEnd.CLOSED, answer=None):
        at_us = at_us or call.sent_us + 50 * MS
        self.post(at_us, messages.CallEnded(call.request_id, end, at_us, answer))

    def change_rules(self, at_us):
        newer = next_version(self.tables.newest(), Random(3))
        newer.acked_us = Micros(at_us)
        self.tables.versions.put(newer.version, newer)
        return newer

    def disturb(self, from_us, to_us, node_id=None, is_planned=False):
        row = TroubleRow(node_id, is_planned, "fault", from_us, to_us)
        self.tables.troubles.append(row)

    def found_by(self):
        return {row.check for row in self.tables.findings}


@pytest.fixture
def scene():
    return Scene()


def only(check):
    return {check.__name__}


def test_a_sound_call_gives_no_finding(scene):
    call = scene.send()
    scene.run(call)
    scene.answer(call)
    assert scene.found_by() == set()


@pytest.mark.parametrize(
    "changes",
    [
        {"signature": ""},
        {"names_request": "r2"},
        {"body_hash": "a1"},
        {"signature": "i2.a0"},
        {"status": 500},
    ],
)
def test_an_answer_that_is_not_the_backend_servers_is_found(scene, changes):
    call = scene.send()
    scene.run(call)
    scene.answer(call, **changes)
    assert scene.found_by() == only(checks.AnswersAreWhole)


def test_a_failure_turned_into_a_success_is_found(scene):
    call = scene.send()
    scene.run(call, status=500)
    scene.answer(call)
    assert scene.found_by() == only(checks.AnswersAreWhole)


def test_bytes_that_nobody_asked_for_are_found(scene):
    scene.post(T, messages.UnaskedBytes("n0", b"HTTP/1.1 200 OK"))
    assert scene.found_by() == only(checks.AnswersAreWhole)


def test_a_second_run_of_an_unsafe_request_is_found(scene):
    call = scene.send()
    scene.run(call)
    scene.run(call, server_id="i2")
    assert scene.found_by() == only(checks.UnsafeRunsOnce)


def test_an_idempotent_request_may_run_twice(scene):
    call = scene.send(kind=RouteKind.IDEMPOTENT)
    scene.run(call)
    scene.run(call, server_id="i2")
    assert scene.found_by() == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("is_run_first", [True, False])
def test_a_refused_request_that_runs_is_found(scene, status, is_run_first):
    call = scene.send()
    if is_run_first:
        scene.run(call)
    scene.refuse(call, status)
    if not is_run_first:
        scene.run(call, T + 3 * SECOND_US)
    assert scene.found_by() == only(checks.RefusedNeverRuns)


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": "r9"},
        {"method": "GET"},
        {"target": "/book/other"},
        {"body_hash": "b1"},
        {"caller_service": "vault"},
        {"service": "vault"},
    ],
)
def test_a_run_that_is_not_as_sent_is_found(scene, changes):
    call = scene.send()
    scene.run(call, **changes)
    assert scene.found_by() == only(checks.RunsAreAsSent)


@pytest.mark.parametrize("status", [400, 404, 413])
def test_a_denial_of_a_proper_call_is_found(scene, status):
    call = scene.send()
    scene.refuse(call, status)
    assert checks.ProperCallsAreTaken.__name__ in scene.found_by()


@pytest.mark.parametrize("end", [CallEnd.CLOSED, CallEnd.CUT])
def test_a_call_cut_after_it_was_passed_on_is_found(scene, end):
    call = scene.send()
    scene.run(call)
    scene.end(call, end=end)
    assert scene.found_by() == only(checks.PlannedWorkCutsNothing)


def test_a_call_that_was_read_and_is_closed_late_is_found(scene):
    scene.end(scene.send(), T + 300 * MS)
    assert scene.found_by() == only(checks.PlannedWorkCutsNothing)


def test_an_own_failure_while_a_server_is_at_work_is_found(scene):
    scene.tables.nodes.require("n0").term_us = T
    scene.disturb(T, None, "n0", is_planned=True)
    call = scene.send(T + SECOND_US)
    scene.run(call)
    scene.refuse(call, 502)
    assert scene.found_by() == only(checks.PlannedWorkCutsNothing)


@pytest.mark.parametrize(
    "case", ["crosses", "waits", "behind", "fault", "server", "deadline", "grace"]
)
def test_losses_that_do_not_count_are_passed_over(scene, case):
    call = scene.send(is_behind=case == "behind")
    ended_us = T + 300 * MS
    if case == "crosses":
        ended_us = T + 150 * MS
    elif case == "waits":
        wait = WaitRow(T, T + 200 * MS, 120 * MS)
        scene.post(T, messages.CoreAwaited("n0", wait))
    elif case == "fault":
        scene.disturb(T - 3 * SECOND_US, T - 3 * SECOND_US)
    elif case == "server":
        scene.run(call, is_broken_off=True)
    elif case == "deadline":
        scene.run(call)
        ended_us = T + 2_500 * MS
    elif case == "grace":
        scene.run(call)
        scene.tables.nodes.require("n0").term_us = T - 4_900 * MS
        call.sent_us = T - 2_000 * MS
    scene.end(call, ended_us)
    assert scene.found_by() == set()


def test_a_request_that_reaches_a_drained_server_is_found(scene):
    scene.post(T, messages.DrainAcknowledged("i1", "n0", 1, T))
    early = scene.send(T + 2 * SECOND_US)
    scene.run(early)
    assert scene.found_by() == set()
    scene.run(scene.send(T + 3 * SECOND_US, "r2"))
    assert scene.found_by() == only(checks.DrainedServersRest)


def test_a_process_that_ends_by_itself_is_found(scene):
    scene.post(T, messages.NodeExited("n0", 0, T))
    assert scene.found_by() == only(checks.ProcessesEndInTime)


@pytest.mark.parametrize("code", [1, -signal.SIGTERM])
def test_an_exit_code_after_sigterm_is_found(scene, code):
    node = scene.tables.nodes.require("n0")
    node.term_us, node.served_us = T, T - SECOND_US
    scene.post(T + SECOND_US, messages.NodeExited("n0", code, T + SECOND_US))
    assert scene.found_by() == only(checks.ProcessesEndInTime)


def test_a_process_that_outlasts_its_grace_time_is_found(scene):
    scene.tables.nodes.require("n0").term_us = T
    due_us = T + 6 * SECOND_US + EXIT_SLACK_US
    scene.tables.lags.append((T, T + 30 * MS))
    scene.post(due_us, messages.GraceDue("n0", Start(1)))
    assert scene.found_by() == set()
    scene.post(due_us + 30 * MS)
    assert scene.found_by() == only(checks.ProcessesEndInTime)


def moved_call(scene, at_us, service, request_id="r1"):
    call = scene.send(at_us, request_id, target=f"/move/{request_id}")
    scene.run(call, service=service)
    scene.answer(call)


def test_an_old_version_after_the_bound_is_found(scene):
    scene.change_rules(T)
    moved_call(scene, T + 2_400 * MS, "gusts", "r1")
    assert scene.found_by() == set()
    moved_call(scene, T + 2_600 * MS, "gusts", "r2")
    assert scene.found_by() == only(checks.RulesAreFollowed)


def test_an_added_route_that_is_unknown_after_the_bound_is_found(scene):
    newer = scene.change_rules(T)
    call = scene.send(T + 2_600 * MS, target=f"/added-{newer.version}/r1")
    scene.refuse(call, 404)
    assert scene.found_by() == only(checks.RulesAreFollowed)


def test_a_disturbed_node_may_follow_an_old_version(scene):
    scene.change_rules(T)
    scene.disturb(T, T + 100 * MS, "n0")
    moved_call(scene, T + 2_600 * MS, "gusts")
    assert scene.found_by() == set()


def test_a_process_that_goes_back_to_an_old_version_is_found(scene):
    scene.change_rules(T)
    moved_call(scene, T + 500 * MS, "vault", "r1")
    moved_call(scene, T + 700 * MS, "gusts", "r2")
    assert scene.found_by() == set()
    moved_call(scene, T + 900 * MS, "gusts", "r3")
    assert scene.found_by() == only(checks.RulesNeverGoBack)


def test_a_node_that_serves_nothing_after_the_faults_is_found(scene):
    scene.tables.faults_ended_us = T
    call = scene.send(T + SECOND_US, node_id="n1")
    scene.run(call, caller_service="vault")
    scene.answer(call)
    scene.post(T + 15 * SECOND_US, messages.RecoveryOver())
    assert [row.text.split()[0] for row in scene.tables.findings] == ["n0"]
    assert scene.found_by() == only(checks.NodesRecover)


def test_a_traceback_and_too_much_memory_are_found(scene):
    scene.post(T, messages.LineWritten("n0", "Traceback (most recent call last):"))
    assert scene.found_by() == only(checks.OutputHasNoTraceback)
    scene.post(T, messages.MemoryMeasured("n0", MEMORY_BYTES + 1))
    assert checks.MemoryIsBounded.__name__ in scene.found_by()


RIDERS_KEY = "key-of-riders-1"


@pytest.mark.parametrize(
    ("key", "account", "shows_key", "expected"),
    [
        (RIDERS_KEY, "riders", False, set()),
        (RIDERS_KEY, "shapers", False, {"AccountsAreTrue"}),
        (RIDERS_KEY, "", False, {"AccountsAreTrue"}),
        (RIDERS_KEY, "riders", True, {"AccountsAreTrue"}),
        ("unknown", "", False, {"AccountsAreTrue", "RemovedKeysStop"}),
        ("", "", False, set()),
        ("", "riders", False, {"AccountsAreTrue"}),
    ],
)
def test_a_run_with_a_false_account_is_found(scene, key, account, shows_key, expected):
    call = scene.send(key=key)
    scene.run(call, account=account, shows_key=shows_key)
    assert scene.found_by() == expected


@pytest.mark.parametrize(
    ("sent_after_us", "expected"),
    [(4_900 * MS, set()), (5_100 * MS, {"RemovedKeysStop"})],
)
def test_a_run_with_a_removed_key_is_found_after_the_bound(
    scene, sent_after_us, expected
):
    removed_us = 100 * MS
    newer = scene.change_rules(removed_us)
    newer.keys.pop(RIDERS_KEY, None)
    call = scene.send(removed_us + sent_after_us, key=RIDERS_KEY)
    scene.disturb(0, 10_000 * MS)
    scene.run(call, account="riders")
    assert scene.found_by() == expected


@pytest.mark.parametrize(
    ("key", "expected"),
    [("key-of-shapers", {"ProperCallsAreTaken"}), (RIDERS_KEY, set())],
)
def test_a_denial_of_a_key_that_all_versions_hold_is_found(scene, key, expected):
    call = scene.send(key=key)
    scene.refuse(call, 401)
    assert scene.found_by() == expected
