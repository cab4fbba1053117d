"""What a client outside the limits does on its connection, by form."""

import asyncio
from abc import ABC, abstractmethod

from papayapost_testing.crowds.entry_points import EntryPoint

__all__ = ["FORMS", "ClientForm"]

_BODY_BYTES = 1_900_000
_PIECE_BYTES = 1_000
_CHUNK_BYTES = 16_384
_OVERSIZED_BYTES = 10_000_000_000
_FIELDS = 2_000
_SLOW_PERIOD_S = 0.05


class ClientForm(ABC):
    """A way in which one client leaves the limits.

    Attributes
    ----------
    name
        Name of the form in the tests' output.
    clients
        Number of clients in a crowd of this form.
    """

    name: str
    clients: int

    @abstractmethod
    async def run(
        self,
        entry_point: EntryPoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send to a node on an open connection, until cancelled or closed."""


async def _send(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


class _WithheldBody(ClientForm):
    """A body of legal size that stops just short of its end."""

    clients = 60

    async def run(self, entry_point, reader, writer) -> None:
        await _send(writer, entry_point.head(f"content-length: {_BODY_BYTES}"))
        await self._send_body(writer)
        await asyncio.Event().wait()

    async def _send_body(self, writer: asyncio.StreamWriter) -> None:
        await _send(writer, bytes(_BODY_BYTES - 1))


class WithheldBodyInOnePiece(_WithheldBody):
    """A withheld body that is written at once."""

    name = "withheld-body"


class WithheldBodyInPieces(_WithheldBody):
    """A withheld body that is written in small pieces."""

    name = "withheld-body-in-pieces"

    async def _send_body(self, writer: asyncio.StreamWriter) -> None:
        for _ in range(_BODY_BYTES // _PIECE_BYTES - 1):
            await _send(writer, bytes(_PIECE_BYTES))
            await asyncio.sleep(0)


class _ChunkedBody(ClientForm):
    """A chunked body whose last chunk never comes."""

    chunk: bytes
    chunks_per_write: int
    body_bytes = _BODY_BYTES
    clients = 60

    async def run(self, entry_point, reader, writer) -> None:
        await _send(writer, entry_point.head("transfer-encoding: chunked"))
        encoded = b"%x\r\n%b\r\n" % (len(self.chunk), self.chunk)
        count = self.body_bytes // len(self.chunk) // self.chunks_per_write
        for _ in range(count):
            await _send(writer, encoded * self.chunks_per_write)
        await asyncio.Event().wait()


class WithheldChunks(_ChunkedBody):
    """A withheld body in chunks of usual size."""

    name = "withheld-chunks"
    chunk = bytes(_CHUNK_BYTES)
    chunks_per_write = 1


class OneByteChunks(_ChunkedBody):
    """A withheld body in chunks of one byte."""

    name = "one-byte-chunks"
    chunk = b"x"
    chunks_per_write = 10_000


class OversizedBody(ClientForm):
    """A body whose length is far over the limit."""

    name = "oversized-body"
    clients = 20

    async def run(self, entry_point, reader, writer) -> None:
        await _send(writer, entry_point.head(f"content-length: {_OVERSIZED_BYTES}"))
        while True:
            await _send(writer, bytes(_CHUNK_BYTES))


class EndlessChunks(_ChunkedBody):
    """A body in chunks that is far over the limit."""

    name = "endless-chunks"
    chunk = bytes(_CHUNK_BYTES)
    chunks_per_write = 4
    body_bytes = _OVERSIZED_BYTES
    clients = 20


class ManyFields(ClientForm):
    """Heads of legal size with very many short fields."""

    name = "many-fields"
    clients = 200

    async def run(self, entry_point, reader, writer) -> None:
        head = entry_point.head(*(f"{number:x}:" for number in range(_FIELDS)))
        for _ in range(4):
            await _send(writer, head)
        await asyncio.Event().wait()


class UnreadAnswers(ClientForm):
    """Pipelined requests whose answers are never read."""

    name = "unread-answers"
    clients = 20

    async def run(self, entry_point, reader, writer) -> None:
        transport: asyncio.Transport = writer.transport
        transport.pause_reading()
        requests = entry_point.request() * 1_000
        while True:
            await _send(writer, requests)


class SlowSender(ClientForm):
    """A head that is sent byte by byte."""

    name = "slow-sender"
    clients = 300

    async def run(self, entry_point, reader, writer) -> None:
        await _send(writer, entry_point.head()[:-4])
        while True:
            await _send(writer, b"x")
            await asyncio.sleep(_SLOW_PERIOD_S)


class SlowReader(ClientForm):
    """Pipelined requests whose answers are read byte by byte."""

    name = "slow-reader"
    clients = 300

    async def run(self, entry_point, reader, writer) -> None:
        transport: asyncio.Transport = writer.transport
        transport.pause_reading()
        sending = asyncio.create_task(_send(writer, entry_point.request() * 200))
        try:
            while True:
                await asyncio.sleep(_SLOW_PERIOD_S)
                transport.resume_reading()
                await reader.readexactly(1)
                transport.pause_reading()
        finally:
            sending.cancel()


class HalfRequest(ClientForm):
    """A request that stops halfway on a connection that stays open."""

    name = "half-request"
    clients = 300

    async def run(self, entry_point, reader, writer) -> None:
        request = entry_point.request()
        await _send(writer, request[: len(request) // 2])
        await asyncio.Event().wait()


FORMS: tuple[ClientForm, ...] = (
    WithheldBodyInOnePiece(),
    WithheldBodyInPieces(),
    WithheldChunks(),
    OneByteChunks(),
    OversizedBody(),
    EndlessChunks(),
    ManyFields(),
    UnreadAnswers(),
    SlowSender(),
    SlowReader(),
    HalfRequest(),
)
