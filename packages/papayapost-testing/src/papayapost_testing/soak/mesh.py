"""The store, links, backend servers and processes of one run."""

import asyncio
import json
import os
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

import psutil

from papayapost.ids import Address, Micros, NodeId
from papayapost_node.clock import SystemClock
from papayapost_testing.demo.processes import start_module
from papayapost_testing.soak.messages import (
    ChangeSettings,
    CoreAwaited,
    LineWritten,
    MemoryMeasured,
    NodeExited,
    NodeStarted,
    StartNode,
)
from papayapost_testing.soak.proxy import Proxy
from papayapost_testing.soak.rows import Link, WaitRow
from papayapost_testing.soak.rules import SERVICES
from papayapost_testing.soak.servers import BackendServer
from papayapost_testing.soak.wire import NodePlace, Wire

__all__ = ["MAX_NODES", "Mesh"]

MAX_NODES = 240

_NODE_MODULE = "papayapost_node.main"
_DATA_CENTRES = (
    ("north-a", "north"),
    ("south-a", "south"),
    ("north-b", "north"),
    ("south-b", "south"),
)
_STORE_PORT = 8142
_SERVER_PORT = 8147
_PROXY_PORTS = {Link.NODE: 7101, Link.SERVER: 7102, Link.STORE: 7103}
_LOCK_PORT = 7199
_POLL_S = 1.0
_WAIT_STEP_S = 0.1
_NOTED_WAIT_US = 5_000


