"""Round-trip times of a frame between two processes, by kind of transport.

The round trips of the kinds alternate within one run. The baseline of each
row is the stream transport, which neither encrypts nor authenticates.
"""

import asyncio
import subprocess
import sys
import time
from dataclasses import dataclass, field

from papayapost.ids import Address
from papayapost_node.batch import NoBatching
from papayapost_node.security import PublicKey, new_key_pair
from papayapost_node.transport import FrameListener, PeerTransport
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.latency_mesh.processes import process_cpu_us
from papayapost_testing.ports import free_addresses
from papayapost_testing.transports.echo import ADDRESS_BYTES, build_transport

__all__ = ["run"]

_KINDS = ("stream", "zmq", "curve")
_FRAME_BYTES = 400
_PAUSE_S = 0.001
_TIMEOUT_S = 60


@dataclass(slots=True)
class _EchoClient(FrameListener):
    """Client of the echo process for one kind of transport.

    Attributes
    ----------
    outstanding
        Number of frames that the echo process has not returned yet.
    """

    kind: str
    address: Address
    echo_address: Address
    echo: subprocess.Popen
    transport: PeerTransport
    all_returned: asyncio.Event = field(default_factory=asyncio.Event)
    round_trip_us: list[float] = field(default_factory=list)
    burst_us: list[float] = field(default_factory=list)
    echo_cpu_us: list[float] = field(default_factory=list)
    outstanding: int = 0

    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        self.outstanding -= 1
        if not self.outstanding:
            self.all_returned.set()

    def peer_lost(self, address: Address) -> None:
        raise ConnectionResetError(f"connection to the echo process at {address} lost")

    def unknown_key_refused(self, key: PublicKey) -> None:
        raise ConnectionRefusedError(f"key {key} of the echo process is not allowed")

    async def exchange(self, frames: int) -> float:
        """Send a burst of frames and return the µs until all have returned."""
        frame = self.address.encode().ljust(ADDRESS_BYTES).ljust(_FRAME_BYTES, b".")
        self.outstanding = frames
        self.all_returned.clear()
        start_ns = time.monotonic_ns()
        for _ in range(frames):
            self.transport.send(self.echo_address, frame)
        await self.all_returned.wait()
        return (time.monotonic_ns() - start_ns) / 1_000


def run(short: bool) -> list[BenchRow]:
    """Return the round-trip and CPU times in µs, of single frames and bursts.

    Parameters
    ----------
    short
        Make fewer round trips.
    """
    return asyncio.run(_run(400 if short else 4_000))


async def _run(round_trips: int) -> list[BenchRow]:
    clients = [_start_client(kind) for kind in _KINDS]
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            for client in clients:
                await _wait_until_connected(client)
            for _ in range(round_trips):
                for client in clients:
                    await asyncio.sleep(_PAUSE_S)
                    before_us = process_cpu_us(client.echo.pid)
                    client.round_trip_us.append(await client.exchange(1))
                    client.echo_cpu_us.append(
                        process_cpu_us(client.echo.pid) - before_us
                    )
            for _ in range(round_trips // 20):
                for client in clients:
                    client.burst_us.append(await client.exchange(50) / 50)
    finally:
        for client in clients:
            client.transport.close()
            client.echo.terminate()
            client.echo.wait()
    return _rows(clients, round_trips)


def _start_client(kind: str) -> _EchoClient:
    client_keys, echo_keys = new_key_pair(), new_key_pair()
    address, echo_address = free_addresses(2)
    echo = subprocess.Popen(
        [
            sys.executable,
            *("-m", "papayapost_testing.transports.echo", kind, echo_address),
            *(echo_keys.public_key, echo_keys.secret_key, client_keys.public_key),
        ]
    )
    keys = [client_keys.public_key, client_keys.secret_key, echo_keys.public_key]
    client = _EchoClient(
        kind, address, echo_address, echo, build_transport(kind, address, keys)
    )
    return client


async def _wait_until_connected(client: _EchoClient) -> None:
    ip, _, port = client.echo_address.partition(":")
    while True:
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        break
    client.transport.start(client, NoBatching())
    await asyncio.sleep(0.1)
    for _ in range(50):
        await client.exchange(1)


def _rows(clients: list[_EchoClient], round_trips: int) -> list[BenchRow]:
    rows = []
    baseline_client = clients[0]
    for client in clients:
        for percentile in (50, 99):
            name = f"{client.kind}, round trip, p{percentile}"
            value = _percentile(client.round_trip_us, percentile)
            baseline = _percentile(baseline_client.round_trip_us, percentile)
            rows.append(BenchRow(name, round_trips, value, "us", baseline))
        for name, values, compared in (
            ("burst of 50, each, p50", client.burst_us, baseline_client.burst_us),
            (
                "processor time of the echo, p50",
                client.echo_cpu_us,
                baseline_client.echo_cpu_us,
            ),
        ):
            value, baseline = _percentile(values, 50), _percentile(compared, 50)
            rows.append(
                BenchRow(f"{client.kind}, {name}", round_trips, value, "us", baseline)
            )
    return rows


def _percentile(values: list[float], percentile: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percentile // 100)]
