"""A deployment whose bounds hold a fraction starts its nodes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import (
    BROKEN,
    HELD,
    HOST,
    PORTS,
    Deployment,
    Upstream,
    encode,
    read_body,
    read_head,
    rule,
    run_case,
    trouble,
)

HERE = Path(__file__).resolve().parent

START_S = 20
RESTART_S = 0.5


async def answer_of(d: Deployment, vm) -> str:
    """Return the first line of the answer to one request."""
    headers = {"host": HOST, "x-request-id": "a1", "x-timeout-ms": "2000"}
    try:
        async with asyncio.timeout(3):
            reader, writer = await asyncio.open_connection(vm.ip, PORTS["outbound"])
            d.record.note("client sends a1")
            writer.write(encode("GET /lohu930/a1 HTTP/1.1", headers))
            line, answer = await read_head(reader)
            await read_body(reader, answer)
            writer.close()
    except (OSError, asyncio.IncompleteReadError) as error:
        line = f"no answer: {error!r}"
    d.record.note(f"client gets a1 {line}")
    return line


async def case() -> int:
    window_s = 7.5 if trouble() else 7
    d = Deployment(HERE, {"budget_window_s": window_s})
    try:
        await d.store.start()
        lookups = rule(
            "r-n1",
            "/lohu930/",
            "idempotent",
            "desk",
            target_latency_ms=800,
            timeout_ms=1200,
        )
        await d.configure(3, [lookups])
        vm = d.vm()
        upstream = Upstream(d.record, "i-desk1", "desk", vm, 9, lambda p: (0.1, b"b"))
        upstream.listen()
        await upstream.start()
        d.start_node(vm, "desk")
        d.background(upstream.report_forever())
        ends = 0
        began_s = d.record.now_s()
        while d.record.now_s() - began_s < START_S and not await vm.is_ready():
            await asyncio.sleep(0.1)
            if vm.process.poll() is not None:
                ends += 1
                d.record.note(f"{vm.node} has ended with {vm.process.returncode}")
                await asyncio.sleep(RESTART_S)
                d.start_node(vm, "desk")
        await asyncio.sleep(3)
        line = await answer_of(d, vm)
        said = vm.log.read_text().splitlines()[:2]
        print(f"bounds.budget_window_s={window_s}: {ends} ends at the start; {line}")
        for text in said if ends else []:
            d.record.note(f"{vm.node} says {text}")
            print(text)
        return BROKEN if ends >= 3 and " 200 " not in f"{line} " else HELD
    finally:
        d.stop()


run_case(case)
