"""A node in its own process, its stand-ins, and the crowd that it meets."""

import asyncio
import json
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import psutil

from papayapost.define import define
from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.http import HttpAnswer, HttpRequest
from papayapost_node.http.connection import ClientConnection
from papayapost_node.store import HttpStoreClient
from papayapost_testing.crowds.entry_points import (
    ENTRY_POINTS,
    EntryPoint,
    EntryPointId,
    ListenerId,
)
from papayapost_testing.crowds.forms import ClientForm
from papayapost_testing.ports import free_addresses

__all__ = ["CrowdScene", "Figures"]

_RULES = b"""route POST /scans* -> scans timeout_ms=5000 # Ana: scans
route GET /looks* -> scans timeout_ms=5000 # Ana: looks
"""
_LOWERED_LIMITS = {
    "connections": 100,
    "head_timeout_ms": 1_000,
    "idle_timeout_ms": 2_000,
    "pace_timeout_ms": 1_000,
    "pipelined": 8,
    "hold_answer_bytes": 65_536,
}
_SAMPLE_PERIOD_S = 0.02
_RETRY_PERIOD_S = 0.05


@define
class Figures:
    """What a node's process held at most while it met a crowd.

    Parameters
    ----------
    peak_bytes
        Most resident memory since the process began.
    descriptors
        Most open descriptors.
    """

    peak_bytes: int = 0
    descriptors: int = 0


class CrowdScene:
    """Runs the stand-ins and one node, each in a process of its own.

    Parameters
    ----------
    folder
        Folder for the settings files and the node's log.
    settings
        Further settings of the node.
    """

    def __init__(self, folder: Path, settings: dict | None = None):
        self._folder = folder
        self._store, self._backend = free_addresses(2)
        names = [listener.value for listener in ListenerId]
        self._addresses = dict(zip(names, free_addresses(len(names)), strict=True))
        self._settings = settings or {}
        self._stand_ins: subprocess.Popen | None = None
        self._node: subprocess.Popen | None = None

    async def start(self) -> None:
        """Start all processes and wait until the node answers a call."""
        self._stand_ins = self._start_stand_ins()
        await self._store_rules()
        self._node = self._start_node()
        await self.wait_until_served()

    def close(self) -> None:
        """Kill the processes."""
        for process in (self._node, self._stand_ins):
            if process is not None:
                process.kill()
                process.wait()

    @property
    def is_alive(self) -> bool:
        """Whether the node's process runs."""
        return self._node is not None and self._node.poll() is None

    async def wait_until_served(self, entry_point: EntryPoint | None = None) -> None:
        """Wait until ordinary requests are answered and the node is ready.

        Parameters
        ----------
        entry_point
            A further entry point that must answer an ordinary request.
        """
        used = {EntryPointId.REPORT, EntryPointId.ROUTE, EntryPointId.READINESS}
        for item in ENTRY_POINTS:
            if item.entry_point_id in used or item is entry_point:
                await self._wait_for_answer(item)

    async def meet(
        self, form: ClientForm, entry_point: EntryPoint, duration_s: float
    ) -> Figures:
        """Let a crowd at the node for a while; return what the node held."""
        address = self._addresses[entry_point.listener.value]
        clients = [
            asyncio.create_task(_run_client(form, entry_point, address))
            for _ in range(form.clients)
        ]
        figures = Figures()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s and self.is_alive:
            self._sample(figures)
            await asyncio.sleep(_SAMPLE_PERIOD_S)
        for client in clients:
            client.cancel()
        await asyncio.wait(clients)
        return figures

    def update(self, figures: Figures) -> None:
        """Add what the node has held since the crowd left."""
        self._sample(figures)

    def _sample(self, figures: Figures) -> None:
        assert self._node is not None
        process = psutil.Process(self._node.pid)
        figures.descriptors = max(figures.descriptors, process.num_fds())
        status = Path(f"/proc/{self._node.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                peak_kb = int(line.split()[1])
                figures.peak_bytes = max(figures.peak_bytes, peak_kb << 10)

    def _start_stand_ins(self) -> subprocess.Popen:
        behaviour = {"slots": 64, "answer_bytes": 1_000}
        settings = {
            "store_addresses": [self._store],
            "backend_servers": [{"address": self._backend, "behaviour": behaviour}],
        }
        path = self._folder / "stand-ins.json"
        path.write_text(json.dumps(settings))
        return self._start("papayapost_testing.platform", path)

    def _start_node(self) -> subprocess.Popen:
        settings = {
            "node_id": "node-1",
            "data_centre": "south-1",
            "region": "south",
            "store_address": self._store,
            "security": {"mode": "none"},
            "seeds": [self._addresses[ListenerId.PEERS.value]],
            "surroundings": "papayapost_testing.crowds.reports",
            "backend_server": {
                "service": "scans",
                "address": self._backend,
                "slots": 9,
                "connections": 64,
                "report_interval_ms": 600_000,
            },
            "http": _LOWERED_LIMITS,
            "peer_connections": 100,
            "peer_connections_per_address": 16,
            **self._addresses,
            **self._settings,
        }
        path = self._folder / "node.json"
        path.write_text(json.dumps(settings))
        return self._start("papayapost_node.main", path)

    def _start(self, module: str, path: Path) -> subprocess.Popen:
        with path.with_suffix(".log").open("wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", module, "--settings", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def _store_rules(self) -> None:
        client = HttpStoreClient(self._store)
        try:
            while True:
                with suppress(Exception):
                    await client.update("config", "rules", _RULES, 0)
                    return
                await asyncio.sleep(_RETRY_PERIOD_S)
        finally:
            client.close()

    async def _wait_for_answer(self, entry_point: EntryPoint) -> None:
        while self.is_alive:
            with suppress(OSError, TimeoutError, ValueError):
                answer = await self.ask(entry_point)
                if answer.status == entry_point.status:
                    return
            await asyncio.sleep(_RETRY_PERIOD_S)

    async def ask(self, entry_point: EntryPoint) -> HttpAnswer:
        """Send an ordinary request on a new connection."""
        address = Address(self._addresses[entry_point.listener.value])
        connection = await ClientConnection.open(address)
        headers = [(b"host", b"crowd")]
        if entry_point.body:
            headers.append((b"content-length", b"%d" % len(entry_point.body)))
        request = HttpRequest(
            entry_point.method, entry_point.path, headers, entry_point.body
        )
        try:
            return await asyncio.wait_for(connection.call(request), 10)
        finally:
            connection.close()


async def _run_client(form: ClientForm, entry_point: EntryPoint, address: str) -> None:
    """Run one client; its node may refuse it or close its connection."""
    with suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(*split_address(Address(address)))
        try:
            await form.run(entry_point, reader, writer)
        finally:
            writer.transport.abort()
