"""Quotas while lenders, links and the store fail.

Each test guards against an account that runs more calls than its quota because
two nodes lend the same tokens, and against calls that go on being refused
after the fault.
"""

from random import Random

import pytest

from papayapost.observe import Event
from papayapost.quota.tables import partition_of_account
from papayapost.traffic import RefusalCode
from papayapost_testing.quota_mesh import PLACES, QuotaMesh, allowed_in_window
from papayapost_testing.roster_store import StorePath
from papayapost_testing.slow_link_mesh import LinkState

SECOND_US = 1_000_000
NORTH = PLACES[0].region
NAME = "shapers"
RATE_PER_S, BURST = 40, 20
TAKEOVER_US = 8 * SECOND_US


def started_mesh(count=16):
    mesh = QuotaMesh({NAME: (RATE_PER_S, BURST)})
    return mesh, mesh.start_nodes(count)


def north_lender(mesh):
    """Return the node that lends the account's tokens in the north."""
    partition = partition_of_account(NAME)
    return next(
        node
        for node in mesh.nodes.values()
        if node.me.place.region == NORTH
        and node.built.quotas.valid_lease(partition, mesh.now_us + node.clock_offset_us)
    )


def overload(mesh, nodes, span_us, seed=1):
    """Schedule calls at 7.5 times the quota."""
    mesh.load(nodes, NAME, 7.5 * RATE_PER_S, span_us, Random(seed))


def assert_within_quota(mesh, rate_per_s=RATE_PER_S, burst=BURST, since_us=0):
    most = mesh.calls[NAME].most_in_window(since_us)
    assert most <= allowed_in_window(rate_per_s, burst)


def share_in_calm(mesh, nodes, span_us=8 * SECOND_US, seed=9):
    """Return the share of calls that run at nine tenths of the quota."""
    start_us = mesh.now_us
    mesh.load(nodes, NAME, 0.9 * RATE_PER_S, span_us, Random(seed))
    mesh.run(span_us + SECOND_US)
    return mesh.calls[NAME].run_share(start_us, start_us + span_us)


@pytest.mark.parametrize("seed", range(5))
def test_a_lender_that_is_killed_is_replaced(seed):
    mesh, nodes = started_mesh()
    killed = north_lender(mesh)
    others = [node for node in nodes if node is not killed]
    overload(mesh, others, 15 * SECOND_US, seed)
    mesh.run(2 * SECOND_US)
    mesh.stop(killed)
    mesh.run(TAKEOVER_US)
    assert north_lender(mesh) is not killed
    mesh.run(10 * SECOND_US)
    assert_within_quota(mesh)
    assert share_in_calm(mesh, others) >= 0.98


def test_without_the_lender_of_a_region_the_other_one_lends():
    mesh, nodes = started_mesh()
    killed = north_lender(mesh)
    others = [node for node in nodes if node is not killed]
    mesh.load(others, NAME, 0.4 * RATE_PER_S, 12 * SECOND_US, Random(1))
    mesh.run(4 * SECOND_US)
    mesh.stop(killed)
    mesh.run(10 * SECOND_US)
    calls = mesh.calls[NAME]
    assert len(calls.run_us) >= 0.98 * len(calls.sent_us)
    assert_within_quota(mesh)


