"""Roll-outs amid failures of nodes, links and the store.

A version that is bad must stay within its bounds whatever fails, and nothing
may run on a version that no order allows.
"""

from random import Random

import pytest

from papayapost.ids import Micros, RegionId, ServiceName, SoftwareVersion
from papayapost.observe import Event
from papayapost.storage import OrderSpec, OrderState, OrderStatus
from papayapost_testing.roster_store import StorePath
from papayapost_testing.slow_link_mesh import LinkState

from .plays import DURATION_S, SECOND_US, Play, behaviour

STEPS_S = [0.5, 6, 27, 28.2]
"""Times after the order: before the trial, in it, shortly before the move, and
in the move."""

BAD = behaviour("v2")
BAD_IN_MOVE = behaviour("v2", from_us=39 * SECOND_US + SECOND_US // 2)
"""A version that turns bad in the move only."""


def controller(play):
    """Return the node that announced the last stage."""
    rows = [node.built.rollout.tables.orders.get("gusts") for node in nodes(play)]
    row = max((r for r in rows if r is not None), key=lambda r: r.received_us)
    return next(n for n in nodes(play) if n.me.node_id == row.controller)


def nodes(play):
    return list(play.mesh.nodes.values())


def set_store(play, path, chosen=None):
    for node in chosen or nodes(play):
        play.mesh.refuse_store(node, path)


@pytest.mark.parametrize("at_s", STEPS_S)
@pytest.mark.parametrize("servers", [behaviour(), BAD, BAD_IN_MOVE])
def test_a_stopped_controller_is_replaced(at_s, servers):
    play = Play(servers=servers).order().run(at_s)
    play.mesh.stop(controller(play))
    play.run_to_end()
    play.check_bounds()
    assert len(play.states) == 1
    play.check_final(play.states[0])
    if servers is BAD:
        assert play.states == ["rolled_back"]


@pytest.mark.parametrize("at_s", STEPS_S)
@pytest.mark.parametrize("servers", [behaviour(), BAD_IN_MOVE])
def test_a_controller_that_is_cut_off_from_its_peers_exposes_nothing(at_s, servers):
    play = Play(servers=servers).order().run(at_s)
    controller(play).link = LinkState.CUT
    play.run_to_end()
    play.check_bounds()
    assert len(play.states) == 1


@pytest.mark.parametrize("at_s", STEPS_S)
@pytest.mark.parametrize("path", [StorePath.REFUSED, StorePath.SILENT])
def test_a_controller_that_the_store_refuses_is_replaced(at_s, path):
    play = Play().order().run(at_s)
    play.mesh.refuse_store(controller(play), path)
    play.run_to_end()
    play.check_bounds()
    assert len(play.states) == 1
    play.check_final(play.states[0])


@pytest.mark.parametrize("at_s", [0, *STEPS_S])
@pytest.mark.parametrize("length_s", [1, 4, 60])
@pytest.mark.parametrize("servers", [behaviour(), BAD, BAD_IN_MOVE])
def test_while_the_store_is_away_no_bad_version_gets_more(at_s, length_s, servers):
    play = Play(servers=servers).order().run(at_s)
    set_store(play, StorePath.SILENT)
    play.run(length_s)
    set_store(play, StorePath.OPEN)
    play.run_to_end()
    assert len(play.states) == 1 or (length_s == 60 and not play.states)
    is_in_time = at_s + length_s < DURATION_S - 1
    play.check_bounds(is_in_time=is_in_time)


@pytest.mark.parametrize("at_s", STEPS_S)
@pytest.mark.parametrize("servers", [behaviour(), BAD])
def test_statuses_that_get_no_answer_are_read_back(at_s, servers):
    """The write takes effect, so that the old servers stop all the same."""
    play = Play(servers=servers).order().run(at_s)
    play.mesh.orders.loses_answers = True
    play.run_to_end()
    play.check_bounds()
    assert len(play.states) == 1
    play.check_final(play.states[0])


@pytest.mark.parametrize("at_s", STEPS_S)
@pytest.mark.parametrize("servers", [behaviour(), BAD])
def test_an_order_is_rolled_back_if_all_nodes_restart_amid_it(at_s, servers):
    """Nobody knows then for how long and how much the version was exposed."""
    play = Play(servers=servers).order().run(at_s)
    restart_all(play)
    play.run_to_end()
    # Nodes that start need about 3 s to know who is to write the status.
    play.check_bounds(is_in_time=at_s < DURATION_S - 4)
    play.check_final("rolled_back")
    late = [run for run in play.runs("v1") if run.at_us > play.mesh.finals[0][0]]
    assert late


def restart_all(play):
    for old in nodes(play):
        play.mesh.stop(old)
    play.run(0.3)
    for old in [*play.old, *play.new]:
        node = play.mesh.start(old.me.node_id, old.me.place, old.version)
        node.speed = old.speed


@pytest.mark.parametrize("at_s", [0, 10])
def test_a_node_that_was_cut_off_at_the_end_learns_of_it(at_s):
    """The old servers have stopped, so that its calls would find no other."""
    play = Play().run(at_s).order()
    cut = next(node for node in play.new if node is not play.new[5])
    cut.link = LinkState.CUT
    play.run(DURATION_S + 4)
    cut.link = LinkState.UP
    play.run(4)
    assert play.states == ["completed"]
    before = len(play.mesh.runs)
    for _ in range(20):
        play.mesh.call(cut, "/gusts")
    play.run(2)
    later = play.mesh.runs[before:]
    assert len(later) >= 20 and {run.version for run in later} == {"v2"}


def test_after_a_restart_of_all_nodes_only_the_completed_version_runs():
    play = Play().order().run_to_end()
    play.check_final("completed")
    play.old.clear()
    restart_all(play)
    play.mesh.load(100, play.mesh.now_us + 5 * SECOND_US, {"/gusts": 1.0})
    before = len(play.mesh.runs)
    play.run(8)
    later = play.mesh.runs[before:]
    assert later and all(run.version == "v2" for run in later)


@pytest.mark.parametrize("at_s", STEPS_S)
@pytest.mark.parametrize("servers", [behaviour(), BAD_IN_MOVE])
def test_regions_that_lose_each_other_stay_within_the_bounds(at_s, servers):
    play = Play(servers=servers).order().run(at_s)
    play.mesh.cut_regions = True
    play.run(6)
    play.mesh.cut_regions = False
    play.run_to_end()
    play.check_bounds()
    assert len(play.states) == 1


@pytest.mark.parametrize("seed", range(3))
def test_lost_messages_expose_nothing_more(seed):
    play = Play(seed, BAD_IN_MOVE).order()
    play.mesh.loss_share = 0.2
    play.run_to_end()
    play.check_bounds()
    assert len(play.states) == 1


@pytest.mark.parametrize("servers", [behaviour(), BAD])
def test_restarts_of_servers_on_trial_do_not_reset_the_exposure(servers):
    play = Play(servers=servers).order()
    for second in range(DURATION_S - 3):
        play.run(1)
        old = play.new[second % len(play.new)]
        if play.mesh.nodes.get(old.address) is not old:
            continue
        play.mesh.stop(old)
        play.new[second % len(play.new)] = play.mesh.start(
            old.me.node_id, old.me.place, old.version
        )
    play.run_to_end()
    play.check_bounds()


def test_a_new_order_ends_an_earlier_one():
    play = Play().order().run(10)
    third = [play.start(f"third{i}", i, "v3") for i in range(8)]
    play.run(1)
    assert not play.runs("v3")
    play.order("v3").run(0.2)
    replaced_us = play.mesh.now_us
    play.run_to_end()
    assert not [run for run in play.runs("v2") if run.at_us > replaced_us]
    play.check_bounds("v3")
    play.check_final("completed", "v3")
    assert len(third) == 8


def test_an_order_that_is_removed_exposes_nothing_more():
    play = Play().order().run(10)
    play.mesh.orders.remove("gusts")
    play.run(0.2)
    removed_us = play.mesh.now_us
    play.run_to_end()
    assert not [run for run in play.runs("v2") if run.at_us > removed_us]
    assert not play.states


def test_an_order_that_is_repeated_after_a_roll_back_starts_anew():
    servers = behaviour("v2")
    play = Play(servers=servers).order().run(15)
    assert play.states == ["rolled_back"]
    play.new = [play.start(f"again{i}", i, "v2") for i in range(8)]
    play.run(2)
    before = len(play.runs())
    play.mesh.orders.put("gusts", spec(), None)
    play.run_to_end()
    assert play.states == ["rolled_back", "rolled_back"]
    assert 0 < len(play.runs()) - before < 100


def spec(service="gusts", version="v2"):
    duration_us = Micros(DURATION_S * SECOND_US)
    return OrderSpec(ServiceName(service), SoftwareVersion(version), duration_us)


@pytest.mark.parametrize(
    ("name", "order"),
    [
        ("none", spec("none")),
        ("second", spec()),
        ("gusts", None),
        ("gusts", spec(version="v1")),
    ],
)
def test_an_order_with_a_fault_is_logged_once_and_changes_nothing(name, order):
    play = Play()
    play.mesh.orders.put(name, order)
    play.run(10)
    assert not play.runs() and not play.states
    refused = play.mesh.events_of(Event.ORDER_REFUSED)
    watchers = [node for _, node, _ in refused]
    assert len(set(watchers)) == len(watchers) >= 2


def test_a_version_that_nobody_runs_is_rolled_back_in_time():
    play = Play().order("v9").run_to_end()
    play.check_bounds("v9")
    play.check_final("rolled_back", "v9")
    assert set(play.mesh.outcomes.statuses) == {200}


def test_a_version_with_too_few_slots_does_not_get_all_calls():
    play = Play(rate_per_s=240)
    for node in play.new[2:]:
        play.mesh.stop(node)
    play.order().run_to_end()
    play.check_bounds()
    play.check_final("rolled_back")


def test_a_status_of_an_earlier_version_does_not_end_an_order():
    play = Play()
    status = OrderStatus(OrderState.COMPLETED, SoftwareVersion("v1"))
    play.mesh.orders.put("gusts", spec(), status)
    play.ordered_us = play.mesh.now_us
    play.run_to_end()
    play.check_bounds()
    play.check_final("completed")


@pytest.mark.parametrize("seed", range(20))
def test_no_mix_of_faults_breaks_the_bounds_of_a_bad_version(seed):
    random = Random(seed)
    from_us = random.choice([0, 20, 30, 39]) * SECOND_US + random.randrange(SECOND_US)
    servers = behaviour("v2", random.random() < 0.5, from_us, random.choice([0, 0, 3]))
    play = Play(seed, servers, duration_s=random.choice([20, 30, 45]))
    play.mesh.loss_share = random.choice([0.0, 0.0, 0.05])
    play.order()
    while play.mesh.now_us < play.ordered_us + (play.duration_s - 3) * SECOND_US:
        play.run(random.uniform(0.5, 5))
        disturb(play, random)
    set_store(play, StorePath.OPEN)
    for node in nodes(play):
        node.link = LinkState.UP
    play.mesh.cut_regions = False
    play.run_to_end()
    play.check_bounds()


def disturb(play, random):
    """Cause or mend one fault."""
    node = random.choice(nodes(play))
    kind = random.randrange(6)
    if kind == 0:
        node.link = random.choice([LinkState.CUT, LinkState.UP])
    elif kind == 1:
        chosen = random.sample(nodes(play), len(nodes(play)) // 3)
        path = random.choice([StorePath.REFUSED, StorePath.SILENT])
        set_store(play, path, chosen)
    elif kind == 2:
        set_store(play, StorePath.OPEN)
    elif kind == 3:
        play.mesh.stop(node)
        play.run(random.uniform(0.1, 1))
        again = play.mesh.start(node.me.node_id, node.me.place, node.version)
        again.speed, again.has_server = node.speed, node.has_server
    elif kind == 4:
        play.mesh.cut_regions = not play.mesh.cut_regions
    else:
        node.speed = random.choice([0.2, 1.0])


def test_region_names_of_the_mesh():
    """The tests above cut the mesh between two regions."""
    regions = {node.me.place.region for node in nodes(Play(count=4))}
    assert regions == {RegionId("north"), RegionId("south")}
