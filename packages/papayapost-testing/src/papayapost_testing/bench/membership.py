"""CPU time, memory and traffic that membership costs one node.

Bytes are those of the frames between nodes, without the headers of TCP and
IP. The baseline is a mesh in which every node announces itself to a seed node
each second and receives the whole directory in return.
"""

import heapq
import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RuleVersion,
)
from papayapost.kernel import World
from papayapost.membership import (
    Announcement,
    BackendServerRow,
    BucketRows,
    DirectoryDelta,
    DirectoryObject,
    Heartbeat,
    JoinRedirected,
    JoinRequest,
    MembershipPart,
    RowsReceived,
    build_membership,
    rank_key,
)
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost_node.store.values import encode_value
from papayapost_node.wire import MESSAGE_NUMBERS, MessagePackCodec
from papayapost_node.wire.compression import CompressingCodec
from papayapost_node.wire.message_numbers import CONTROL_TYPES
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.traffic_worlds import NORTH_1, NORTH_2, SOUTH_1, backend_row

__all__ = ["run"]

SECOND_US = 1_000_000
WALL_TIME_US = 1_700_000_000_000_000
CHILDREN = 50
RELAY_CHILDREN = 25
JOINS_AT_ONCE = 5
DISSEMINATION_DELAY_US = 200_000
RESTARTS_PER_DAY = 620
DAY_S = 86_400
HERD_NODES = 2_400
SERVICES = 810

CODEC = CompressingCodec(MessagePackCodec(MESSAGE_NUMBERS), CONTROL_TYPES)


@dataclass(slots=True)
class Node:
    """The world of a node with its current virtual time."""

    world: World
    part: MembershipPart
    now_us: Micros

    def tick(self, *messages: object) -> list[PeerSend]:
        """Run one tick and return the messages that it sends to peers."""
        effects = self.world.tick(self.now_us, messages)
        return [effect for effect in effects if isinstance(effect, PeerSend)]

    def run_until(self, end_us: int) -> list[PeerSend]:
        """Advance to a time and return the messages that due timers send."""
        sent: list[PeerSend] = []
        while True:
            due_us = self.world.next_due_us()
            if due_us is None or due_us > end_us:
                break
            self.now_us = Micros(max(due_us, self.now_us))
            sent += self.tick()
        self.now_us = Micros(end_us)
        return sent


def run(short: bool) -> list[BenchRow]:
    """Return the costs of membership for one node at several mesh sizes."""
    rows: list[BenchRow] = []
    for size in (100, 1_000, 12_000):
        rows += measure_ticks(size, 200 if short else 2_000)
    rows += measure_bytes(12_000)
    rows += measure_idle(12_000)
    rows += measure_churn(12_000)
    rows += measure_herd(12_000)
    return [*rows, measure_memory(12_000)]


def mesh_rows(size: int, seed: int = 1) -> list[BackendServerRow]:
    """Return the directory rows of nodes, spread over five data centres."""
    random = Random(seed)
    places = [NORTH_1, NORTH_2, replace(NORTH_2, data_centre=DataCentreId("north-3"))]
    places += [SOUTH_1, replace(SOUTH_1, data_centre=DataCentreId("south-2"))]
    rows = []
    for number in range(size):
        place = places[number % len(places)]
        service = f"service-{random.randrange(SERVICES)}"
        name = f"{place.data_centre}-vm-{number:05}"
        ip = f"10.{number % 5}.{number // 250}.{number % 250}"
        row = backend_row(name, service, place, slots=9)
        started_us = WALL_TIME_US - random.randrange(DAY_S * SECOND_US)
        row.incarnation = Incarnation(started_us)
        row.peer_address = Address(f"{ip}:7001")
        rows.append(row)
    return rows


def parent_node(rows: list[BackendServerRow], children: int = CHILDREN) -> Node:
    """Return the top relay of a data centre, after its children joined."""
    local_rows = [row for row in rows if row.data_centre == NORTH_1.data_centre]
    local_rows.sort(key=lambda row: rank_key(row.node_id))
    own = local_rows[0]
    me = SelfRow(own.node_id, Incarnation(WALL_TIME_US), NORTH_1, own.peer_address)
    part = build_membership(me, [], replace(own, incarnation=me.incarnation))
    node = Node(World(part.systems, Random(1)), part, Micros(0))
    node.tick(*part.first_messages)
    for start in range(0, len(rows), 500):
        chunk = tuple(row for row in rows[start : start + 500] if row is not own)
        node.tick(RowsReceived(None, None, chunk))
    for start in range(-children, 0, JOINS_AT_ONCE):
        node.now_us = Micros(node.now_us + SECOND_US)
        for child in local_rows[start : start + JOINS_AT_ONCE or None]:
            node.tick(join_request(child))
    return node


def join_request(row: BackendServerRow) -> JoinRequest:
    """Return the join request of a node that accepts any parent."""
    return JoinRequest(row.node_id, row, True, RuleVersion(0), 0)


