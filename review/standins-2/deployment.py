"""A small deployment on loopback addresses for the cases of this review.

It has a metadata store, an upstream beside each VM and the project's own
nodes, which run as separate processes with the command of the deploy file.
Only the standard library is used.
"""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
PORTS = {"ready_addr": 8140, "outbound": 8141, "inbound": 8145, "control": 8146}
APP_PORT = 8147
STORE_PORT = 8142

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

_SECTION = re.compile(
    r"\{\{(?P<kind>[#^])(?P<path>[a-z_.]+)\}\}(?P<body>.*?)\{\{/(?P=path)\}\}", re.S
)
_VALUE = re.compile(r"\{\{(?P<path>[a-z_.]+)(?P<json>\|json)?\}\}")


class CouldNotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time of each line."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def note(self, text: str) -> None:
        if self._file.closed:
            # A task that is being cancelled.
            return
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def fill_template(template: str, fields: dict) -> str:
    """Fill the settings template as the platform does."""

    def lookup(path: str):
        value = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section_of(match):
        value = lookup(match["path"])
        if match["kind"] == "^":
            return "" if value else match["body"]
        count = len(value) if isinstance(value, (dict, list)) else int(bool(value))
        return match["body"] * count

    def value_of(match):
        value = lookup(match["path"])
        return json.dumps(value) if match["json"] else str(value)

    return _VALUE.sub(value_of, _SECTION.sub(section_of, template))


# --- HTTP ------------------------------------------------------------------


async def read_head(reader) -> tuple[str, dict]:
    """Return the first line and the headers of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers: dict, until_close: bool = False) -> bytes:
    """Return a body that has a length, chunks or the end of the connection."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def encode(first_line: str, headers: dict, body: bytes = b"") -> bytes:
    head = first_line + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    return (head + "\r\n").encode() + body


# --- the platform's metadata store -----------------------------------------


