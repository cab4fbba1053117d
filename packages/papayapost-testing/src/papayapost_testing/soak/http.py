"""Raw HTTP/1.1 with h11 for the soak's callers and backend servers."""

import asyncio
import hashlib

import h11

from papayapost_node.http import Headers

__all__ = ["READ_BYTES", "encode_request", "hash_of", "next_event"]

READ_BYTES = 65_536
_CHUNK = 97


def hash_of(data: bytes) -> str:
    """Return a short hash of a body."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def encode_request(
    method: str, target: str, headers: Headers, body: bytes, is_chunked: bool
) -> tuple[h11.Request, bytes]:
    """Return a request's head and all of its bytes."""
    sent = list(headers)
    if is_chunked:
        sent.append((b"transfer-encoding", b"chunked"))
    elif body:
        sent.append((b"content-length", b"%d" % len(body)))
    head = h11.Request(method=method, target=target, headers=sent)
    encoder = h11.Connection(h11.CLIENT)
    parts = [encoder.send(head)]
    step = _CHUNK if is_chunked else max(1, len(body))
    for position in range(0, len(body), step):
        parts.append(encoder.send(h11.Data(data=body[position : position + step])))
    parts.append(encoder.send(h11.EndOfMessage()))
    return head, b"".join(part for part in parts if part)


async def next_event(http: h11.Connection, reader: asyncio.StreamReader):
    """Return the next event of a connection, after reading as needed.

    Raises
    ------
    OSError, h11.RemoteProtocolError
        If the connection fails or the bytes are no HTTP.
    """
    while True:
        event = http.next_event()
        if event is not h11.NEED_DATA:
            return event
        http.receive_data(await reader.read(READ_BYTES))
