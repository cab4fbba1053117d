"""How an owner node applies the reports of its backend server."""

import pytest

from papayapost.ids import ReportId
from papayapost.states import BackendServerState
from papayapost.traffic import (
    BackendCallEnded,
    DrainRequested,
    EndUnsentCalls,
    RefusalCode,
    ReportTaken,
)

from .owners import refusals, started
from .reported_owner import DRAINING, INTERVAL_US, READY, ReportedOwner


def test_attempts_are_refused_before_the_first_report():
    owner = ReportedOwner()
    assert owner.run_attempt() is RefusalCode.UNREACHABLE
    assert ReportTaken(ReportId(1)) in owner.report()
    assert owner.run_attempt() is True


def test_the_report_sets_the_number_of_slots():
    owner = ReportedOwner()
    owner.report(slots=3)
    effects = owner.tick(*[owner.offer() for _ in range(5)])
    assert len(started(effects)) == 3


@pytest.mark.parametrize("deregisters", [False, True])
def test_waiting_attempts_are_refused_when_a_drain_or_leave_is_acknowledged(
    deregisters,
):
    owner = ReportedOwner()
    owner.report(slots=1)
    running, waiting = owner.offer(), owner.offer()
    owner.tick(running, waiting)
    effects = owner.leave() if deregisters else owner.report(DRAINING)
    assert refusals(effects) == {waiting.attempt_id: RefusalCode.DRAINING}
    kinds = [type(effect) for effect in effects]
    assert ReportTaken in kinds
    assert owner.run_attempt() is RefusalCode.DRAINING
    owner.end(running.attempt_id)
    assert owner.is_idle()


@pytest.mark.parametrize("leave", [True, False])
def test_calls_without_a_connection_end_before_a_departure_is_acknowledged(leave):
    """Guards against requests that arrive long after the server's drain."""
    owner = ReportedOwner()
    owner.report()
    running = owner.offer()
    owner.tick(running)
    effects = owner.leave() if leave else owner.report(state=DRAINING)
    kinds = [type(effect) for effect in effects]
    assert kinds.count(EndUnsentCalls) == 1
    assert kinds.index(EndUnsentCalls) < kinds.index(ReportTaken)
    ended = BackendCallEnded(running.attempt_id, False, False)
    assert refusals(owner.tick(ended)) == {running.attempt_id: RefusalCode.UNREACHABLE}


def test_a_delayed_report_from_before_a_drain_is_ignored():
    owner = ReportedOwner()
    owner.report(sequence=4)
    owner.report(DRAINING, sequence=6)
    owner.report(READY, sequence=5)
    assert owner.state is DRAINING
    assert owner.run_attempt() is RefusalCode.DRAINING


def test_a_report_of_a_deregistered_process_is_ignored():
    owner = ReportedOwner()
    owner.report(sequence=1)
    owner.leave()
    owner.report(READY, sequence=9)
    assert owner.run_attempt() is RefusalCode.DRAINING


def test_a_late_report_does_not_bring_back_a_process_that_left_a_restarted_node():
    owner = ReportedOwner()
    owner.leave(born_ms=100)
    owner.report(READY, born_ms=100)
    assert owner.run_attempt() is RefusalCode.UNREACHABLE
    owner.report(READY, born_ms=200)
    assert owner.run_attempt() is True


def test_report_numbers_start_again_after_a_restart():
    owner = ReportedOwner()
    owner.report(sequence=50, born_ms=100)
    owner.leave(born_ms=100)
    owner.report(sequence=1, born_ms=200)
    assert owner.run_attempt() is True


def test_messages_of_an_earlier_backend_process_are_ignored():
    owner = ReportedOwner()
    owner.report(name="i-2", born_ms=200, sequence=1)
    owner.report(DRAINING, name="i-1", born_ms=100, sequence=70)
    owner.leave(name="i-1")
    owner.leave(name="i-2", born_ms=150)
    assert owner.run_attempt() is True
    assert owner.tables.backend.instance == "i-2"


def test_a_silent_backend_server_is_cold_until_its_next_report():
    owner = ReportedOwner()
    owner.report()
    owner.tick(after_us=10 * INTERVAL_US)
    assert owner.state is BackendServerState.COLD
    assert owner.run_attempt() is True
    owner.report()
    assert owner.state is READY


def test_a_report_does_not_end_the_drain_of_a_node():
    owner = ReportedOwner()
    owner.report()
    owner.tick(DrainRequested())
    assert owner.state is DRAINING
    owner.report()
    assert owner.state is DRAINING


def test_the_directory_tells_the_version_of_a_successor_of_the_same_size():
    """A row without it would let calls run on a version of no order."""
    owner = ReportedOwner(announces_version=True)
    owner.report(version="v1")
    assert owner.node.directory.require("owner").software_version == "v1"
    owner.report(name="i-2", born_ms=200, version="v2")
    assert owner.node.directory.require("owner").software_version == "v2"


def test_the_directory_tells_no_version_in_a_mesh_without_roll_outs():
    """Its rows must not grow."""
    owner = ReportedOwner()
    owner.report(version="v1")
    assert owner.node.directory.require("owner").software_version == ""


def test_a_later_report_does_not_make_a_warm_server_cold_for_the_past():
    """Slow answers that span a report would not be counted with their time."""
    owner = ReportedOwner()
    owner.report(warm_after_ms=500)
    warm_us = owner.node.traffic.owner.backend.warm_us
    owner.run_for(1)
    owner.report()
    assert owner.node.traffic.owner.backend.warm_us == warm_us
    owner.report(name="i-2", born_ms=200)
    assert owner.node.traffic.owner.backend.warm_us == 0
