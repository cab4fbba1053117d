"""Answers that wait for a slow link while nodes stop, seen by callers.

Machines that were stopped in turn cut downloads that their backend server had
answered seconds before.
"""

import asyncio
from enum import Enum

import pytest

from papayapost_node.addresses import split_address
from papayapost_testing.node_pair import node_pair

CALLS = 16
BODY_BYTES = 30_000
# The link needs over five seconds for all answers, and a node has two.
SETTINGS = {
    "link_mbps": 1.0,
    "stop_limit_s": 2.0,
    "drain_grace_ms": 200,
    "http": {"hold_answer_bytes": 1 << 20},
}
REQUEST = b"GET /a HTTP/1.1\r\nhost: scans.example\r\n\r\n"


class Stop(Enum):
    """Which nodes are stopped, with the time in s between their stops."""

    ENTRY = "entry"
    OWNER = "owner"
    BOTH = "both"
    ENTRY_FIRST = "entry-first"
    OWNER_FIRST = "owner-first"

    @property
    def entry_after_s(self):
        return {Stop.OWNER: None, Stop.OWNER_FIRST: 0.7}.get(self, 0.0)

    @property
    def owner_after_s(self):
        return {Stop.ENTRY: None, Stop.ENTRY_FIRST: 0.7}.get(self, 0.0)


async def answer_downloads(reader, writer):
    """Answer at once; only the downloads are large.

    The owner node knows small answers alone, and takes all downloads.
    """
    while True:
        request = await reader.readuntil(b"\r\n\r\n")
        size = BODY_BYTES if request.startswith(b"GET /a ") else 1
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n"
        writer.write(head.encode() + bytes(size))
        await writer.drain()


async def status_of_call(address):
    """Return the status of a whole answer, or None if it was cut off."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    try:
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await reader.readexactly(length)
        return int(head.split()[1])
    except (asyncio.IncompleteReadError, OSError):
        return None
    finally:
        writer.close()


async def stop(node, after_s):
    if after_s is not None:
        await asyncio.sleep(after_s)
        await node.drain()
        await node.close()


async def statuses_during(stops):
    async with node_pair(answer_downloads, CALLS, changes=SETTINGS) as pair:
        address = pair.entry_address
        calls = [asyncio.create_task(status_of_call(address)) for _ in range(CALLS)]
        await asyncio.sleep(0.3)
        async with asyncio.timeout(20):
            await asyncio.gather(
                stop(pair.entry, stops.entry_after_s),
                stop(pair.owner, stops.owner_after_s),
            )
            return await asyncio.gather(*calls)


@pytest.mark.parametrize("stops", Stop)
def test_no_answer_that_waits_for_a_link_is_cut_off_by_a_stop(stops):
    """Guards against connections that end without a whole answer."""
    statuses = asyncio.run(statuses_during(stops))
    assert None not in statuses
    assert statuses.count(200) >= 2
    assert set(statuses) == {200, 502}
