"""CONFIG: a configuration that the store accepts is refused by every node."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from mesh import CONFIG_S, STABLE_WINDOW_S, CannotRun, rule, run  # noqa: E402
from upstream import Upstream  # noqa: E402

HOST = "mesa-de-atencion.recepcion.reparaciones-oleaje-austral.example"
VALUE_BYTES = 1_048_576  # platform.value_bytes
MANY_ROUTES = 5_600
FEW_ROUTES = 1_400
REQUESTS = 30


def listeners(moved_to, added):
    rules = [rule("r-lookup", "idempotent", "/lookup/", moved_to)]
    for number in range(added):
        rules.append(rule(f"r-{number:04x}", "idempotent", f"/p{number:04x}/", "bodega-datos"))
    return [{"hostname": HOST, "rules": rules}]


async def case(mesh, record, has_trouble):
    await mesh.start_store()
    services = ["recepcion", "bodega-datos"]
    await mesh.put_config("r7", listeners("recepcion", 0), services)
    servers = {}
    for number, service in enumerate(("recepcion", "bodega-datos", "recepcion")):
        node = mesh.add_node(f"sidecar-{number}", "cerro-alegre", "zona-centro", service)
        node.start()
        server = Upstream(record, f"{service}-{number}", service, node.app, node.control)
        await server.start()
        servers[server.name] = server
    for node, server in zip(mesh.nodes, servers.values()):
        await node.wait_ready()
        server.start_beats()
    entry = mesh.nodes[0]
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    if (await mesh.request(entry, "GET", HOST, "/lookup/1"))[2] != 200:
        raise CannotRun("the first configuration is not served")

    # The next version moves a route to the other service and adds routes.
    added = MANY_ROUTES if has_trouble else FEW_ROUTES
    item = await mesh.put_config("r12", listeners("bodega-datos", added), services)
    if len(mesh.encoded(item)) > VALUE_BYTES:
        raise CannotRun("the configuration is larger than the store takes")
    await asyncio.sleep(CONFIG_S + 2)
    stale, missing = 0, 0
    for number in range(REQUESTS):
        _, _, status, body = await mesh.request(entry, "GET", HOST, "/lookup/1")
        stale += status == 200 and body.startswith("recepcion")
        _, _, status, _ = await mesh.request(entry, "GET", HOST, f"/p{number:04x}/1")
        missing += status == 404
    if not stale and not missing:
        return ""
    return (
        f"CONFIG: {CONFIG_S + 2:.1f} s after the acknowledgement {stale} of {REQUESTS} "
        f"requests on the moved route ran at the old service, and {missing} of "
        f"{REQUESTS} on added routes got 404"
    )


run(case, FOLDER)
