"""Stand-in of the platform's metadata store: objects by kind and name."""

import asyncio
import json
from urllib.parse import parse_qs, unquote

from http_io import encode, read_message

PREFIX = "/-/objects/"
PAGE_BYTES = 1 << 20
PAGE_ITEMS = 500
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}


class Store:
    def __init__(self):
        self.objects = {}
        self.changes = []
        self.revision = 7
        self._changed = asyncio.Event()

    async def start(self, host, port):
        # A value may have up to 1 MiB.
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=4 << 20
        )

    async def put(self, kind, name, spec):
        """Create or replace an object, as the operator does."""
        self.revision += 1
        known = self.objects.get((kind, name))
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self.changes.append((self.revision, kind, item))
        self._changed.set()
        self._changed = asyncio.Event()
        return item

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                data = json.dumps(body, separators=(",", ":")).encode()
                start = f"HTTP/1.1 {status} {REASONS[status]}"
                await asyncio.sleep(0.004)
                writer.write(encode(start, [("Content-Type", "application/json")], data))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.start.split()
        path, _, query = target.removeprefix(PREFIX).partition("?")
        kind, _, name = unquote(path).partition("/")
        options = {key: values[0] for key, values in parse_qs(query).items()}
        if method == "POST":
            body = json.loads(request.body)
            name = body["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            return 201, await self.put(kind, name, body.get("spec"))
        if method == "PUT":
            return await self._replace(kind, name, json.loads(request.body))
        if "watch" in options:
            return 200, await self._watch(kind, options)
        if name:
            known = self.objects.get((kind, name))
            return (200, known) if known else (404, {})
        return 200, self._list(kind, options.get("after", ""))

    async def _replace(self, kind, name, body):
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        expected = body["metadata"].get("revision")
        if expected not in (None, known["metadata"]["revision"]):
            return 409, known
        if known["spec"] == body.get("spec"):
            return 200, known
        return 200, await self.put(kind, name, body.get("spec"))

    def _list(self, kind, after):
        found = [self.objects[key] for key in sorted(self.objects) if key[0] == kind]
        found = [item for item in found if item["metadata"]["name"] > after]
        page, size = [], 0
        for item in found:
            size += len(json.dumps(item))
            if page and (size > PAGE_BYTES or len(page) >= PAGE_ITEMS):
                break
            page.append(item)
        has_more = len(page) < len(found)
        return {"items": page, "has_more": has_more, "current_rev": self.revision}

    async def _watch(self, kind, options):
        since = int(options["watch"])
        due_s = asyncio.get_running_loop().time() + int(options.get("wait_ms", 0)) / 1000
        while True:
            found = [
                {"deleted": False, "object": item}
                for revision, changed_kind, item in self.changes
                if changed_kind == kind and revision > since
            ]
            left_s = due_s - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return {"events": found, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
