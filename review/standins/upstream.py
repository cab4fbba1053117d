"""Stand-in of an upstream: runs requests and reports to the node beside it."""

import asyncio
import json
import time

from http_io import call, encode, read_message, status_of


class Upstream:
    """A sound upstream.

    It runs only requests that name its id in X-Target-Instance, or no id.
    """

    def __init__(self, record, name, service, address, control, slots=9, work_ms=40):
        self.record = record
        self.name = name
        self.id = f"i-{name}-{time.time_ns() % 10**8:08d}"
        self.service = service
        self.address = address
        self.control = control
        self.slots = slots
        self.work_ms = work_ms
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = 0
        self.runs = []
        self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    def start_beats(self, interval_s=1.5):
        self._beats = asyncio.create_task(self._beat_regularly(interval_s))

    def stop_beats(self):
        if self._beats is not None:
            self._beats.cancel()

    def beat_body(self):
        """Return a heartbeat; a caller may deliver it late."""
        self.seq += 1
        return json.dumps(
            {
                "address": f"{self.address[0]}:{self.address[1]}",
                "born": self.born_ms,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": "z",
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "seq": self.seq,
                    "cold_remaining_ms": 0,
                },
            }
        ).encode()

    async def report(self, operation, body, note=""):
        path = f"/-/instances/{self.id}/{operation}"
        headers = [("Content-Type", "application/json")]
        answer = await call(self.control, "POST", path, headers, body, 1.0)
        self.record(
            "report", server=self.name, operation=operation, note=note,
            status=status_of(answer),
        )
        return status_of(answer)

    async def deregister(self):
        body = json.dumps({"born": self.born_ms}).encode()
        return await self.report("deregister", body)

    async def _beat_regularly(self, interval_s):
        while True:
            await self.report("heartbeat", self.beat_body())
            await asyncio.sleep(interval_s)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.start.split()
        request_id = request.get("x-request-id")
        echo = [("X-Request-Id", request_id)] if request_id else []
        if request.get("x-target-instance") not in ("", self.id):
            headers = [*echo, ("X-Upstream-Instance", self.id)]
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        if self.running >= self.slots:
            headers = [*echo, ("X-Not-Executed", "1")]
            return encode("HTTP/1.1 503 Service Unavailable", headers)
        return await self._run(request, echo)

    async def _run(self, request, echo):
        method, target, _ = request.start.split()
        request_id = request.get("x-request-id")
        self.running += 1
        self.runs.append((time.monotonic(), request_id))
        self.record("run", server=self.name, id=request_id, method=method, path=target)
        await asyncio.sleep(self.work_ms / 1000)
        self.running -= 1
        headers = [*echo, ("X-Response-Signature", "3e1b.07"), ("Keep-Alive", "timeout=10")]
        return encode("HTTP/1.1 200 OK", headers, f"{self.name} {request_id}".encode())
