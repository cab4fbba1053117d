"""A machine is stopped while its downloads wait for another one's link."""

import asyncio
import math
import random
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

# Podcast Hosting Mesh, demands/LATER.md: `tapevault` and `audio-download`. The
# machines' links have 7 to 100 Mbit/s there; one zone of four has a single
# upstream, and a quarter of 85.1 requests a second.
LINK_MBPS = 14.0
SLOTS, WORK_S = 9, 0.31
DEADLINE_MS = 9_543
PER_S = 85.1 / 4
MEAN_BYTES, SPREAD, MOST_BYTES = 90_000, 0.6, 540_000
GRACE_S = 6
DRAIN_MS = 3_000
LOAD_S = 14
CALM_S = 5
SEED = 1


class Requests:
    """What became of each request, as its client saw it."""

    def __init__(self, d: Deployment):
        self.d = d
        self.cut: list[tuple[str, float, float]] = []
        self.whole = self.refused = self.given_up = 0

    async def send(self, vm, request_id: str, size: int) -> None:
        sent_s = self.d.record.now_s()
        headers = {
            "host": HOST,
            "x-request-id": request_id,
            "x-timeout-ms": str(DEADLINE_MS),
        }
        self.d.record.note(f"client sends {request_id} for {size} bytes")
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(vm.ip, PORTS["outbound"])
                writer.write(encode(f"GET /pule252/{size} HTTP/1.1", headers))
                line, answer = await read_head(reader)
                await read_body(reader, answer)
                writer.close()
        except TimeoutError:
            self.given_up += 1
            self.d.record.note(f"client gives up {request_id} at its deadline")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.cut.append((request_id, sent_s, self.d.record.now_s()))
            self.d.record.note(f"client {request_id} is cut off: {error!r}")
        else:
            is_whole = " 200 " in f"{line} "
            self.whole += is_whole
            self.refused += not is_whole
            self.d.record.note(f"client gets {request_id} {line}")


def size_of(source: random.Random) -> int:
    mean = math.log(MEAN_BYTES) - SPREAD**2 / 2
    return int(min(MOST_BYTES, source.lognormvariate(mean, SPREAD)))


async def case() -> int:
    d = Deployment(HERE, {"drain_ms": DRAIN_MS, "grace_s": GRACE_S})
    d.fields["limits"]["link_mbps"] = LINK_MBPS
    source = random.Random(SEED)
    try:
        await d.store.start()
        download = rule(
            "r-n1", "/pule252/", "download", "tapevault", target_latency_ms=1431
        )
        await d.configure(3, [download])
        stopped, owner = d.vm(), d.vm()
        ends: dict[str, float] = {}

        class Vault(Upstream):
            async def _run(self, path, headers, request_id):
                answer = await super()._run(path, headers, request_id)
                ends[request_id] = d.record.now_s()
                return answer

        feeds = Upstream(d.record, "i-feed1", "feedhouse", stopped, SLOTS, None)
        vault = Vault(
            d.record,
            "i-vault1",
            "tapevault",
            owner,
            SLOTS,
            lambda path: (WORK_S, bytes(int(path.split("/")[2]))),
        )
        for upstream in (feeds, vault):
            upstream.listen()
            await upstream.start()
            d.background(upstream.report_forever())
        d.start_node(stopped, "feedhouse")
        d.start_node(owner, "tapevault")
        await d.wait_until_ready()
        await asyncio.sleep(CALM_S)
        requests = Requests(d)
        sent = []
        began_s = d.record.now_s()
        while d.record.now_s() - began_s < LOAD_S:
            request_id = f"a{len(sent):015x}"
            send = requests.send(stopped, request_id, size_of(source))
            sent.append(d.background(send))
            await asyncio.sleep(1 / PER_S)
        stopped_s = d.record.now_s()
        if trouble():
            await stopped.terminate(GRACE_S)
        await asyncio.gather(*sent)
        # Not counted: the deadline, and work in the last sixth of `grace_s`.
        latest_s = stopped_s + GRACE_S * 5 / 6
        lost = [
            request_id
            for request_id, _, _ in requests.cut
            if request_id in ends and ends[request_id] < latest_s
        ]
        print(
            f"{len(sent)} requests: {requests.whole} whole, {requests.refused} "
            f"refused, {requests.given_up} given up, {len(requests.cut)} cut off, "
            f"{len(lost)} of them after their upstream had answered"
        )
        return BROKEN if lost else HELD
    finally:
        d.stop()


run_case(case)
