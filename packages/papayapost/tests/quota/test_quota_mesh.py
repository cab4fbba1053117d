"""Quotas over all nodes of a mesh of two regions, without a fault.

Each test guards against an account that runs more calls than its quota, or
against calls within the quota that are refused.
"""

from random import Random

import pytest

from papayapost.observe import Event
from papayapost.quota import (
    NotLender,
    TokenDenied,
    TokenGranted,
    TokenReturned,
    TokensSent,
    TokensWanted,
    TokenWanted,
)
from papayapost.storage import ObjectKind
from papayapost.traffic import RefusalCode
from papayapost_testing.quota_mesh import PLACES, QuotaMesh, allowed_in_window
from papayapost_testing.roster_store import StoreRequest

SECOND_US = 1_000_000
NORTH = PLACES[0].region
QUOTA_MESSAGES = {
    NotLender,
    TokenDenied,
    TokenGranted,
    TokenReturned,
    TokenWanted,
    TokensSent,
    TokensWanted,
}
NAME = "shapers"


def quota_messages(mesh):
    """Return how many messages about tokens were sent between nodes."""
    return sum(
        count for (_, kind), count in mesh.messages.items() if kind in QUOTA_MESSAGES
    )


def share_under_load(mesh, loads, span_us=20 * SECOND_US, seed=1):
    """Return the share of calls that ran, for loads of nodes and rates."""
    start_us, random = mesh.now_us, Random(seed)
    for nodes, rate_per_s in loads:
        mesh.load(nodes, NAME, rate_per_s, span_us, random)
    mesh.run(span_us + SECOND_US)
    return mesh.calls[NAME].run_share(start_us, start_us + span_us)


def in_region(nodes, region=NORTH):
    return [node for node in nodes if node.me.place.region == region]


def test_each_partition_of_each_region_has_one_lender():
    mesh = QuotaMesh({NAME: (60, 30)})
    nodes = mesh.start_nodes(16)
    held = [node.built.quotas.held_leases for node in nodes]
    assert sum(held) == 4
    assert max(held) == 1


def test_leases_cost_few_store_calls_in_calm():
    """Candidates that wait must not read the leases again and again."""
    mesh = QuotaMesh({NAME: (60, 30)})
    mesh.start_nodes(60)
    mesh.run(10 * SECOND_US)
    since_us = mesh.now_us
    mesh.run(18 * SECOND_US)
    kinds = [kind for at, _, kind in mesh.store.calls if at >= since_us]
    assert kinds.count(StoreRequest.READ) == 0
    # Four leases, each renewed every 1.8 s.
    assert kinds.count(StoreRequest.UPDATE) <= 4 * 11


def test_without_quotas_there_is_no_message_and_no_store_call():
    mesh = QuotaMesh({NAME: (0, 0)})
    nodes = mesh.start_nodes(16)
    reads = [kind for _, _, kind in mesh.store.calls if kind is StoreRequest.READ]
    for node in nodes:
        mesh.call(node, NAME)
    mesh.run(SECOND_US)
    assert len(mesh.calls[NAME].run_us) == len(nodes)
    assert not reads
    assert not any(key.kind is ObjectKind.QUOTA_LEASE for key in mesh.store.objects)
    assert quota_messages(mesh) == 0


def test_calls_of_other_accounts_cost_no_message():
    mesh = QuotaMesh({NAME: (60, 30), "waxers": (0, 0)})
    nodes = mesh.start_nodes(16)
    for node in nodes:
        mesh.call(node, "waxers")
    mesh.run(SECOND_US)
    assert len(mesh.calls["waxers"].run_us) == len(nodes)
    assert quota_messages(mesh) == 0


def test_a_lender_serves_its_own_calls_without_a_message():
    mesh = QuotaMesh({NAME: (60, 30)})
    mesh.start_nodes(16)
    for node in mesh.lenders():
        mesh.call(node, NAME)
    mesh.run(SECOND_US)
    sent = [kind for (_, kind) in mesh.messages if kind is TokenWanted]
    ran_at_once = mesh.calls[NAME].waits_us.count(0)
    assert len(mesh.calls[NAME].run_us) == len(mesh.lenders())
    assert ran_at_once == 2, sent


def test_calls_of_one_tick_to_one_lender_share_a_message():
    mesh = QuotaMesh({NAME: (600, 300)})
    nodes = mesh.start_nodes(16)
    node = next(node for node in nodes if node not in mesh.lenders())
    calls = [mesh.arrival(node, NAME) for _ in range(20)]
    mesh.post_all(node, calls)
    mesh.run(SECOND_US)
    assert len(mesh.calls[NAME].run_us) == 20
    assert mesh.messages[node.address, TokenWanted] == 1


@pytest.mark.parametrize("count", [8, 16, 60])
def test_an_account_far_over_its_quota_runs_its_quota_and_no_more(count):
    rate_per_s, burst = 40, 20
    mesh = QuotaMesh({NAME: (rate_per_s, burst)})
    nodes = mesh.start_nodes(count)
    start_us = mesh.now_us
    share = share_under_load(mesh, [(nodes, 7.5 * rate_per_s)])
    calls = mesh.calls[NAME]
    assert calls.most_in_window() <= allowed_in_window(rate_per_s, burst)
    assert share * 7.5 >= 0.98
    assert calls.codes(start_us) == {RefusalCode.QUOTA}


