"""Messages, bytes and store calls of a mesh that keeps a roster.

Figures are of the whole mesh: nodes spread evenly over four data centres in
two regions, on a simulated network in virtual time. Bytes are those of the
frames between nodes, without the headers of TCP and IP.
"""

import time
from collections.abc import Callable
from random import Random

from papayapost.ids import Address, Micros, NodeId
from papayapost.membership.digests import Digests
from papayapost.roster import Beat
from papayapost.roster.messages import HeartbeatsDue
from papayapost.states import BackendServerState
from papayapost.timeline import HybridClock
from papayapost_node.clock import Clock
from papayapost_node.wire import (
    CONTROL_TYPES,
    MESSAGE_NUMBERS,
    CompressingCodec,
    MessagePackCodec,
    TimestampCodec,
)
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.roster_mesh import RosterMesh, Traffic
from papayapost_testing.traffic_worlds import FOUR_PLACES, NORTH_1, NORTH_2

__all__ = ["run"]

RULES = "route GET /* -> gusts idempotent=yes # Mei: wind desk\n"
SIZES = (16, 33, 66)
SETTLED_S = 8
POWER_LOSS_S = 1.2
LOST_VMS = 10


class FixedClock(Clock):
    """A clock that stands still, so that time stamps have one size."""

    def now_us(self) -> Micros:
        """Return the start of virtual time."""
        return Micros(0)

    def wall_us(self) -> Micros:
        """Return a recent wall-clock time in µs."""
        return Micros(1_700_000_000_000_000)


def run(short: bool) -> list[BenchRow]:
    """Return the control traffic of a mesh of several sizes."""
    rows: list[BenchRow] = []
    for size in SIZES:
        for name, seconds, scenario in SCENARIOS:
            mesh = started_mesh(size) if scenario is not start_all else new_mesh()
            mesh.traffic = Traffic()
            scenario(mesh, size)
            rows += traffic_rows(mesh, name, size, seconds)
        rows.append(measure_losses(size))
        rows += measure_heartbeats(size, 2_000 if short else 20_000)
    return rows


def new_mesh() -> RosterMesh:
    """Return a mesh without nodes, whose store has rules."""
    inner = CompressingCodec(MessagePackCodec(MESSAGE_NUMBERS), CONTROL_TYPES)
    codec = TimestampCodec(inner, HybridClock(NodeId("bench")), FixedClock())
    mesh = RosterMesh(1, codec)
    mesh.write_rules(RULES)
    return mesh


def node_name(number: int) -> str:
    """Return the name of a node, as long as the names of VMs are."""
    return f"{FOUR_PLACES[number % 4].data_centre}-vm-{number:03}"


def start(mesh: RosterMesh, number: int) -> None:
    """Start or restart one node in its data centre."""
    mesh.start(node_name(number), FOUR_PLACES[number % 4])


def started_mesh(size: int) -> RosterMesh:
    """Return a mesh whose nodes know each other."""
    mesh = new_mesh()
    start_all(mesh, size)
    mesh.run(SETTLED_S)
    assert all(len(node.known_ids) == size for node in mesh.nodes.values())
    return mesh


def start_all(mesh: RosterMesh, size: int) -> None:
    """Start all nodes within a second, and run for 5 s."""
    random, started_s = Random(size), 0.0
    for due_s, number in sorted((random.random(), n) for n in range(size)):
        mesh.run(due_s - started_s)
        started_s = due_s
        start(mesh, number)
    mesh.run(5 - started_s)


def stay_calm(mesh: RosterMesh, size: int) -> None:
    """Change nothing for 30 s."""
    mesh.run(30)


def restart_one(mesh: RosterMesh, size: int) -> None:
    """End the process of one node and start it again after 2 s."""
    mesh.kill(node_name(1))
    mesh.run(2)
    start(mesh, 1)
    mesh.run(3)


def lose_one(mesh: RosterMesh, size: int) -> None:
    """Lose one VM for good."""
    mesh.vanish(node_name(1))
    mesh.run(5)


def restart_all(mesh: RosterMesh, size: int) -> None:
    """End all nodes at once and start them again after a loss of power."""
    for number in range(size):
        mesh.vanish(node_name(number))
    mesh.run(POWER_LOSS_S)
    start_all(mesh, size)