class Mesh:
    """What the soak hosts and starts for a number of nodes.

    Each node has a loopback IP address of its own, in a network that no other
    run uses, so that ports in use elsewhere do not matter.

    Parameters
    ----------
    folder
        Receives the settings files and the nodes' output.
    post
        Receives what happens, as input messages.
    """

    def __init__(
        self,
        nodes: int,
        folder: Path,
        wire: Wire,
        random: Random,
        post: Callable[[object], None],
    ):
        self._folder = folder
        self._post = post
        self._clock = SystemClock()
        self._processes: dict[NodeId, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task] = set()
        self._read_bytes: dict[NodeId, int] = {}
        self._lock, network = _reserve_network(random)
        store = Address(f"{network}.250:{_STORE_PORT}")
        self.store = wire.store(store)
        self.places: dict[NodeId, NodePlace] = {}
        self.proxies: dict[tuple[NodeId, Link], Proxy] = {}
        self.servers: dict[NodeId, BackendServer] = {}
        self.entries: dict[NodeId, tuple[Address, Address]] = {}
        for number in range(nodes):
            place = _place_of(number, network)
            self.places[place.node_id] = place
            ip, node_id = place.ip, place.node_id
            entry = Address(f"{ip}:{wire.caller_port}")
            server = Address(f"{ip}:{_SERVER_PORT}")
            targets = {Link.NODE: entry, Link.SERVER: server, Link.STORE: store}
            for link, target in targets.items():
                address = Address(f"{ip}:{_PROXY_PORTS[link]}")
                self.proxies[node_id, link] = Proxy(address, target)
            self.entries[node_id] = entry, Address(f"{ip}:{_PROXY_PORTS[Link.NODE]}")
            report_to = Address(f"{ip}:{wire.report_port}")
            self.servers[node_id] = BackendServer(
                place, server, report_to, wire, Random(random.getrandbits(32)), post
            )
            path = folder / f"{node_id}.json"
            path.write_text(json.dumps(wire.settings(place), indent=2))

    async def start(self) -> None:
        """Start all but the nodes."""
        await self.store.start()
        for proxy in self.proxies.values():
            await proxy.start()
        for server in self.servers.values():
            await server.start()
        self._add_task(self._poll())
        self._add_task(self._watch_waits())

    async def close(self) -> None:
        """Kill the processes that still run, and stop all else."""
        for node_id in self._processes:
            self.send_signal(node_id, signal.SIGKILL)
        for process in self._processes.values():
            await process.wait()
        self._poll_once()
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers.values():
            await server.close()
        for proxy in self.proxies.values():
            await proxy.close()
        await self.store.close()
        self._lock.close()

    def start_node(self, effect: StartNode) -> None:
        """Start the process of a node."""
        self._add_task(self._run_node(effect))

    def send_signal(self, node_id: NodeId, signal_number: int) -> None:
        """Send a signal to the process of a node, if it still runs."""
        process = self._processes.get(node_id)
        if process is None or process.returncode is not None:
            return
        # `Process.send_signal` would reap a process that has just ended, and
        # asyncio would not learn its exit code.
        with suppress(ProcessLookupError, psutil.NoSuchProcess):
            if psutil.Process(process.pid).ppid() == os.getpid():
                os.kill(process.pid, signal_number)

    def change_settings(self, effect: ChangeSettings) -> None:
        """Change a value in the settings file of a node."""
        path = self._folder / f"{effect.node_id}.json"
        settings = json.loads(path.read_text()) | {"hold_ms": effect.hold_ms}
        # A process that starts meanwhile must not read a part of the file.
        written = path.with_suffix(".written")
        written.write_text(json.dumps(settings, indent=2))
        written.replace(path)

    async def wait_for_exits(self) -> None:
        """Wait until no process runs."""
        for process in list(self._processes.values()):
            await process.wait()

    def _add_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_node(self, effect: StartNode) -> None:
        node_id, clock = effect.node_id, self._clock
        process = await start_module(
            _NODE_MODULE,
            f"--settings={self._folder / node_id}.json",
            log=self._folder / f"{node_id}.log",
        )
        self._processes[node_id] = process
        self._post(NodeStarted(node_id, effect.start, clock.now_us()))
        exit_code = await process.wait()
        self._read_lines(node_id)
        self._post(NodeExited(node_id, exit_code, clock.now_us()))

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(_POLL_S)
            self._poll_once()

    async def _watch_waits(self) -> None:
        """Measure how long each process waits for a core."""
        before: dict[int, tuple[Micros, int]] = {}
        while True:
            await asyncio.sleep(_WAIT_STEP_S)
            now_us = self._clock.now_us()
            for node_id, process in self._processes.items():
                waited_us = _waited_us(process.pid)
                since_us, earlier_us = before.get(process.pid, (now_us, 0))
                before[process.pid] = now_us, waited_us
                wait = WaitRow(since_us, now_us, waited_us - earlier_us)
                if wait.waited_us > _NOTED_WAIT_US and process.returncode is None:
                    self._post(CoreAwaited(node_id, wait))

    def _poll_once(self) -> None:
        for node_id, process in self._processes.items():
            self._read_lines(node_id)
            if process.returncode is None:
                with suppress(psutil.NoSuchProcess):
                    memory = psutil.Process(process.pid).memory_info().rss
                    self._post(MemoryMeasured(node_id, memory))

    def _read_lines(self, node_id: NodeId) -> None:
        with (self._folder / f"{node_id}.log").open("rb") as log:
            log.seek(self._read_bytes.get(node_id, 0))
            whole, newline, _ = log.read().rpartition(b"\n")
        self._read_bytes[node_id] = (
            self._read_bytes.get(node_id, 0) + len(whole) + len(newline)
        )
        for line in whole.decode(errors="replace").splitlines():
            self._post(LineWritten(node_id, line))


def _waited_us(pid: int) -> int:
    """Return for how many µs a process has been ready to run, but did not.

    It is 0 where the kernel doesn't tell, and for a process that has ended.
    """
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return 0
    return int(fields[1]) // 1000 if len(fields) > 1 else 0


def _place_of(number: int, network: str) -> NodePlace:
    data_centre, region = _DATA_CENTRES[number % len(_DATA_CENTRES)]
    # Both services are in every data centre.
    service = SERVICES[number // len(_DATA_CENTRES) % len(SERVICES)]
    ip = f"{network}.{number + 1}"
    return NodePlace(
        NodeId(f"n{number:03}"),
        ip,
        data_centre,
        region,
        service,
        Address(f"{ip}:{_PROXY_PORTS[Link.STORE]}"),
        Address(f"{ip}:{_PROXY_PORTS[Link.SERVER]}"),
    )


def _reserve_network(random: Random) -> tuple[socket.socket, str]:
    """Return the first three bytes of a free loopback network and its lock."""
    while True:
        network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        lock = socket.socket()
        try:
            lock.bind((f"{network}.251", _LOCK_PORT))
            lock.listen()
        except OSError:
            lock.close()
            continue
        return lock, network
