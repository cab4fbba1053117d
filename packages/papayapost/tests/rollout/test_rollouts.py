"""Roll-outs of good and bad versions in a mesh in virtual time."""

import pytest

from papayapost.observe import Event

from .plays import SECOND_US, Play, behaviour

BAD = {
    "fails": {},
    "slow": {"is_slow": True},
    "fails late": {"from_us": 25 * SECOND_US},
    "slow late": {"from_us": 25 * SECOND_US, "is_slow": True},
    "fails under load": {"min_busy": 3},
    "slow under load": {"min_busy": 3, "is_slow": True},
    "fails on one route": {"path": "/scans"},
    "slow on one route": {"path": "/scans", "is_slow": True},
}


@pytest.mark.parametrize("seed", range(3))
def test_a_good_version_gets_all_calls_shortly_before_the_deadline(seed):
    play = Play(seed).order().run_to_end()
    play.check_bounds()
    play.check_final("completed")
    assert play.mesh.cut_runs == 0
    assert set(play.mesh.outcomes.statuses) == {200}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", list(BAD))
def test_a_bad_version_is_rolled_back_within_its_bounds(name, seed):
    play = Play(seed, behaviour("v2", **BAD[name])).order().run_to_end()
    play.check_bounds()
    play.check_final("rolled_back")
    assert sum(run.answer.is_bad for run in play.runs()) < 50


def test_a_version_without_an_order_gets_no_call():
    play = Play().run(10)
    assert not play.runs()
    closed = play.mesh.events_of(Event.VERSION_CLOSED)
    assert {node for _, node, _ in closed} >= {n.me.node_id for n in play.new}
    assert set(play.mesh.outcomes.statuses) == {200}


def test_two_nodes_watch_the_orders():
    play = Play().order().run(5)
    assert len(play.mesh.orders.watches) == 2