def change_rows(mesh: RosterMesh, size: int) -> None:
    """Change the row of 16 nodes, one after the other."""
    for number in range(16):
        mesh.change_state(node_name(number), BackendServerState.DRAINING)
        mesh.run(5 / 16)


def lose_store(mesh: RosterMesh, size: int) -> None:
    """Lose the store for 9 s."""
    mesh.fail_store()
    mesh.run(9)
    mesh.regain_store()
    mesh.run(2)


def cut_region(mesh: RosterMesh, size: int) -> None:
    """Cut the regions off from each other for 10 s."""
    north = {a for a, node in mesh.nodes.items() if node.me.place == NORTH_1}
    north |= {a for a, node in mesh.nodes.items() if node.me.place == NORTH_2}
    mesh.cut_between(north, set(mesh.nodes) - north)
    mesh.run(10)
    mesh.cut.clear()
    mesh.run(5)


Scenario = Callable[[RosterMesh, int], None]

SCENARIOS: tuple[tuple[str, float, Scenario], ...] = (
    ("calm 30 s", 30, stay_calm),
    ("all start", 5, start_all),
    ("one restarts", 5, restart_one),
    ("one VM is lost", 5, lose_one),
    ("all restart", 6.2, restart_all),
    ("16 rows change", 5, change_rows),
    ("store away 9 s", 11, lose_store),
    ("regions cut 10 s", 15, cut_region),
)


def traffic_rows(
    mesh: RosterMesh, name: str, size: int, seconds: float
) -> list[BenchRow]:
    """Return the traffic of a scenario, in all and by message type."""
    traffic = mesh.traffic
    calls = sum(traffic.store_calls.values())
    worst = max(traffic.bytes_by_second.values(), default=0)
    paid = traffic.cross_region_bytes
    messages, size_bytes = traffic.messages.total(), traffic.bytes.total()
    rows = [
        BenchRow(f"{name}: messages", size, messages / seconds, "1/s"),
        BenchRow(f"{name}: bytes", size, size_bytes / seconds, "B/s"),
        BenchRow(f"{name}: bytes between regions", size, paid / seconds, "B/s"),
        BenchRow(f"{name}: worst second of a node", size, worst, "B/s"),
        BenchRow(f"{name}: store calls", size, calls, "calls"),
    ]
    for kind, count in sorted(traffic.messages.items()):
        rows.append(BenchRow(f"{name}: {kind}", size, count, "messages"))
        rows.append(BenchRow(f"{name}: {kind}", size, traffic.bytes[kind], "B"))
    return rows


def measure_losses(size: int) -> BenchRow:
    """Measure how long lost VMs stay in the directory of any node."""
    mesh, longest_us = started_mesh(size), 0
    for number in range(1, LOST_VMS + 1):
        mesh.run(2 + mesh.random.random())
        mesh.vanish(node_name(number))
        lost_us = mesh.now_us
        while any(node_name(number) in n.known_ids for n in mesh.nodes.values()):
            mesh.run(0.01)
        longest_us = max(longest_us, mesh.now_us - lost_us)
    name = f"VM is lost: known to any, longest of {LOST_VMS}"
    return BenchRow(name, size, longest_us / 1e6, "s")


def measure_heartbeats(size: int, repeats: int) -> list[BenchRow]:
    """Measure the processor time of ticks that receive or send heartbeats."""
    mesh = started_mesh(size)
    node = mesh.nodes[Address(f"{node_name(0)}:1")]
    version = node.built.rules.held_version
    digests = Digests()
    for row in node.built.directory:
        digests.put(row.data_centre, row.node_id, row.stamp)
    beats = [
        Beat(row.node_id, row.incarnation, row.revision, version, digests.total)
        for row in node.built.directory
        if row.node_id != node.me.node_id
    ]
    started_s = time.process_time()
    for number in range(repeats):
        node.world.tick(mesh.now_us, [beats[number % len(beats)]])
    received_us = (time.process_time() - started_s) / repeats * 1e6
    started_s = time.process_time()
    for _ in range(repeats // 10):
        node.world.tick(mesh.now_us, [HeartbeatsDue()])
    sent_us = (time.process_time() - started_s) / (repeats // 10) * 1e6
    return [
        BenchRow("heartbeat received", size, received_us, "us"),
        BenchRow("choice of partners, each 0.5 s", size, sent_us, "us"),
    ]
