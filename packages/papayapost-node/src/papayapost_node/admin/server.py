"""The admin listener of a node."""

from collections.abc import Sequence

from papayapost.ids import Address
from papayapost_node.admin.pages import AdminPage
from papayapost_node.http import HttpAnswer, HttpServer, ServerCall

__all__ = ["AdminServer"]


class AdminServer:
    """Serves pages by HTTP GET.

    Parameters
    ----------
    address
        Where operators ask; not reachable by callers.
    """

    def __init__(self, address: Address, pages: Sequence[AdminPage]):
        self._pages = {page.path: page for page in pages}
        self._server = HttpServer(address, self._on_request)

    async def start(self) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address is in use or not this machine's.
        """
        await self._server.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close()

    def _on_request(self, call: ServerCall) -> None:
        request = call.request
        if request.method != "GET":
            call.answer(HttpAnswer(405, [(b"allow", b"GET")]))
            return
        page = self._pages.get(request.target.partition("?")[0])
        call.answer(page.render() if page else HttpAnswer(404))
