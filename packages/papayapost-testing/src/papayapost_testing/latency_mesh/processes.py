"""Starts and stops the processes that the latency benchmark measures."""

import asyncio
import subprocess
import sys
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_node.store import HttpStoreClient
from papayapost_testing.ports import free_addresses
from papayapost_testing.store import ObjectStoreStandIn

__all__ = ["BenchMesh", "measure_calls", "process_cpu_us"]

_RULES = b"route GET /* -> gusts rank=urgent idempotent=yes # Mei: wind desk\n"
_READY_TIMEOUT_S = 20
_POLL_INTERVAL_S = 0.05
_PACKAGE = "papayapost_testing.latency_mesh"


@dataclass(slots=True)
class BenchMesh:
    """An entry node, an owner node, a backend server and a store stand-in.

    Attributes
    ----------
    backend_address, owner_address, entry_address
        Addresses to which callers send requests. Such a request passes through
        no node, one node or two nodes, in this order of the addresses, before
        it reaches the backend server.
    """

    folder: Path
    store: ObjectStoreStandIn
    store_address: Address
    backend_address: Address
    owner_address: Address
    entry_address: Address
    peer_addresses: list[Address]
    processes: list[subprocess.Popen] = field(default_factory=list)

    @classmethod
    async def start(cls, folder: Path) -> "BenchMesh":
        """Start the processes and wait until both nodes answer a request.

        Raises
        ------
        TimeoutError
            If a node does not answer within 20 s.
        """
        store_address, backend, owner, entry, *peer_addresses = free_addresses(6)
        store = ObjectStoreStandIn(store_address)
        await store.start()
        with closing(HttpStoreClient(store_address)) as client:
            await client.update("config", "rules", _RULES, 0)
        mesh = cls(folder, store, store_address, backend, owner, entry, peer_addresses)
        mesh._spawn("-m", f"{_PACKAGE}.backend", backend)
        for number in range(2):
            settings = mesh._write_settings(number)
            mesh._spawn("-m", "papayapost_node.main", "--settings", str(settings))
        for address in (owner, entry):
            await _wait_until_ok(address)
        return mesh

    @property
    def node_pids(self) -> list[int]:
        """Process ids of the owner node and the entry node, in this order."""
        return [process.pid for process in self.processes[1:]]

    async def close(self) -> None:
        """Terminate the processes and close the store stand-in."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            await asyncio.to_thread(process.wait)
        await self.store.close()

    def _spawn(self, *arguments: str) -> None:
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.processes.append(process)

    def _write_settings(self, number: int) -> Path:
        is_owner = number == 0
        backend = {
            "service": "gusts",
            "address": self.backend_address,
            "slots": 64,
            "connections": 110,
        }
        settings = {
            "node_id": f"n{number}",
            "data_centre": "north-1",
            "region": "north",
            "caller_address": self.owner_address if is_owner else self.entry_address,
            "peer_address": self.peer_addresses[number],
            "store_address": self.store_address,
            "security": {"mode": "none"},
            "seeds": [self.peer_addresses[0]],
            "backend_server": backend if is_owner else None,
        }
        path = self.folder / f"node-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        return path


async def measure_calls(
    calls: int, rate_per_s: float, addresses: list[Address]
) -> list[list[float]]:
    """Run a caller process and return the latencies of its calls in µs.

    The result has one list for each address, in the order of the addresses.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"{_PACKAGE}.caller",
        str(calls),
        str(rate_per_s),
        *addresses,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return msgspec.json.decode(output, type=list[list[float]])


def process_cpu_us(pid: int) -> float:
    """Return the CPU time that a process has used so far, in µs."""
    # Reads the scheduler's counter, which is in ns; the usual counters of a
    # process have a resolution of 10 ms.
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1_000


async def _wait_until_ok(address: Address) -> None:
    request = HttpRequest("GET", "/ready", [(b"host", b"wind.example")])
    async with asyncio.timeout(_READY_TIMEOUT_S):
        while True:
            try:
                connection = await ClientConnection.open(address)
                answer = await connection.call(request)
                connection.close()
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(_POLL_INTERVAL_S)
