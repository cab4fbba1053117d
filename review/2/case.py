"""DRAIN: a node that is restarted forgets the departure that it acknowledged."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from mesh import DRAIN_S, STABLE_WINDOW_S, CannotRun, rule, run  # noqa: E402
from upstream import Upstream  # noqa: E402

HOST = "taller.example"
LATE_AFTER_START_S = 2.0  # delivery of the late heartbeat after the restart
LEAVES_FOR_S = 11.0  # how long the leaving upstream goes on serving


async def case(mesh, record, has_trouble):
    await mesh.start_store()
    listeners = [
        {
            "hostname": HOST,
            "rules": [
                rule("r-read", "idempotent", "/lookup/", "recepcion"),
                rule("r-charge", "non_idempotent", "/charge/", "recepcion"),
            ],
        }
    ]
    await mesh.put_config("r7", listeners, ["recepcion", "bodega-datos"])
    nodes, servers = [], []
    # Clients send to the machine of the first upstream, which is of another
    # service, so that its node sends their requests on to the other two.
    for name, service in (
        ("entry", "bodega-datos"), ("leaves", "recepcion"), ("stays", "recepcion"),
    ):
        node = mesh.add_node(f"sidecar-{name}", "cerro-alegre", "zona-centro", service)
        node.start()
        server = Upstream(record, name, service, node.app, node.control)
        await server.start()
        nodes.append(node)
        servers.append(server)
    for node, server in zip(nodes, servers):
        await node.wait_ready()
        server.start_beats()
    entry, owner, _ = nodes
    leaving = servers[1]
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    await send_for(mesh, entry, 1.0)
    if not leaving.runs:
        raise CannotRun("the upstream that will leave got no request before")

    # A heartbeat of the ready upstream is on its way and arrives seconds late.
    leaving.stop_beats()
    late_heartbeat = leaving.beat_body()
    record("heartbeat sent, on its way", server=leaving.name, seq=leaving.seq)
    await asyncio.sleep(0.2)
    if await leaving.deregister() != 200:
        raise CannotRun("the deregistration was not acknowledged")
    acknowledged_s = time.monotonic()
    await asyncio.sleep(0.3)
    if has_trouble:
        owner.signal(signal.SIGKILL)
        await owner.wait_ended(2)
        await asyncio.sleep(0.5)
        owner.start()
        started_s = time.monotonic()
        await owner.wait_ready()
    else:
        await asyncio.sleep(1.0)
        started_s = time.monotonic()
    await asyncio.sleep(max(0, started_s + LATE_AFTER_START_S - time.monotonic()))
    await leaving.report("heartbeat", late_heartbeat, "late")
    in_touch_s = started_s + STABLE_WINDOW_S + 0.1
    await asyncio.sleep(max(0, in_touch_s - time.monotonic()))
    record("all machines are in touch")
    counted_from_s = max(time.monotonic(), acknowledged_s + DRAIN_S)
    sent = await send_for(mesh, entry, acknowledged_s + LEAVES_FOR_S - time.monotonic())
    late_runs = [
        (at_s, request_id)
        for at_s, request_id in leaving.runs
        if at_s > counted_from_s and request_id in sent
    ]
    if not late_runs:
        return ""
    first_s = late_runs[0][0] - acknowledged_s
    last_s = late_runs[-1][0] - acknowledged_s
    return (
        f"DRAIN: {len(late_runs)} requests reached the upstream {first_s:.1f} to "
        f"{last_s:.1f} s after its deregistration was acknowledged"
    )


async def send_for(mesh, node, length_s):
    end_s = time.monotonic() + length_s
    sent, tasks, number = set(), [], 0

    async def one(method, path):
        request_id, *_ = await mesh.request(node, method, HOST, path)
        sent.add(request_id)

    while time.monotonic() < end_s:
        number += 1
        method, path = ("GET", "/lookup/1") if number % 3 else ("POST", "/charge/1")
        tasks.append(asyncio.create_task(one(method, path)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    return sent


run(case, FOLDER)