def heartbeats_of(node: Node) -> list[Heartbeat]:
    """Return one heartbeat from each child of a node."""
    digest = 0x9E3779B97F4A7C15
    return [
        Heartbeat(child.node_id, child.incarnation, RuleVersion(25_000), digest)
        for child in node.part.tree.children
    ]


def size_of(messages) -> int:
    """Return the size of the frames of some messages, in bytes."""
    return sum(len(CODEC.encode(message)) for message in messages)


def sent_bytes(sent: list[PeerSend]) -> int:
    """Return the size of the frames that a node sent, in bytes."""
    return size_of(effect.message for effect in sent)


def measure_ticks(size: int, repeats: int) -> list[BenchRow]:
    """Measure the CPU time of a directory change and of heartbeats."""
    node = parent_node(mesh_rows(size))
    changed_row = mesh_rows(size)[1]
    heartbeats = heartbeats_of(node)
    changes_us = 0.0
    for number in range(repeats):
        node.tick(*heartbeats)
        node.run_until(node.now_us + SECOND_US)
        row = replace(changed_row, revision=number + 2)
        delta = DirectoryDelta(changed_row.node_id, changed_row.peer_address, (row,))
        started_s = time.process_time()
        node.tick(delta)
        node.run_until(node.now_us + DISSEMINATION_DELAY_US)
        changes_us += (time.process_time() - started_s) * 1e6 / repeats
    started_s = time.process_time()
    for _ in range(repeats // 10):
        for heartbeat in heartbeats:
            node.tick(heartbeat)
    heartbeats_us = (time.process_time() - started_s) / (repeats // 10) * 1e6
    announcement = Announcement(
        changed_row.node_id, changed_row.peer_address, tuple(mesh_rows(size)), False
    )
    started_s = time.process_time()
    CODEC.encode(announcement)
    baseline_us = (time.process_time() - started_s) * 1e6
    return [
        BenchRow("one change, merged and passed on to 50", size, changes_us, "us"),
        BenchRow(
            f"heartbeats of {len(heartbeats)} children, per second",
            size,
            heartbeats_us,
            "us",
            baseline_us * len(heartbeats),
        ),
    ]


def measure_bytes(size: int) -> list[BenchRow]:
    """Measure the bytes of a row in a snapshot and in the stored directory."""
    local_rows = [r for r in mesh_rows(size) if r.data_centre == NORTH_1.data_centre]
    chunk = tuple(local_rows[:150])
    sender, address = local_rows[0].node_id, local_rows[0].peer_address
    frame = BucketRows(sender, address, NORTH_1.data_centre, (1, 2, 3, 4), chunk)
    plain = MessagePackCodec(MESSAGE_NUMBERS).encode(frame)
    image = encode_value(DirectoryObject((), tuple(local_rows)))
    per_row = len(CODEC.encode(frame)) / len(chunk)
    return [
        BenchRow("snapshot, per row", size, per_row, "B", len(plain) / len(chunk)),
        BenchRow("stored directory, per row", size, len(image) / len(local_rows), "B"),
        BenchRow("stored directory of a data centre", size, len(image), "B"),
    ]


def measure_idle(size: int) -> list[BenchRow]:
    """Measure control bytes and CPU time of a parent of 50 children.

    No node changes its row meanwhile: the traffic is heartbeats and replies.
    """
    node = parent_node(mesh_rows(size))
    seconds, sent, received = 60, 0, 0
    started_s = time.process_time()
    for _ in range(seconds):
        heartbeats = heartbeats_of(node)
        effects = node.tick(*heartbeats) + node.run_until(node.now_us + SECOND_US)
        received += size_of(heartbeats)
        sent += sent_bytes(effects)
    core_percent = (time.process_time() - started_s) / seconds * 100
    rows = tuple(mesh_rows(size))
    announcement_bytes = size_of(
        [Announcement(NodeId("seed"), rows[0].peer_address, rows, False)]
    )
    per_second = (sent + received) / seconds
    children = len(node.part.tree.children)
    heartbeat_bytes = size_of(heartbeats_of(node)) / children
    answer_bytes = per_second / children - heartbeat_bytes
    return [
        BenchRow(
            "idle parent, sent and received",
            size,
            per_second,
            "B/s",
            announcement_bytes * size,
        ),
        BenchRow(
            "idle leaf, sent and received",
            size,
            heartbeat_bytes + answer_bytes,
            "B/s",
            announcement_bytes,
        ),
        BenchRow("idle parent, with encoding", size, core_percent, "% of a core"),
    ]


def measure_churn(size: int) -> list[BenchRow]:
    """Measure the control bytes of a parent while nodes restart.

    The cases are 620 restarts a day in the whole mesh, and the restart of all
    nodes of a data centre at once.
    """
    node = parent_node(mesh_rows(size))
    row = mesh_rows(size)[7]
    restarted = replace(row, incarnation=Incarnation(row.incarnation + 1))
    sent = node.tick(DirectoryDelta(row.node_id, row.peer_address, (restarted,)))
    sent += node.run_until(node.now_us + SECOND_US)
    deltas = [e.message for e in sent if isinstance(e.message, DirectoryDelta)]
    # A restart changes a row twice: when the old process leaves and when the
    # new process joins.
    per_second = size_of(deltas) * 2 * RESTARTS_PER_DAY / DAY_S
    local_rows = [r for r in mesh_rows(size) if r.data_centre == NORTH_1.data_centre]
    restarted_rows = [
        replace(r, incarnation=Incarnation(r.incarnation + 9))
        for r in local_rows
        if r.node_id not in node.part.tree.children
    ]
    for start in range(0, len(restarted_rows), 240):
        chunk = tuple(restarted_rows[start : start + 240])
        node.tick(DirectoryDelta(row.node_id, row.peer_address, chunk))
    bytes_by_second = []
    for _ in range(60):
        heartbeats = heartbeats_of(node)
        effects = node.tick(*heartbeats) + node.run_until(node.now_us + SECOND_US)
        bytes_by_second.append(sent_bytes(effects) + size_of(heartbeats))
    return [
        BenchRow("620 restarts a day, parent of 50", size, per_second, "B/s"),
        BenchRow(
            "data centre restarts, worst second",
            size,
            max(bytes_by_second),
            "B/s",
        ),
        BenchRow(
            "data centre restarts, mean of minute",
            size,
            sum(bytes_by_second) / 60,
            "B/s",
        ),
        BenchRow(
            "data centre restarts, last 20 s",
            size,
            sum(bytes_by_second[40:]) / 20,
            "B/s",
        ),
    ]


def measure_herd(size: int) -> list[BenchRow]:
    """Measure the bytes of 2,400 nodes that ask one relay to join at once."""
    rows = mesh_rows(size)
    node = parent_node(rows, RELAY_CHILDREN)
    random = Random(2)
    newcomers = [
        replace(
            backend_row(f"new-{n:05}", "gusts"), incarnation=Incarnation(WALL_TIME_US)
        )
        for n in range(HERD_NODES)
    ]
    queue = [(node.now_us + random.randrange(SECOND_US), n) for n in range(HERD_NODES)]
    heapq.heapify(queue)
    start_us: int = node.now_us
    last_heartbeats_us = start_us
    bytes_by_second: Counter[int] = Counter()
    while queue:
        due_us, number = heapq.heappop(queue)
        row = newcomers[number]
        sent = node.run_until(due_us)
        if due_us - last_heartbeats_us > SECOND_US:
            last_heartbeats_us = due_us
            heartbeats = heartbeats_of(node)
            sent += node.tick(*heartbeats)
            bytes_by_second[(due_us - start_us) // SECOND_US] += size_of(heartbeats)
        request = replace(join_request(row), accepts_any=False)
        sent += node.tick(request)
        bytes_by_second[(due_us - start_us) // SECOND_US] += sent_bytes(sent)
        replies = [e.message for e in sent if e.address == row.peer_address]
        answer = next((m for m in replies if isinstance(m, JoinRedirected)), None)
        if answer is None and not replies:
            pause_us = random.randrange(SECOND_US, 15 * SECOND_US)
            heapq.heappush(queue, (due_us + pause_us, number))
        elif answer is not None and answer.retry_after_ms:
            heapq.heappush(queue, (due_us + answer.retry_after_ms * 1_000, number))
    announcement_bytes = size_of(
        [Announcement(NodeId("seed"), rows[0].peer_address, tuple(rows), False)]
    )
    seconds = (node.now_us - start_us) / SECOND_US
    worst, mean = max(bytes_by_second.values()), sum(bytes_by_second.values()) / seconds
    return [
        BenchRow(
            "herd of 2,400, worst second",
            size,
            worst,
            "B/s",
            announcement_bytes * HERD_NODES,
        ),
        BenchRow("herd of 2,400, mean", size, mean, "B/s"),
        BenchRow("herd of 2,400 on one relay, all served", size, seconds, "s"),
    ]


def measure_memory(size: int) -> BenchRow:
    """Measure the memory of directory rows that were decoded from frames."""
    rows = mesh_rows(size)
    frames = [
        CODEC.encode(DirectoryDelta(NodeId("a"), rows[0].peer_address, tuple(part)))
        for part in (rows[start : start + 500] for start in range(0, size, 500))
    ]
    own = backend_row("me", "gusts")
    own.incarnation = Incarnation(WALL_TIME_US)
    me = SelfRow(own.node_id, own.incarnation, NORTH_1, own.peer_address)
    del rows
    tracemalloc.start()
    part = build_membership(me, [], own)
    node = Node(World(part.systems, Random(1)), part, Micros(0))
    for frame in frames:
        node.tick(CODEC.decode(frame))
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return BenchRow("memory of 1,000 rows", size, used_bytes / size * 1_000 / 1e6, "MB")
