"""Cost of distributing rules versions through the tree of relays."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from statistics import median

from papayapost.distribution import (
    RULES_KEY,
    RulesDelta,
    RulesProgress,
    RulesRequest,
    diff_lines,
)
from papayapost.distribution.messages import TextOffered
from papayapost.ids import Address, NodeId, RuleVersion
from papayapost.membership import ChildJoined, DirectoryChanged, RoleChanged
from papayapost.peering import PeerSend
from papayapost.rules import rules_digest
from papayapost.storage import (
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    UpdateObject,
    WatchObject,
)
from papayapost_node.wire import (
    CONTROL_TYPES,
    MESSAGE_NUMBERS,
    CompressingCodec,
    MessagePackCodec,
)
from papayapost_testing.bench.herd import herd_rows
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.distribution_worlds import (
    DistributionWorld,
    child_row,
    distribution_world,
    parent_row,
)
from papayapost_testing.traffic_worlds import backend_row

__all__ = ["run"]

_NODES = 12_000
_REGIONS = 2
_SECOND_US = 1_000_000
_CHANGE_INTERVAL_US = 86_400 * _SECOND_US // 25_000
_LEVELS_BELOW_LINK = 3
_FEW_CHILDREN = 10
_CHILDREN = 50
_STORE_ROUND_TRIP_S = 0.06
_LINK_DELAY_S = 0.03
_CODEC = CompressingCodec(MessagePackCodec(MESSAGE_NUMBERS), CONTROL_TYPES)


def run(short: bool) -> list[BenchRow]:
    """Measure changes, resuming nodes, store calls and herds of nodes.

    Parameters
    ----------
    short
        Measure fewer changes and a smaller herd.
    """
    changes = 5 if short else 40
    rows: list[BenchRow] = []
    for rules in (100, 1_000, 5_000):
        rows.extend(_cost_of_changes(rules, changes))
        rows.extend(_resume_and_activation(rules, changes))
        rows.append(_convergence(rules, changes))
        rows.append(_memory(rules, changes))
    rows.append(_store_calls(changes))
    rows.extend(herd_rows(240 if short else 2_400))
    return rows


def _text(rules: int, change: int) -> str:
    lines = [
        f"route GET /path-{number}/* -> service-{number % 8} rank=high "
        f"timeout_ms=800 # Mei: reason number {number}"
        for number in range(rules)
    ]
    lines[change % rules] += f", changed {change} times"
    return "\n".join(lines) + "\n"


def _delta(rules: int, change: int) -> RulesDelta:
    before, after = _text(rules, change - 1), _text(rules, change)
    return RulesDelta(
        NodeId("link"),
        RuleVersion(change - 1),
        rules_digest(before),
        RuleVersion(change),
        rules_digest(after),
        diff_lines(before, after),
    )


def _relay(rules: int, children: int) -> DistributionWorld:
    """Return a relay on which, as on its children, version 1 is active."""
    node = distribution_world("relay")
    node.tree.parent = parent_row("link")
    node.tree.is_relay = True
    for number in range(8):
        row = backend_row(f"n{number}", f"service-{number}")
        node.directory.put(row.node_id, row)
    joined = [ChildJoined(child_row(f"c{n}", 1)) for n in range(children)]
    for message in joined:
        node.tree.children.put(message.child.node_id, message.child)
    text = _text(rules, 1)
    node.tick(0, *node.part.first_messages, *joined)
    node.tick(1, TextOffered(RuleVersion(1), text))
    assert node.part.rules.version == 1
    return node


def _frames(effects: list) -> list[bytes]:
    return [_CODEC.encode(e.message) for e in effects if isinstance(e, PeerSend)]


def _time_s(function: Callable[[], object], repetitions: int) -> float:
    start_ns = time.process_time_ns()
    for _ in range(repetitions):
        function()
    return (time.process_time_ns() - start_ns) / repetitions / 1e9


def _cost_of_changes(rules: int, changes: int) -> list[BenchRow]:
    """Measure the CPU time and size of a change, in total and per child."""
    few, many = _relay(rules, _FEW_CHILDREN), _relay(rules, _CHILDREN)
    few_us: list[float] = []
    many_us: list[float] = []
    sent_bytes = 0
    for change in range(2, changes + 2):
        delta = _delta(rules, change)
        few_us.append(_time_change(few, delta)[0])
        cost_us, sent = _time_change(many, delta)
        many_us.append(cost_us)
        sent_bytes = max(sent_bytes, sent)
    extra_children = _CHILDREN - _FEW_CHILDREN
    pairs = zip(few_us, many_us, strict=True)
    slopes = [(above - below) / extra_children for below, above in pairs]
    text = _text(rules, 1)
    full_delta_us = _time_s(lambda: _CODEC.encode(_full_delta(text)), 3) * 1e6
    return [
        BenchRow(
            f"CPU of a change, {_FEW_CHILDREN} children", rules, median(few_us), "us"
        ),
        BenchRow(
            f"CPU of a change, {_CHILDREN} children", rules, median(many_us), "us"
        ),
        BenchRow(
            "CPU of a change per child", rules, median(slopes), "us", full_delta_us
        ),
        BenchRow(
            "bytes of a change per child",
            rules,
            sent_bytes,
            "B",
            _full_delta_bytes(rules),
        ),
    ]


def _time_change(node: DistributionWorld, delta: RulesDelta) -> tuple[float, int]:
    """Return the CPU time to pass a delta on, in µs, and a message size.

    The size is that of the largest message sent, in bytes.
    """
    acknowledged = [
        RulesProgress(child.node_id, delta.base_version, ())
        for child in node.tree.children
    ]
    now_us = delta.version * _CHANGE_INTERVAL_US
    start_ns = time.process_time_ns()
    effects = [*node.tick(now_us, *acknowledged), *node.tick(now_us + 1, delta)]
    frames = _frames(effects)
    return (time.process_time_ns() - start_ns) / 1e3, max(map(len, frames))


def _full_delta(text: str) -> RulesDelta:
    """Return a delta from the empty text to a whole text.

    It is the baseline: the message of a relay that always sends whole texts.
    """
    edits = diff_lines("", text)
    version = RuleVersion(1)
    return RulesDelta(NodeId("link"), version, "", version, rules_digest(text), edits)


def _full_delta_bytes(rules: int) -> int:
    return len(_CODEC.encode(_full_delta(_text(rules, 1))))


def _resume_and_activation(rules: int, changes: int) -> list[BenchRow]:
    node = _relay(rules, 1)
    for change in range(2, changes + 2):
        node.tick(change * _SECOND_US, _delta(rules, change))
    held_digest = rules_digest(_text(rules, 1))
    request = RulesRequest(NodeId("c"), Address("c"), RuleVersion(1), held_digest)
    answers = [
        effect
        for effect in node.tick(changes * _SECOND_US, request)
        if isinstance(effect, PeerSend) and effect.address == request.reply_to
    ]
    resume_bytes = len(_frames(answers)[0])
    return [
        BenchRow(
            f"bytes of a resume after {changes} changes",
            rules,
            resume_bytes,
            "B",
            _full_delta_bytes(rules),
        ),
        _activation(rules),
    ]


def _activation(rules: int) -> BenchRow:
    """Time the tick that activates a staged version, in µs.

    The tick discovers the last service that the version waits for.
    """
    node = _relay(rules, 0)
    extra = "route GET /late -> late # Mei: not known yet\n"
    node.tick(2, TextOffered(RuleVersion(2), extra + _text(rules, 1)))
    row = backend_row("late-1", "late")
    node.directory.put(row.node_id, row)
    start_ns = time.perf_counter_ns()
    node.tick(3, DirectoryChanged((row,)))
    value_us = (time.perf_counter_ns() - start_ns) / 1e3
    assert node.part.rules.version == 2
    return BenchRow("tick that swaps a version in", rules, value_us, "us")


def _memory(rules: int, changes: int) -> BenchRow:
    """Return the memory of the rules and their history in a relay, in bytes.

    The baseline value is the memory budget of a node, 64 MB.
    """
    tracemalloc.start()
    node = _relay(rules, _CHILDREN)
    for change in range(2, changes + 2):
        node.tick(change * _CHANGE_INTERVAL_US, _delta(rules, change))
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert node.part.rules.version == changes + 1
    return BenchRow("memory of the rules in a relay", rules, traced_bytes, "B", 64e6)


def _convergence(rules: int, changes: int) -> BenchRow:
    """Estimate the time until a change is active on the last leaf, in s.

    The estimate adds up the store's round trips, the delay of the link and
    the time of each level of the tree at the design size. Each level compiles
    the change before it sends it on, and the last child of a level waits
    until the relay has encoded the messages to the 49 children before it.
    The baseline value is the budget, 5 s.
    """
    node = _relay(rules, _CHILDREN)
    total_ns = 0
    for change in range(2, changes + 2):
        delta = _delta(rules, change)
        start_ns = time.perf_counter_ns()
        _frames(node.tick(change * _CHANGE_INTERVAL_US, delta))
        total_ns += time.perf_counter_ns() - start_ns
    level_s = total_ns / changes / 1e9
    store_s = 3 * _STORE_ROUND_TRIP_S
    value_s = store_s + (1 + _LEVELS_BELOW_LINK) * level_s + _LINK_DELAY_S
    return BenchRow("change in force on the last leaf", rules, value_s, "s", 5.0)


def _store_calls(changes: int) -> BenchRow:
    """Count the store calls per change of the link relays, one per region."""
    node = distribution_world("link")
    node.tree.is_link_relay = True
    for number in range(8):
        row = backend_row(f"n{number}", f"service-{number}")
        node.directory.put(row.node_id, row)
    joined = [ChildJoined(child_row(f"c{n}")) for n in range(6)]
    now_us, version, calls = 0, 0, 0
    inbox: list = [*node.part.first_messages, RoleChanged(), *joined]
    for change in range(1, changes + 1):
        text = _text(100, change)
        inbox.append(ObjectRead(RULES_KEY, 10 * change, text))
        end_us = now_us + _CHANGE_INTERVAL_US
        while now_us < end_us:
            effects = node.tick(now_us, *inbox)
            inbox = []
            for effect in effects:
                if isinstance(effect, WatchObject | ReadObject | UpdateObject):
                    calls += 1
                version += 1
                inbox.extend(_store_answer(effect, version))
            now_us += _SECOND_US // 10
    return BenchRow(
        "store calls per change, all link relays",
        _NODES,
        _REGIONS * calls / changes,
        "calls",
        _NODES,
    )


def _store_answer(effect: object, version: int) -> list:
    if isinstance(effect, UpdateObject):
        return [ObjectUpdated(effect.key, effect.request_id, version)]
    if isinstance(effect, ReadObject):
        return [ObjectRead(effect.key, 0, None, effect.request_id)]
    return []
