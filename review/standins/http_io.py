"""Minimal HTTP/1.1 reading and writing for the stand-ins and clients."""

import asyncio


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key == name:
                return value
        return default


async def read_message(reader, has_body=True):
    """Read a request or an answer; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    message = Message(lines[0], headers, b"")
    try:
        message.body = await _read_body(reader, message) if has_body else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def _read_body(reader, message):
    if "chunked" in message.get("transfer-encoding"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += (await reader.readexactly(size + 2))[:-2]
    length = message.get("content-length")
    return await reader.readexactly(int(length)) if length else b""


def encode(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new connection; return the answer or None."""
    host, port = address

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            names = {name.lower() for name, _ in headers}
            extra = [] if "host" in names else [("Host", f"{host}:{port}")]
            start = f"{method} {target} HTTP/1.1"
            writer.write(encode(start, [*extra, *headers], body))
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None


def status_of(answer):
    return int(answer.start.split()[1]) if answer else 0
