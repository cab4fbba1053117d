"""The HTTP server of a node's admin pages."""

from collections.abc import Sequence

from papayapost.ids import Address
from papayapost_node.admin.pages import AdminPage
from papayapost_node.http import HttpAnswer, ServerCall, WholeRequestServer

__all__ = ["AdminServer"]


class AdminServer:
    """Serves the admin pages of a node by HTTP GET.

    Parameters
    ----------
    address
        Address to listen on, which callers must not be able to reach.
    """

    def __init__(self, address: Address, pages: Sequence[AdminPage]):
        self._pages = {page.path: page for page in pages}
        self._server = WholeRequestServer(address, self._on_request)

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        AddressUnavailable
            If the address is in use or does not belong to this machine.
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