@pytest.mark.parametrize("is_cut_from_store", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_a_lender_that_is_cut_off_and_comes_back(seed, is_cut_from_store):
    """The former holder must not lend any more when another one does."""
    mesh, nodes = started_mesh()
    cut = north_lender(mesh)
    overload(mesh, nodes, 30 * SECOND_US, seed)
    mesh.run(2 * SECOND_US)
    cut.link = LinkState.CUT
    if is_cut_from_store:
        mesh.store.paths[cut.address] = StorePath.SILENT
    mesh.run(12 * SECOND_US)
    cut.link = LinkState.UP
    mesh.store.paths.clear()
    mesh.run(18 * SECOND_US)
    assert_within_quota(mesh)
    assert share_in_calm(mesh, nodes) >= 0.98


def test_a_lender_without_the_store_stops_before_another_lends():
    mesh, nodes = started_mesh()
    cut = north_lender(mesh)
    overload(mesh, nodes, 15 * SECOND_US)
    mesh.store.paths[cut.address] = StorePath.REFUSED
    mesh.run(TAKEOVER_US)
    assert north_lender(mesh) is not cut
    assert Event.LEASE_EXPIRED in cut.events
    mesh.run(10 * SECOND_US)
    assert_within_quota(mesh)
    assert share_in_calm(mesh, nodes) >= 0.98


def test_regions_that_lose_each_other_keep_to_the_quota():
    mesh, nodes = started_mesh()
    overload(mesh, nodes, 20 * SECOND_US)
    mesh.run(3 * SECOND_US)
    mesh.are_regions_cut = True
    start_us = mesh.now_us
    mesh.run(17 * SECOND_US)
    assert_within_quota(mesh)
    run = sum(at >= start_us for at in mesh.calls[NAME].run_us)
    assert run >= 0.9 * RATE_PER_S * 17
    mesh.are_regions_cut = False
    mesh.run(3 * SECOND_US)
    assert share_in_calm(mesh, nodes) >= 0.98


@pytest.mark.parametrize("path", [StorePath.SILENT, StorePath.REFUSED])
def test_while_the_store_is_down_calls_are_refused_as_unavailable(path):
    """Nobody can tell which node lends once the leases have expired."""
    mesh, nodes = started_mesh()
    for node in nodes:
        mesh.store.paths[node.address] = path
    overload(mesh, nodes, 20 * SECOND_US)
    mesh.run(6 * SECOND_US)
    down_us = mesh.now_us
    mesh.run(4 * SECOND_US)
    calls = mesh.calls[NAME]
    assert calls.codes(down_us) == {RefusalCode.QUOTA_UNKNOWN}
    assert not any(at >= down_us for at in calls.run_us)
    mesh.store.paths.clear()
    mesh.run(12 * SECOND_US)
    assert_within_quota(mesh)
    assert share_in_calm(mesh, nodes) >= 0.98


def test_a_store_that_is_down_for_a_moment_is_not_noticed():
    mesh, nodes = started_mesh()
    for node in nodes:
        mesh.store.paths[node.address] = StorePath.REFUSED
    mesh.load(nodes, NAME, 0.9 * RATE_PER_S, 6 * SECOND_US, Random(1))
    mesh.run(2 * SECOND_US)
    mesh.store.paths.clear()
    mesh.run(5 * SECOND_US)
    calls = mesh.calls[NAME]
    assert len(calls.run_us) >= 0.98 * len(calls.sent_us)


@pytest.mark.parametrize("seed", range(3))
def test_a_lender_that_restarts_lends_again_at_once(seed):
    mesh, nodes = started_mesh()
    lender = north_lender(mesh)
    others = [node for node in nodes if node is not lender]
    overload(mesh, others, 15 * SECOND_US, seed)
    mesh.run(3 * SECOND_US)
    mesh.stop(lender)
    mesh.run(SECOND_US // 2)
    restarted = mesh.start(lender.me.node_id, lender.me.place)
    mesh.run(2 * SECOND_US)
    assert north_lender(mesh) is restarted
    mesh.run(12 * SECOND_US)
    assert_within_quota(mesh)
    assert share_in_calm(mesh, others) >= 0.98


@pytest.mark.parametrize("seed", range(3))
def test_all_nodes_restart_under_load(seed):
    """New processes must not spend what their former ones have spent."""
    mesh, nodes = started_mesh()
    overload(mesh, nodes, 5 * SECOND_US, seed)
    mesh.run(5 * SECOND_US)
    for node in nodes:
        mesh.stop(node)
    mesh.run(SECOND_US // 2)
    restarted = [mesh.start(node.me.node_id, node.me.place) for node in nodes]
    overload(mesh, restarted, 15 * SECOND_US, seed)
    mesh.run(16 * SECOND_US)
    assert_within_quota(mesh)
    assert share_in_calm(mesh, restarted) >= 0.98


def test_a_lender_that_leaves_hands_its_lease_over_at_once():
    mesh, nodes = started_mesh()
    leaving = north_lender(mesh)
    others = [node for node in nodes if node is not leaving]
    mesh.load(others, NAME, 0.9 * RATE_PER_S, 10 * SECOND_US, Random(2))
    mesh.run(2 * SECOND_US)
    mesh.drain(leaving)
    mesh.run(2 * SECOND_US)
    assert Event.LEASE_RELEASED in leaving.events
    assert north_lender(mesh) is not leaving
    mesh.run(7 * SECOND_US)
    calls = mesh.calls[NAME]
    assert len(calls.run_us) >= 0.98 * len(calls.sent_us)
    assert_within_quota(mesh)


@pytest.mark.parametrize("count", [8, 40])
def test_a_lower_quota_counts_after_the_configuration_and_one_window(count):
    mesh, nodes = started_mesh(count)
    overload(mesh, nodes, 20 * SECOND_US)
    mesh.run(6 * SECOND_US)
    lowered_us = mesh.now_us
    mesh.set_quotas({NAME: (4, 2)})
    mesh.run(14 * SECOND_US)
    since_us = lowered_us + 3 * SECOND_US
    assert_within_quota(mesh, 4, 2, since_us)
    assert_within_quota(mesh)


def test_a_quota_that_is_removed_ends_all_requests():
    mesh, nodes = started_mesh()
    overload(mesh, nodes, 6 * SECOND_US)
    mesh.run(2 * SECOND_US)
    mesh.set_quotas({NAME: (0, 0)})
    mesh.run(2 * SECOND_US)
    removed_us = mesh.now_us
    mesh.run(3 * SECOND_US)
    assert not mesh.calls[NAME].codes(removed_us)
    assert not any(node.built.quotas.held_leases for node in nodes)


def test_a_quota_that_is_added_counts_after_the_configuration_and_one_window():
    mesh = QuotaMesh({NAME: (0, 0)})
    nodes = mesh.start_nodes(16)
    overload(mesh, nodes, 20 * SECOND_US)
    mesh.run(2 * SECOND_US)
    added_us = mesh.now_us
    mesh.set_quotas({NAME: (RATE_PER_S, BURST)})
    mesh.run(19 * SECOND_US)
    since_us = added_us + 3 * SECOND_US
    assert_within_quota(mesh, since_us=since_us)
    late_us = added_us + 8 * SECOND_US
    run = sum(at >= late_us for at in mesh.calls[NAME].run_us)
    assert run >= 0.98 * RATE_PER_S * 9


def strike_at_random(mesh, random):
    """Kill, cut, or mend one node or many, lenders more often than others."""
    nodes = list(mesh.nodes.values())
    node = random.choice(nodes)
    if random.random() < 0.5:
        node = random.choice(mesh.lenders() or nodes)
    fault = random.randrange(5)
    if fault == 0:
        mesh.stop(node)
        mesh.start(node.me.node_id, node.me.place)
    elif fault == 1:
        node.link = random.choice(list(LinkState))
    elif fault == 2:
        mesh.store.paths[node.address] = random.choice(list(StorePath))
    elif fault == 3:
        mesh.are_regions_cut = not mesh.are_regions_cut
    else:
        mend(mesh)


def mend(mesh):
    """End all faults."""
    mesh.are_regions_cut = False
    mesh.store.paths.clear()
    for node in mesh.nodes.values():
        node.link = LinkState.UP


@pytest.mark.parametrize("seed", range(20))
def test_faults_at_random(seed):
    """Nodes die and return, and lose links and the store, all together."""
    mesh, _ = started_mesh(12)
    random = Random(seed)
    for turn in range(20):
        strike_at_random(mesh, random)
        overload(mesh, list(mesh.nodes.values()), SECOND_US, 100 * seed + turn)
        mesh.run(random.randrange(SECOND_US, 2 * SECOND_US))
    mend(mesh)
    mesh.run(15 * SECOND_US)
    assert_within_quota(mesh)
    assert share_in_calm(mesh, list(mesh.nodes.values())) >= 0.98
