"""Load on a relay that a thundering herd of nodes without rules joins."""

import heapq
from collections import Counter, deque
from dataclasses import dataclass

from papayapost.distribution import (
    ChunkRequest,
    RulesBusy,
    RulesChunk,
    TextOffered,
)
from papayapost.ids import Address, NodeId, RuleVersion
from papayapost.peering import PeerSend
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.distribution_worlds import (
    DistributionWorld,
    distribution_world,
    parent_row,
)

__all__ = ["herd_rows"]

_RULES = 1_000
_ROUND_TRIP_US = 1_000
_SECOND_US = 1_000_000
_TIME_LIMIT_S = 3_600


@dataclass(slots=True)
class _HerdFigures:
    """How a relay served the text of the rules to a herd of nodes.

    Parameters
    ----------
    last_s
        Virtual time at which the last node had the whole text.
    peak_bytes
        Largest number of bytes of text that the relay sent in one second.
    requests
        Number of requests that the relay received.
    """

    last_s: float
    peak_bytes: int
    requests: int


def herd_rows(nodes: int) -> list[BenchRow]:
    """Return the peak and duration of the load by a herd of nodes.

    The baseline of the peak is a relay that sends the text to all nodes
    within one second.
    """
    text = "".join(
        f"route GET /path-{n}/* -> gusts rank=high # Mei: reason number {n}\n"
        for n in range(_RULES)
    )
    figures = _serve(nodes, text)
    all_bytes = nodes * len(text)
    per_second = all_bytes / figures.last_s
    return [
        BenchRow(
            "herd: peak bytes in a second", nodes, figures.peak_bytes, "B", all_bytes
        ),
        BenchRow("herd: bytes per second", nodes, per_second, "B/s"),
        BenchRow("herd: last node served after", nodes, figures.last_s, "s"),
        BenchRow(
            "herd: requests per node", nodes, figures.requests / nodes, "messages"
        ),
    ]


def _relay(text: str) -> DistributionWorld:
    node = distribution_world("relay")
    node.tree.parent = parent_row("link")
    node.tick(0, *node.part.first_messages, TextOffered(RuleVersion(1), text))
    return node


def _serve(nodes: int, text: str) -> _HerdFigures:
    relay = _relay(text)
    digest = relay.part.rules.held_digest
    due_requests: list[tuple[int, int]] = [(0, number) for number in range(nodes)]
    offsets = [0] * nodes
    done = deque[int]()
    sent_by_second: Counter[int] = Counter()
    requests = now_us = 0
    while len(done) < nodes and now_us < _TIME_LIMIT_S * _SECOND_US:
        now_us = _next_us(relay, due_requests, now_us)
        arrived = []
        while due_requests and due_requests[0][0] <= now_us:
            number = heapq.heappop(due_requests)[1]
            name = str(number)
            arrived.append(
                ChunkRequest(
                    NodeId(name), Address(name), RuleVersion(1), digest, offsets[number]
                )
            )
        requests += len(arrived)
        for effect in relay.tick(now_us, *arrived):
            if not isinstance(effect, PeerSend) or not effect.address.isdigit():
                continue
            number, message = int(effect.address), effect.message
            if isinstance(message, RulesChunk):
                sent_by_second[now_us // _SECOND_US] += len(message.data)
                offsets[number] += len(message.data)
                if offsets[number] >= message.size_bytes:
                    done.append(now_us)
                else:
                    heapq.heappush(due_requests, (now_us + _ROUND_TRIP_US, number))
            elif isinstance(message, RulesBusy):
                heapq.heappush(due_requests, (now_us + message.retry_after_us, number))
    return _HerdFigures(now_us / _SECOND_US, max(sent_by_second.values()), requests)


def _next_us(
    relay: DistributionWorld, due_requests: list[tuple[int, int]], now_us: int
) -> int:
    times = [due_requests[0][0]] if due_requests else []
    timer_us = relay.world.next_due_us()
    if timer_us is not None:
        times.append(timer_us)
    return max(now_us, min(times))