class Store:
    """Holds objects by kind and name, with lists and watches."""

    def __init__(self, address: str):
        self.address = address
        self.revision = 7
        self.objects: dict[tuple[str, str], dict] = {}
        self.changes: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Condition()
        self._server = None

    async def start(self) -> None:
        ip, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def put(self, kind: str, name: str, spec, status=None) -> dict:
        async with self.changed:
            self.revision += 1
            metadata = {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            }
            item = {"metadata": metadata, "spec": spec, "status": status}
            self.objects[kind, name] = item
            self.changes.append((self.revision, kind, item, False))
            self.changed.notify_all()
            return item

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                status, answer = await self._answer(method, target, body)
                data = json.dumps(answer).encode()
                head = {"content-type": "application/json"}
                head["content-length"] = str(len(data))
                writer.write(encode(f"HTTP/1.1 {status} X", head, data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str, body: bytes):
        path, _, query = target.removeprefix("/-/objects/").partition("?")
        kind, _, name = unquote(path).partition("/")
        parameters = {key: values[0] for key, values in parse_qs(query).items()}
        if method == "POST":
            value = json.loads(body)
            name = value["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            return 201, await self.put(kind, name, value["spec"])
        if method == "PUT":
            return await self._replace(kind, name, json.loads(body))
        if "watch" in parameters:
            return await self._watch(kind, parameters)
        if name:
            item = self.objects.get((kind, name))
            return (200, item) if item is not None else (404, None)
        items = [item for (k, _), item in sorted(self.objects.items()) if k == kind]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    async def _replace(self, kind: str, name: str, value: dict):
        is_status = name.endswith("/status")
        name = name.removesuffix("/status")
        known = self.objects.get((kind, name))
        if known is None:
            return 404, None
        revision = known["metadata"]["revision"]
        if value["metadata"].get("revision", revision) != revision:
            return 409, known
        if is_status:
            return 200, await self.put(kind, name, known["spec"], value["status"])
        if known["spec"] == value["spec"]:
            return 200, known
        return 200, await self.put(kind, name, value["spec"], known["status"])

    async def _watch(self, kind: str, parameters: dict):
        since, wait_s = int(parameters["watch"]), int(parameters["wait_ms"]) / 1000

        def events():
            return [
                {"object": item, "deleted": is_deleted}
                for revision, k, item, is_deleted in self.changes
                if k == kind and revision > since
            ]

        async with self.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait_for(events)
            except TimeoutError:
                pass
            return 200, {"events": events(), "current_rev": self.revision}


# --- upstreams -------------------------------------------------------------


class Upstream:
    """A sound upstream: runs requests in its slots, and reports itself.

    `work` is called with the request's path and returns the time of the work
    in seconds and the body of the answer.
    """

    def __init__(self, record: Record, name: str, service: str, vm, slots: int, work):
        self.record, self.name, self.service, self.vm = record, name, service, vm
        self.slots = asyncio.Semaphore(slots)
        self.slot_count, self.work = slots, work
        self.born_ms = int(time.time() * 1000)
        self.state, self.seq = "ready", 0
        self.arrivals: list[tuple[float, str]] = []
        self._server = None

    def listen(self, backlog: int = 128) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((self.vm.ip, APP_PORT))
        self._socket.listen(backlog)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self._socket)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                request_id = headers.get("x-request-id", "")
                self.arrivals.append((self.record.now_s(), request_id))
                self.record.note(f"{self.name} gets {request_id} {line}")
                await read_body(reader, headers)
                answer = await self._run(line.split(" ")[1], headers, request_id)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _run(self, path: str, headers: dict, request_id: str) -> bytes:
        answer = {"x-request-id": request_id}
        if headers.get("x-target-instance", self.name) != self.name:
            answer |= {"x-upstream-instance": self.name, "content-length": "0"}
            return encode("HTTP/1.1 421 Misdirected Request", answer)
        async with self.slots:
            work_s, body = self.work(path)
            await asyncio.sleep(work_s)
            self.record.note(f"{self.name} has run {request_id}")
            answer["x-response-signature"] = "3e1b.07.5a2.600.0.c9f2a4d1"
            answer["content-length"] = str(len(body))
            return encode("HTTP/1.1 200 OK", answer, body)

    async def report(self) -> int:
        """Send a heartbeat; return the status of its answer, 0 without one."""
        self.seq += 1
        info = {
            "service": self.service,
            "version": "v1",
            "zone": self.vm.zone,
            "slots": self.slot_count,
        }
        status = {"state": self.state, "seq": self.seq, "cold_remaining_ms": 0}
        body = {"address": f"{self.vm.ip}:{APP_PORT}", "info": info, "status": status}
        data = json.dumps(body | {"born": self.born_ms}).encode()
        head = {"host": self.vm.ip, "content-length": str(len(data))}
        head |= {"content-type": "application/json", "connection": "close"}
        line = f"POST /-/instances/{self.name}/heartbeat HTTP/1.1"
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.vm.ip, PORTS["control"]
                )
                writer.write(encode(line, head, data))
                answer, _ = await read_head(reader)
                writer.close()
                return int(answer.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError):
            return 0

    async def report_forever(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(1.5 if self.seq > 3 else 0.5)


# --- nodes -----------------------------------------------------------------


class VM:
    """A VM with a node, which runs the deploy file's command."""

    def __init__(self, record: Record, number: int, prefix: str, fields: dict):
        self.record = record
        self.ip = f"{prefix}.{number}"
        self.node = f"sidecar-north-a-{number}"
        self.zone = "north-a"
        self.fields = fields
        self.process: subprocess.Popen | None = None
        self.log: Path | None = None

    def start(self, folder: Path, store: str, service: str) -> None:
        fields = {
            "node": self.node,
            "ip": self.ip,
            "zone": self.zone,
            "region": "north",
            "listen": {name: f"{self.ip}:{port}" for name, port in PORTS.items()},
            "platform": {"address": store},
            "service": service,
            "app_addr": f"{self.ip}:{APP_PORT}",
            "heartbeat_ms": 1500,
            **self.fields,
        }
        template = (ROOT / "deploy" / "node.json.template").read_text()
        settings = folder / f"{self.node}.json"
        settings.write_text(fill_template(template, fields))
        self.log = folder / f"{self.node}.log"
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "papayapost_platform"],
            cwd=ROOT,
            env=keep
            | {
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "PAPAYAPOST_SETTINGS": str(settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )
        self.record.note(f"{self.node} is started")

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
        self.record.note(f"{self.node} is killed")

    async def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.process.terminate()
        self.record.note(f"{self.node} gets SIGTERM")
        end_s = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.kill()
        self.record.note(f"{self.node} has ended with {self.process.returncode}")

    def memory_mb(self) -> float:
        """Return the resident memory of the node's process."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, PORTS["ready_addr"]
                )
                head = {"host": self.ip, "connection": "close"}
                writer.write(encode("GET /-/ready HTTP/1.1", head))
                line, _ = await read_head(reader)
                writer.close()
                return " 200 " in f"{line} "
        except (OSError, asyncio.IncompleteReadError):
            return False


BOUNDS = {
    "grace_s": 6,
    "drain_ms": 2500,
    "config_ms": 2500,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 56,
    "budget_window_s": 10,
}


class Deployment:
    """Starts and stops the store, the VMs and their upstreams."""

    def __init__(self, case: Path, bounds: dict | None = None, memory_mb: int = 300):
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="papayapost-review-"))
        octets = random.randint(64, 250), random.randint(1, 250)
        self.prefix = f"127.{octets[0]}.{octets[1]}"
        self.store = Store(f"{self.prefix}.250:{STORE_PORT}")
        self.bounds = BOUNDS | (bounds or {})
        self.fields = {
            "bounds": self.bounds,
            "limits": {"link_mbps": 1000.0, "memory_mb": memory_mb},
        }
        self.vms: list[VM] = []
        self.tasks: list[asyncio.Task] = []
        self.numbers = itertools.count(1)

    def vm(self) -> VM:
        found = VM(self.record, next(self.numbers), self.prefix, self.fields)
        self.vms.append(found)
        return found

    def start_node(self, vm: VM, service: str) -> None:
        vm.start(self.folder, self.store.address, service)

    def background(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def configure(self, version: int, rules: list[dict]) -> None:
        document = {
            "version": f"r{version}",
            "listeners": [{"hostname": HOST, "rules": rules}],
            "clusters": [],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        await self.store.put("config", "main", document)
        self.record.note(f"the store has acknowledged r{version}")

    async def wait_until_ready(self, timeout_s: float = 30) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                for vm in self.vms:
                    while not await vm.is_ready():
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise CouldNotRun("the nodes are not ready in time") from None

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def rule(name: str, prefix: str, kind: str, service: str, **options) -> dict:
    """Return a rule of the operator's configuration."""
    action = {"service": service, "max_attempts": options.pop("max_attempts", 2)}
    timeout_ms = options.pop("timeout_ms", None)
    if timeout_ms is not None:
        action["timeout_ms"] = timeout_ms
    return {
        "name": name,
        "kind": kind,
        "match": {"path_prefix": prefix},
        "action": action,
        "priority": 1,
        **options,
    }


def run_case(case) -> None:
    """Run a coroutine that returns HELD or BROKEN, and exit with its result."""
    if not (ROOT / "target" / "deps" / "papayapost_platform").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        sys.exit(COULD_NOT_RUN)
    try:
        result = asyncio.run(asyncio.wait_for(case(), 110))
    except (CouldNotRun, TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    sys.exit(result)