def test_those_refused_are_told_to_return_at_different_times():
    mesh = QuotaMesh({NAME: (40, 20)})
    nodes = mesh.start_nodes(8)
    share_under_load(mesh, [(nodes, 300)], 5 * SECOND_US)
    after_ms = [after_ms for _, _, after_ms in mesh.calls[NAME].refused]
    assert all(after_ms >= 50 for after_ms in after_ms)
    assert len(set(after_ms)) > len(after_ms) // 4


@pytest.mark.parametrize("rate_per_s", [2, 20, 200])
@pytest.mark.parametrize("north_share", [0.5, 0.85, 1.0])
def test_an_account_within_its_quota_runs_nearly_all_calls(rate_per_s, north_share):
    """Demand is spread over the regions evenly, unevenly and not at all."""
    mesh = QuotaMesh({NAME: (rate_per_s, rate_per_s)})
    nodes = mesh.start_nodes(16)
    north, south = in_region(nodes), in_region(nodes, PLACES[1].region)
    used_per_s = 0.9 * rate_per_s
    loads = [(north, used_per_s * north_share)]
    if north_share < 1:
        loads.append((south, used_per_s * (1 - north_share)))
    assert share_under_load(mesh, loads) >= 0.98


@pytest.mark.parametrize("north_share", [0.5, 0.9])
def test_an_account_without_a_burst_may_call_at_random_times(north_share):
    rate_per_s = 100
    mesh = QuotaMesh({NAME: (rate_per_s, 0)})
    nodes = mesh.start_nodes(16)
    north, south = in_region(nodes), in_region(nodes, PLACES[1].region)
    used_per_s = 0.9 * rate_per_s
    loads = [(north, used_per_s * north_share), (south, used_per_s * (1 - north_share))]
    assert share_under_load(mesh, loads) >= 0.98
    assert mesh.calls[NAME].most_in_window() <= allowed_in_window(rate_per_s, 0)


def test_demand_that_moves_between_regions_stays_served():
    rate_per_s = 60
    mesh = QuotaMesh({NAME: (rate_per_s, rate_per_s)})
    nodes = mesh.start_nodes(16)
    for turn in range(6):
        region = PLACES[turn % 2].region
        share = share_under_load(
            mesh, [(in_region(nodes, region), 0.9 * rate_per_s)], 4 * SECOND_US, turn
        )
        assert share >= 0.98
    allowed = allowed_in_window(rate_per_s, rate_per_s)
    assert mesh.calls[NAME].most_in_window() <= allowed


def test_a_call_that_ends_as_not_run_returns_its_token():
    mesh = QuotaMesh({NAME: (4, 8)})
    nodes = mesh.start_nodes(8)
    mesh.refusing = True
    for _ in range(30):
        mesh.call(nodes[-1], NAME)
        mesh.run(SECOND_US // 2)
    assert RefusalCode.QUOTA not in mesh.calls[NAME].codes()
    mesh.refusing = False
    for _ in range(6):
        mesh.call(nodes[-1], NAME)
    mesh.run(SECOND_US)
    assert len(mesh.calls[NAME].run_us) == 6


def test_a_caller_that_leaves_while_it_waits_returns_its_token():
    mesh = QuotaMesh({NAME: (1, 8)})
    nodes = mesh.start_nodes(8)
    node = next(node for node in in_region(nodes) if node not in mesh.lenders())
    for _ in range(30):
        mesh.call_and_leave(node, NAME, 1_000)
        mesh.run(SECOND_US // 10)
    assert not node.built.traffic.calls.quota_waits
    returned = mesh.messages[node.address, TokenReturned]
    assert returned == 30
    assert not mesh.calls[NAME].refused


def test_a_caller_that_leaves_at_once_leaves_nothing_behind():
    mesh = QuotaMesh({NAME: (1, 8)})
    nodes = mesh.start_nodes(8)
    node = next(node for node in in_region(nodes) if node not in mesh.lenders())
    for _ in range(30):
        mesh.call_and_leave(node, NAME)
        mesh.run(SECOND_US // 10)
    mesh.run(SECOND_US)
    assert not node.built.traffic.calls.quota_waits
    assert not node.built.quotas.asks
    assert not mesh.calls[NAME].run_us
    assert not mesh.calls[NAME].refused


def test_a_call_whose_deadline_passes_while_it_waits_is_refused():
    mesh = QuotaMesh({NAME: (60, 30)})
    nodes = mesh.start_nodes(8)
    node = next(node for node in nodes if node not in mesh.lenders())
    mesh.call(node, NAME, budget_us=1_000)
    mesh.run(SECOND_US)
    assert mesh.calls[NAME].codes() == {RefusalCode.DEADLINE}
    assert not mesh.calls[NAME].run_us
    assert mesh.messages[node.address, TokenReturned] == 1


def test_the_log_says_when_a_quota_is_reached():
    mesh = QuotaMesh({NAME: (4, 4)})
    nodes = mesh.start_nodes(8)
    share_under_load(mesh, [(nodes, 100)], 5 * SECOND_US)
    noted = sum(node.events.count(Event.QUOTA_REACHED) for node in nodes)
    assert 1 <= noted <= 2
