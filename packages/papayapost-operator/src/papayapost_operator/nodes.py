"""Asks nodes for the pages of their admin listeners."""

import asyncio

import h11

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpRequest

__all__ = ["NodeSilent", "read_page"]

_MAX_PAGE_BYTES = 32 << 20


class NodeSilent(Exception):
    """A node gave no page; shown as a gap, never as an error."""


async def read_page(address: Address, path: str, timeout_s: float) -> bytes:
    """Return a page of a node.

    Raises
    ------
    NodeSilent
        If the node gives no whole page in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _read(address, path)
    except TimeoutError:
        raise NodeSilent("no answer in time") from None
    except (OSError, h11.RemoteProtocolError) as error:
        raise NodeSilent(str(error) or type(error).__name__) from None


async def _read(address: Address, path: str) -> bytes:
    connection = await ClientConnection.open(address)
    try:
        request = HttpRequest("GET", path, [(b"host", address.encode())])
        answer = await connection.call(request)
    finally:
        connection.close()
    if answer.status != 200 or not answer.is_whole:
        raise NodeSilent(f"answered {answer.status}")
    return answer.body
