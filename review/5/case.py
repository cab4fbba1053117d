"""DRAIN: a faulty heartbeat of another writer hides the upstream's own ones."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from mesh import DRAIN_S, STABLE_WINDOW_S, CannotRun, rule, run  # noqa: E402
from upstream import Upstream  # noqa: E402

HOST = "taller.example"
LEAVES_FOR_S = 7.0  # how long the leaving upstream goes on serving


def faulty(heartbeat):
    """Return a heartbeat with fields missing and of another type."""
    other = json.loads(heartbeat)
    del other["status"]["cold_remaining_ms"]
    del other["info"]["zone"]
    other["info"]["version"] = 1
    other["status"]["seq"] += 1000
    return json.dumps(other).encode()


async def case(mesh, record, has_trouble):
    await mesh.start_store()
    listeners = [
        {"hostname": HOST, "rules": [rule("r-read", "idempotent", "/lookup/", "recepcion")]}
    ]
    await mesh.put_config("r7", listeners, ["recepcion", "bodega-datos"])
    servers = []
    for name, service in (
        ("entry", "bodega-datos"), ("leaves", "recepcion"), ("stays", "recepcion"),
    ):
        node = mesh.add_node(f"sidecar-{name}", "cerro-alegre", "zona-centro", service)
        node.start()
        server = Upstream(record, name, service, node.app, node.control)
        await server.start()
        servers.append(server)
    for node, server in zip(mesh.nodes, servers):
        await node.wait_ready()
        server.start_beats()
    entry, leaving = mesh.nodes[0], servers[1]
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    await send_for(mesh, entry, 1.0)
    if not leaving.runs:
        raise CannotRun("the upstream that will leave got no request before")

    if has_trouble:
        await leaving.report("heartbeat", faulty(leaving.beat_body()), "another writer")
        await asyncio.sleep(0.2)
    leaving.state = "draining"
    if await leaving.report("heartbeat", leaving.beat_body(), "draining") != 200:
        raise CannotRun("the heartbeat that says draining was not acknowledged")
    acknowledged_s = time.monotonic()
    await asyncio.sleep(DRAIN_S)
    sent = await send_for(mesh, entry, LEAVES_FOR_S - DRAIN_S)
    late_runs = [
        at_s - acknowledged_s
        for at_s, request_id in leaving.runs
        if at_s > acknowledged_s + DRAIN_S and request_id in sent
    ]
    if not late_runs:
        return ""
    return (
        f"DRAIN: {len(late_runs)} requests reached the upstream {late_runs[0]:.1f} to "
        f"{late_runs[-1]:.1f} s after it was acknowledged as draining"
    )


async def send_for(mesh, node, length_s):
    end_s = time.monotonic() + length_s
    sent, tasks = set(), []

    async def one():
        request_id, *_ = await mesh.request(node, "GET", HOST, "/lookup/1")
        sent.add(request_id)

    while time.monotonic() < end_s:
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    return sent


run(case, FOLDER)
