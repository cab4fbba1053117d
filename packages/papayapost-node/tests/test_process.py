"""Tests of papayad as a process: its signals, exit codes and error output."""

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing, suppress
from dataclasses import dataclass
from pathlib import Path

import pytest

from papayapost.ids import Address
from papayapost_node.addresses import split_address
from papayapost_node.http import ClientConnection, HttpRequest
from papayapost_node.security import new_key_pair
from papayapost_node.store import HttpStoreClient
from papayapost_testing.ports import free_addresses
from papayapost_testing.scripted_server import ScriptedServer
from papayapost_testing.store import ObjectStoreStandIn

RULES = b"route GET /* -> scans timeout_ms=30000 # Ana: scans\n"
CHUNK = bytes(65_536)
CHUNKS = 64


@dataclass
class RunningNode:
    process: asyncio.subprocess.Process
    caller_address: Address
    peer_address: Address

    async def wait_for_exit(self) -> tuple[int, str]:
        output, _ = await self.process.communicate()
        return self.process.returncode or 0, output.decode()


class ProcessMesh:
    """A store, nodes, and a backend server whose downloads a test controls.

    The backend server sends the first chunk of a download at once and the rest
    after `may_continue` is set.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.store_address, self.backend_address = free_addresses(2)
        self.store = ObjectStoreStandIn(self.store_address)
        self.backend = ScriptedServer(self.backend_address, self.serve_backend)
        self.download_started, self.may_continue = asyncio.Event(), asyncio.Event()
        self.running: list[RunningNode] = []

    async def serve_backend(self, reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = CHUNKS * len(CHUNK) if b"/scan" in head else 0
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
            if length:
                writer.write(CHUNK)
                self.download_started.set()
                await self.may_continue.wait()
                for _ in range(CHUNKS - 1):
                    writer.write(CHUNK)
                    await writer.drain()

    async def start_node(self, number: int = 0, **changes) -> RunningNode:
        caller, peer = free_addresses(2)
        settings = {
            "node_id": f"n{number}",
            "data_centre": "south-1",
            "region": "south",
            "caller_address": caller,
            "peer_address": peer,
            "store_address": self.store_address,
            "security": {"mode": "none"},
            "seeds": [self.running[0].peer_address if self.running else peer],
            "backend_server": {
                "service": "scans",
                "address": self.backend_address,
                "slots": 4,
                "connections": 8,
            },
        } | changes
        path = self.folder / f"n{number}.json"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "papayapost_node.main", "--settings", str(path)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        node = RunningNode(
            process, settings["caller_address"], settings["peer_address"]
        )
        self.running.append(node)
        return node

    async def wait_until_served(
        self, node: RunningNode, target: str = "/ready"
    ) -> None:
        request = HttpRequest("GET", target, [(b"host", b"scans.example")])
        while True:
            try:
                connection = await ClientConnection.open(node.caller_address)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            answer = await connection.call(request)
            connection.close()
            if answer.status == 200:
                return


@asynccontextmanager
async def running_mesh(folder: Path) -> AsyncIterator[ProcessMesh]:
    mesh = ProcessMesh(folder)
    await mesh.store.start()
    with closing(HttpStoreClient(mesh.store_address)) as client:
        await client.update("config", "rules", RULES, 0)
    await mesh.backend.start()
    try:
        async with asyncio.timeout(25):
            yield mesh
    finally:
        for node in mesh.running:
            if node.process.returncode is None:
                node.process.kill()
                await node.process.communicate()
        await mesh.backend.close()
        await mesh.store.close()


async def start_download(mesh: ProcessMesh, node: RunningNode):
    reader, writer = await asyncio.open_connection(*split_address(node.caller_address))
    writer.write(b"GET /scan HTTP/1.1\r\nhost: a\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    await mesh.download_started.wait()
    return reader, writer


def test_a_signal_drains_a_node_and_a_second_one_stops_it_at_once(tmp_path):
    async def main():
        async with running_mesh(tmp_path) as mesh:
            node = await mesh.start_node()
            await mesh.wait_until_served(node)
            reader, writer = await start_download(mesh, node)
            node.process.send_signal(signal.SIGTERM)
            with pytest.raises(OSError):
                while True:
                    _, other = await asyncio.open_connection(
                        *split_address(node.caller_address)
                    )
                    other.close()
                    await asyncio.sleep(0.02)
            mesh.may_continue.set()
            body = await reader.read()
            assert len(body) == CHUNKS * len(CHUNK)
            writer.close()
            code, output = await node.wait_for_exit()
            assert code == 0
            assert "node_draining" in output
            assert "node_stopped" in output
            assert "Traceback" not in output

            mesh.download_started.clear()
            mesh.may_continue.clear()
            node = await mesh.start_node()
            await mesh.wait_until_served(node)
            reader, writer = await start_download(mesh, node)
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            node.process.send_signal(signal.SIGTERM)
            code, output = await node.wait_for_exit()
            assert code == 0
            assert "Traceback" not in output
            with suppress(ConnectionResetError):
                assert len(await reader.read()) < CHUNKS * len(CHUNK)
            writer.close()

    asyncio.run(main())


def test_startup_errors_are_reported_by_code_without_a_traceback(tmp_path):
    async def main():
        async with running_mesh(tmp_path) as mesh:
            bad_settings = await mesh.start_node(0, node_id=7, typo=1)
            duplicate_caller = await mesh.start_node(
                1, caller_address=mesh.store_address
            )
            duplicate_peer = await mesh.start_node(2, peer_address=mesh.backend_address)
            peer_in_use = await mesh.start_node(
                3, peer_address=mesh.store_address, store_address="127.0.0.1:9"
            )
            code, output = await bad_settings.wait_for_exit()
            assert code == 2
            assert "S005 " in output
            assert "S003 " in output
            for node, expected in (
                (duplicate_caller, "S008"),
                (duplicate_peer, "S008"),
                (peer_in_use, "PP202: peer_address"),
            ):
                code, node_output = await node.wait_for_exit()
                assert code in (1, 2)
                assert expected in node_output
                output += node_output
            assert "Traceback" not in output

    asyncio.run(main())


def test_nodes_with_keys_serve_calls_despite_garbage_on_a_peer_port(tmp_path):
    async def main():
        async with running_mesh(tmp_path) as mesh:
            pairs = [new_key_pair(), new_key_pair()]
            allowed = [
                {"public_key": pair.public_key, "data_centre": "south-1"}
                for pair in pairs
            ]
            for number, pair in enumerate(pairs):
                own = {"public_key": pair.public_key, "secret_key": pair.secret_key}
                path = tmp_path / f"keys{number}.json"
                path.write_text(json.dumps({"own": own, "allowed": allowed}))
                security = {"mode": "curve", "keys_file": str(path)}
                await mesh.start_node(
                    number,
                    security=security,
                    **({} if number else {"backend_server": None}),
                )
            entry, owner = mesh.running
            await mesh.wait_until_served(owner)
            _, writer = await asyncio.open_connection(
                *split_address(owner.peer_address)
            )
            writer.write(b"\x00\xff garbage" * 1_000)
            await mesh.wait_until_served(entry)
            owner.process.send_signal(signal.SIGHUP)
            await mesh.wait_until_served(entry, "/again")
            writer.close()
            for node in (entry, owner):
                node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            for node in (entry, owner):
                node.process.send_signal(signal.SIGTERM)
            for node in (entry, owner):
                code, output = await node.wait_for_exit()
                assert code == 0
                assert "Traceback" not in output
            assert "keys_reloaded" in output

    asyncio.run(main())
