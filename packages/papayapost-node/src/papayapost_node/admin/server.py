"""The HTTP server of a node's admin pages."""

from collections.abc import Sequence

from papayapost.ids import Address
from papayapost_node.admin.pages import AdminPage
from papayapost_node.http import (
    HttpAnswer,
    HttpLimits,
    ServerCall,
    SharedLimits,
    WholeRequestServer,
)

__all__ = ["AdminServer"]

_PAGE_UNITS = 256
"""Work of one page in units of `Turns`; a page of metrics takes some ms."""


class AdminServer:
    """Serves the admin pages of a node by HTTP GET.

    Parameters
    ----------
    address
        Address to listen on, which callers must not be able to reach.
    limits, shared
        Limits of the connections, and the bounds of the whole process.
    """

    def __init__(
        self,
        address: Address,
        pages: Sequence[AdminPage],
        limits: HttpLimits | None = None,
        shared: SharedLimits | None = None,
    ):
        self._pages = {page.path: page for page in pages}
        self._server = WholeRequestServer(
            address,
            self._on_request,
            limits=limits,
            setting="admin_address",
            shared=shared,
            request_units=_PAGE_UNITS,
        )

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
