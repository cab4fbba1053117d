"""Starts nodes with the deploy file's command, and the stand-ins around them."""

import asyncio
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from http_io import call, status_of
from store import Store

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "node.json.template"
ADMIN_PORT = 9464
SCRATCH = tempfile.TemporaryDirectory(prefix="papayapost-review-")

# Figures of a small deployment (SYSTEM.md, "Mesh for Ding Repair").
BOUNDS = {
    "bounds.retry_budget_ratio": 0.2,
    "bounds.retry_budget_slack": 56,
    "bounds.budget_window_s": 10,
    "bounds.grace_s": 6,
}
STABLE_WINDOW_S = 4.0
MAX_FDS = 4100
DRAIN_S = 2.5
CONFIG_S = 2.5
GRACE_S = 6.0


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with times from the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._start_s = time.monotonic()

    def __call__(self, what, **fields):
        at = time.monotonic() - self._start_s
        detail = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {what} {detail}\n")
        self._file.flush()

    def now(self):
        return time.monotonic() - self._start_s


def free_host(ports):
    """Return a loopback address of which the given ports and others are free."""
    for _ in range(200):
        host = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return host
        except OSError:
            continue
    raise CannotRun("no loopback address has the ports free")


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(text, fields):
    """Fill the placeholders that the node's template uses."""

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields[name]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Node:
    def __init__(self, record, name, zone, region, service, store_address):
        self.record = record
        self.name = name
        self.host = free_host([ADMIN_PORT])
        ports = set()
        while len(ports) < 5:
            ports.add(free_port(self.host))
        self.outbound, self.inbound, self.ready, self.control, self.app = (
            (self.host, port) for port in ports
        )
        text = render(
            TEMPLATE.read_text(),
            {
                "node": name,
                "zone": zone,
                "region": region,
                "ip": self.host,
                "listen.outbound": _text(self.outbound),
                "listen.inbound": _text(self.inbound),
                "listen.ready_addr": _text(self.ready),
                "listen.control": _text(self.control),
                "platform.address": _text(store_address),
                "limits.link_mbps": 1000.0,
                "service": service,
                "app_addr": _text(self.app),
                "heartbeat_ms": 1500,
                **BOUNDS,
            },
        )
        self.settings = Path(SCRATCH.name) / f"{name}.json"
        self.settings.write_text(text)
        self.process = None

    def start(self):
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PAPAYAPOST_SETTINGS"] = str(self.settings)
        # The command of deploy/system.toml.
        self.log = open(Path(SCRATCH.name) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "papayapost_platform"],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, preexec_fn=_limit_descriptors,
        )
        self.record("start", node=self.name)

    def signal(self, number):
        self.record("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_ended(self, timeout_s):
        due_s = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < due_s:
            await asyncio.sleep(0.01)
        if self.process.poll() is not None:
            self.record("ended", node=self.name, code=self.process.returncode)
        return self.process.poll()

    async def is_ready(self):
        return status_of(await call(self.ready, "GET", "/-/ready", timeout_s=0.5)) == 200

    async def wait_ready(self, timeout_s=15.0):
        due_s = time.monotonic() + timeout_s
        while time.monotonic() < due_s:
            if await self.is_ready():
                self.record("ready", node=self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {timeout_s} s")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def _limit_descriptors():
    """Give the process the descriptors that `limits.max_fds` allows it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))


def _text(address):
    return f"{address[0]}:{address[1]}"


class Mesh:
    """A store and nodes; ends every process that it started."""

    def __init__(self, record):
        self.record = record
        self.nodes = []
        self.store = Store()
        host = free_host([])
        self.store_address = (host, free_port(host))
        self._ids = random.Random()

    async def start_store(self):
        await self.store.start(*self.store_address)

    def add_node(self, name, zone, region, service):
        node = Node(self.record, name, zone, region, service, self.store_address)
        self.nodes.append(node)
        return node

    async def put_config(self, version, listeners, services):
        spec = {
            "version": version,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "listeners": listeners,
            "clusters": [
                {
                    "name": name, "health_path": "/healthz", "max_connections": 110,
                    "protocol": "h1", "tls": False,
                }
                for name in services
            ],
        }
        item = await self.store.put("config", "main", spec)
        size = len(self.encoded(item))
        self.record("config acknowledged", version=version, object_bytes=size)
        return item

    @staticmethod
    def encoded(item):
        return json.dumps(item, separators=(",", ":")).encode()

    async def request(self, node, method, host, path, timeout_ms=2000, body=b""):
        request_id = f"{self._ids.getrandbits(64):016x}"
        headers = [
            ("Host", host), ("X-Request-Id", request_id),
            ("X-Timeout-Ms", str(timeout_ms)),
        ]
        self.record("send", node=node.name, id=request_id, method=method, path=path)
        sent_s = time.monotonic()
        answer = await call(
            node.outbound, method, path, headers, body, timeout_ms / 1000 + 0.5
        )
        status = status_of(answer)
        text = answer.body.decode("latin-1") if answer else ""
        self.record("answer", id=request_id, status=status, body=repr(text[:40]))
        return request_id, sent_s, status, text

    def close(self):
        for node in self.nodes:
            node.kill()


def rule(name, kind, prefix, service, timeout_ms=2000, attempts=2):
    return {
        "name": name, "kind": kind, "target_latency_ms": 800, "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {"service": service, "timeout_ms": timeout_ms, "max_attempts": attempts},
    }


def run(case, folder):
    """Run a case and exit: 0 if the rule held, 1 if not, 2 if it could not run."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", trouble=int(has_trouble))

    async def guarded():
        mesh = Mesh(record)
        try:
            return await asyncio.wait_for(case(mesh, record, has_trouble), 110)
        finally:
            mesh.close()

    try:
        broken = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    record("result", broken=broken)
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
