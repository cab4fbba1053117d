from hypothesis import given, settings, strategies as st

from papayapost.ids import AttemptId, CallId, DataCentreId, Micros, NodeId
from papayapost.observe import Event, Noted
from papayapost.timeline import (
    MAX_AHEAD_US,
    EventRing,
    HybridClock,
    TimelineQuery,
    merge_rows,
    select_call,
    select_rows,
)

SKEWS_US = (0, -30_000_000, 20_000_000)
DATA_CENTRE = DataCentreId("north-1")


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 9))))
def test_an_effect_is_stamped_after_its_cause_despite_clock_skew(hops):
    clocks = [HybridClock(NodeId(str(number))) for number in range(3)]
    true_us = 1_000_000_000
    for sender, receiver, pause_us in hops:
        true_us += pause_us
        sent = clocks[sender].tick(Micros(true_us + SKEWS_US[sender]))
        receiver_us = Micros(true_us + SKEWS_US[receiver])
        assert clocks[receiver].receive(receiver_us, sent.wall_us, sent.counter)
        assert clocks[receiver].tick(receiver_us) > sent


def test_a_stamp_far_in_the_future_is_refused():
    clock = HybridClock(NodeId("a"))
    far_us = Micros(1_000 + MAX_AHEAD_US + 1)
    assert not clock.receive(Micros(1_000), far_us, 0)
    assert clock.tick(Micros(2_000)).wall_us == 2_000


def test_the_events_of_a_call_at_all_nodes_are_in_causal_order():
    rings = {name: EventRing(DATA_CENTRE, 8) for name in "ab"}
    clocks = {name: HybridClock(NodeId(name)) for name in "ab"}
    attempt, other_attempt = AttemptId("a/1/1"), AttemptId("a/1/2")

    def record(name, wall_us, noted):
        stamp = clocks[name].tick(Micros(wall_us))
        rings[name].record(stamp, noted)
        return stamp

    record("a", 90_000, Noted(Event.CALL_ARRIVED, call_id=CallId(7)))
    offered = Noted(Event.ATTEMPT_OFFERED, call_id=CallId(7), attempt_id=attempt)
    sent = record("a", 90_001, offered)
    clocks["b"].receive(Micros(50_000), sent.wall_us, sent.counter)
    record("b", 50_000, Noted(Event.ATTEMPT_TAKEN, attempt_id=attempt))
    record("b", 50_000, Noted(Event.ATTEMPT_TAKEN, attempt_id=other_attempt))
    record("b", 50_001, Noted(Event.CALL_ARRIVED, call_id=CallId(7)))
    merged = merge_rows(list(ring) for ring in rings.values())
    followed = select_call(merged, NodeId("a"), CallId(7))
    steps = [(row.event, row.stamp.node_id) for row in followed]
    assert steps == [
        (Event.CALL_ARRIVED, "a"),
        (Event.ATTEMPT_OFFERED, "a"),
        (Event.ATTEMPT_TAKEN, "b"),
    ]
    only_b = select_rows(merged, TimelineQuery(node_ids=frozenset([NodeId("b")])))
    assert len(only_b) == 3


def test_a_full_ring_drops_its_oldest_events_and_counts_them():
    ring = EventRing(DATA_CENTRE, 2)
    clock = HybridClock(NodeId("a"))
    for call in range(5):
        ring.record(clock.tick(Micros(call)), Noted(Event.CALL_ARRIVED, call_id=call))
    assert [row.call_id for row in ring] == [3, 4]
    assert ring.dropped == 3
