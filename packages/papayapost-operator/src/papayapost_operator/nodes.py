"""Reads pages from the admin listeners of nodes."""

import asyncio

import h11

from papayapost.ids import Address
from papayapost_node.http import ClientConnection, HttpRequest

__all__ = ["PageUnavailable", "read_page"]

_MAX_PAGE_BYTES = 32 << 20


class PageUnavailable(Exception):
    """A node did not return a page.

    Commands report it as a gap, not as an error.
    """


async def read_page(address: Address, path: str, timeout_s: float) -> bytes:
    """Return the body of a node's admin page.

    Raises
    ------
    PageUnavailable
        If the node does not return the whole page within `timeout_s` seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _read(address, path)
    except TimeoutError:
        raise PageUnavailable("no answer within the timeout") from None
    except (OSError, h11.RemoteProtocolError) as error:
        raise PageUnavailable(str(error) or type(error).__name__) from None


async def _read(address: Address, path: str) -> bytes:
    connection = await ClientConnection.open(address)
    try:
        request = HttpRequest("GET", path, [(b"host", address.encode())])
        answer = await connection.call(request)
    finally:
        connection.close()
    if answer.status != 200 or not answer.is_whole:
        raise PageUnavailable(
            f"answer of status {answer.status} without a complete page"
        )
    return answer.body
