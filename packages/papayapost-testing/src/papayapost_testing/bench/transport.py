"""Round trips of a frame between two processes, by kind of transport.

The kinds take turns within one run. The baseline of each row is the stream,
which neither encrypts nor authenticates.
"""

import asyncio
import subprocess
import sys
import time
from dataclasses import dataclass, field

from papayapost.ids import Address
from papayapost_node.batch import NoBatch
from papayapost_node.security import PublicKey, new_key_pair
from papayapost_node.transport import FrameListener, PeerTransport
from papayapost_testing.bench.rows import BenchRow
from papayapost_testing.latency_mesh.processes import cpu_us
from papayapost_testing.ports import free_addresses
from papayapost_testing.transports.echo import ADDRESS_BYTES, build_transport

__all__ = ["run"]

_KINDS = ("stream", "zmq", "curve")
_FRAME_BYTES = 400
_PAUSE_S = 0.001
_TIMEOUT_S = 60


@dataclass(slots=True)
class _End(FrameListener):
    """One kind of transport, measured from this side."""

    kind: str
    address: Address
    echo_address: Address
    echo: subprocess.Popen
    transport: PeerTransport
    came: asyncio.Event = field(default_factory=asyncio.Event)
    took_us: list[float] = field(default_factory=list)
    burst_us: list[float] = field(default_factory=list)
    echo_cpu_us: list[float] = field(default_factory=list)
    missing: int = 0

    def frame_arrived(self, frame: bytes, key: PublicKey | None) -> None:
        self.missing -= 1
        if not self.missing:
            self.came.set()

    def peer_lost(self, address: Address) -> None:
        raise ConnectionResetError(f"the echo at {address} has gone")

    def stranger_refused(self, key: PublicKey) -> None:
        raise ConnectionRefusedError(f"the echo's key {key} is not known")

    async def exchange(self, frames: int) -> float:
        """Send frames at once and return the µs until all came back."""
        frame = self.address.encode().ljust(ADDRESS_BYTES).ljust(_FRAME_BYTES, b".")
        self.missing = frames
        self.came.clear()
        start_ns = time.monotonic_ns()
        for _ in range(frames):
            self.transport.send(self.echo_address, frame)
        await self.came.wait()
        return (time.monotonic_ns() - start_ns) / 1_000


def run(short: bool) -> list[BenchRow]:
    """Return µs of round trips, one by one and in bursts, and of CPU time.

    Parameters
    ----------
    short
        Fewer round trips.
    """
    return asyncio.run(_run(400 if short else 4_000))


async def _run(trips: int) -> list[BenchRow]:
    ends = [_start(kind) for kind in _KINDS]
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            for end in ends:
                await _until_connected(end)
            for _ in range(trips):
                for end in ends:
                    await asyncio.sleep(_PAUSE_S)
                    before_us = cpu_us(end.echo.pid)
                    end.took_us.append(await end.exchange(1))
                    end.echo_cpu_us.append(cpu_us(end.echo.pid) - before_us)
            for _ in range(trips // 20):
                for end in ends:
                    end.burst_us.append(await end.exchange(50) / 50)
    finally:
        for end in ends:
            end.transport.close()
            end.echo.terminate()
            end.echo.wait()
    return _rows(ends, trips)


def _start(kind: str) -> _End:
    own, other = new_key_pair(), new_key_pair()
    address, echo_address = free_addresses(2)
    echo = subprocess.Popen(
        [
            sys.executable,
            *("-m", "papayapost_testing.transports.echo", kind, echo_address),
            *(other.public_key, other.secret_key, own.public_key),
        ]
    )
    keys = [own.public_key, own.secret_key, other.public_key]
    end = _End(kind, address, echo_address, echo, build_transport(kind, address, keys))
    return end


async def _until_connected(end: _End) -> None:
    ip, _, port = end.echo_address.partition(":")
    while True:
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        break
    end.transport.start(end, NoBatch())
    await asyncio.sleep(0.1)
    for _ in range(50):
        await end.exchange(1)


def _rows(ends: list[_End], trips: int) -> list[BenchRow]:
    rows = []
    plain = ends[0]
    for end in ends:
        for percentile in (50, 99):
            name = f"{end.kind}, round trip, p{percentile}"
            value = _percentile(end.took_us, percentile)
            baseline = _percentile(plain.took_us, percentile)
            rows.append(BenchRow(name, trips, value, "us", baseline))
        for name, values, compared in (
            ("burst of 50, each, p50", end.burst_us, plain.burst_us),
            ("processor time of the echo, p50", end.echo_cpu_us, plain.echo_cpu_us),
        ):
            value, baseline = _percentile(values, 50), _percentile(compared, 50)
            rows.append(BenchRow(f"{end.kind}, {name}", trips, value, "us", baseline))
    return rows


def _percentile(values: list[float], percentile: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percentile // 100)]
