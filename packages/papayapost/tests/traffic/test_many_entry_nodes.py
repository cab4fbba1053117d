"""Calls of a mesh whose entry nodes each send few calls to an owner node."""

from random import Random

from papayapost.ids import CallId, NodeId
from papayapost.traffic import CallArrived, SharedBudget, TrafficOptions
from papayapost_testing.simulated_calls import BackendAnswer, CallEnd, SimulatedCalls
from papayapost_testing.traffic_worlds import (
    NORTH_1,
    NORTH_2,
    SOUTH_1,
    backend_row,
    traffic_world,
)

RULES = """\
route GET /gusts/* -> gusts idempotent=yes retries=1 timeout_ms=1500 target_ms=1000 \
link=yes # Mei: wind desk
"""
SLOTS = 5
TARGET_MS = 1000
SERVICE_US = 100_000
OWNERS = {NORTH_1: 2, NORTH_2: 4, SOUTH_1: 6}
ENTRY_NODES_PER_DATA_CENTRE = 15


def simulate(calls_per_s, seconds=10, seed=7):
    """Simulate calls that arrive evenly at all entry nodes."""
    owners = [
        backend_row(f"{place.data_centre}-owner-{number}", "gusts", place, SLOTS)
        for place, count in OWNERS.items()
        for number in range(count)
    ]
    entries = [
        backend_row(f"{place.data_centre}-entry-{number}", "looks", place, SLOTS)
        for place in OWNERS
        for number in range(ENTRY_NODES_PER_DATA_CENTRE)
    ]
    rows = [*owners, *entries]
    options = TrafficOptions(
        shared_budget=SharedBudget(0.2, 172, 10_000_000),
        has_targets=True,
        has_exact_slots=True,
    )
    nodes = {
        row.node_id: traffic_world(
            row, [other for other in rows if other is not row], RULES, options=options
        )
        for row in rows
    }
    regions = {row.node_id: row.region for row in rows}

    def hop_us(sender: NodeId, receiver: NodeId) -> int:
        return 500 if regions[sender] == regions[receiver] else 30_000

    def backend(node_id: NodeId, random: Random) -> BackendAnswer:
        return BackendAnswer(int(random.expovariate(1 / SERVICE_US)))

    simulated = SimulatedCalls(nodes, backend, seed, hop_us)
    at_s, number = 0.0, 0
    while (at_s := at_s + simulated.random.expovariate(calls_per_s)) < seconds:
        number += 1
        entry = simulated.random.choice(entries).node_id
        arrived = CallArrived(CallId(number), "GET", "wind", "/gusts/wanli")
        simulated.arrive(int(at_s * 1e6), entry, arrived)
    simulated.run()
    return list(simulated.calls.values())


def waits_ms(calls):
    waits = (call.started_us - call.arrived_us for call in calls if call.started_us)
    return sorted(wait / 1000 for wait in waits)


def share_answered(calls):
    return sum(call.end is CallEnd.ANSWERED for call in calls) / len(calls)


def test_calls_do_not_wait_at_one_owner_while_others_have_free_slots():
    capacity_per_s = sum(OWNERS.values()) * SLOTS * 1e6 / SERVICE_US
    calls = simulate(0.5 * capacity_per_s)
    assert share_answered(calls) == 1
    waits = waits_ms(calls)
    assert waits[len(waits) * 99 // 100] < TARGET_MS / 10
