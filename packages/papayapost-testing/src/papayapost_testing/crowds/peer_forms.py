"""What a process outside the limits does at the port between nodes.

The forms write ZMTP 3.1, the published protocol of that port, by hand: a
ZeroMQ library would keep the limits.
"""

import asyncio
from abc import abstractmethod

from papayapost_testing.crowds.forms import ClientForm

__all__ = ["PEER_FORMS"]

_GREETING = (
    b"\xff" + bytes(8) + b"\x7f\x03\x01" + b"NULL".ljust(20, b"\0") + b"\0" + bytes(31)
)
_LONG_FRAME = b"\x02"
_COMMAND = 0x04
_SLOW_PERIOD_S = 0.05


def _ready_command() -> bytes:
    name, kind = b"Socket-Type", b"DEALER"
    body = b"\x05READY" + bytes([len(name)]) + name
    body += len(kind).to_bytes(4, "big") + kind
    return bytes([_COMMAND, len(body)]) + body


def _frame(data: bytes) -> bytes:
    return _LONG_FRAME + len(data).to_bytes(8, "big") + data


async def _send(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


class _Handshaken(ClientForm):
    async def run(self, entry_point, reader, writer) -> None:
        await _send(writer, _GREETING)
        await reader.readexactly(len(_GREETING))
        await _send(writer, _ready_command())
        await reader.readexactly(2)
        await self.send_frames(writer)
        await asyncio.Event().wait()

    @abstractmethod
    async def send_frames(self, writer: asyncio.StreamWriter) -> None:
        """Send frames after the handshake."""


class WithheldFrame(_Handshaken):
    """A frame of legal size that stops just short of its end."""

    name = "withheld-frame"
    clients = 60

    async def send_frames(self, writer: asyncio.StreamWriter) -> None:
        await _send(writer, _frame(bytes(4_000_000))[:-1])


class FrameFlood(_Handshaken):
    """Frames of no known message, as fast as the node reads them."""

    name = "frame-flood"
    clients = 20

    async def send_frames(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await _send(writer, _frame(bytes(262_144)))


class SmallFrames(_Handshaken):
    """Frames of one byte, as fast as the node reads them."""

    name = "small-frames"
    clients = 20

    async def send_frames(self, writer: asyncio.StreamWriter) -> None:
        frames = b"\x00\x01x" * 10_000
        while True:
            await _send(writer, frames)


class OversizedFrame(_Handshaken):
    """A frame far over the limit."""

    name = "oversized-frame"
    clients = 20

    async def send_frames(self, writer: asyncio.StreamWriter) -> None:
        await _send(writer, _LONG_FRAME + (1 << 40).to_bytes(8, "big"))
        while True:
            await _send(writer, bytes(65_536))


class SlowGreeting(ClientForm):
    """A greeting that is sent byte by byte."""

    name = "slow-greeting"
    clients = 300

    async def run(self, entry_point, reader, writer) -> None:
        for byte in _GREETING:
            await _send(writer, bytes([byte]))
            await asyncio.sleep(_SLOW_PERIOD_S)
        await asyncio.Event().wait()


class IdlePeer(_Handshaken):
    """A connection that sends nothing after its handshake."""

    name = "idle-peer"
    clients = 300

    async def send_frames(self, writer: asyncio.StreamWriter) -> None:
        return


class HttpAtPeerPort(ClientForm):
    """HTTP requests at the port between nodes."""

    name = "http-at-peer-port"
    clients = 60

    async def run(self, entry_point, reader, writer) -> None:
        while True:
            await _send(writer, b"GET / HTTP/1.1\r\nhost: crowd\r\n\r\n" * 1_000)


PEER_FORMS: tuple[ClientForm, ...] = (
    WithheldFrame(),
    FrameFlood(),
    SmallFrames(),
    OversizedFrame(),
    SlowGreeting(),
    IdlePeer(),
    HttpAtPeerPort(),
)
