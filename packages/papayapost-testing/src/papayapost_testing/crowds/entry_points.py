"""The entry points of a node that a crowd of clients may use."""

from enum import Enum

from papayapost.define import define

__all__ = ["ENTRY_POINTS", "PEER_PORT", "EntryPoint", "EntryPointId", "ListenerId"]


class ListenerId(Enum):
    """Addresses that a node listens on; the value is the settings key."""

    CALLERS = "caller_address"
    READINESS = "readiness_address"
    REPORTS = "report_address"
    ADMIN = "admin_address"
    PEERS = "peer_address"


class EntryPointId(Enum):
    """Entry points of a node."""

    ROUTE = "route"
    NO_ROUTE = "no-route"
    NO_BODY = "no-body"
    READINESS = "readiness"
    REPORT = "report"
    METRICS = "metrics"
    PEERS = "peers"


@define(frozen=True)
class EntryPoint:
    """A path at one of a node's addresses, and the request it is made for.

    Parameters
    ----------
    method, path
        Method and path of the requests of a crowd.
    body
        Body of an ordinary request.
    status
        Status of the answer to an ordinary request.
    """

    entry_point_id: EntryPointId
    listener: ListenerId
    method: str
    path: str
    body: bytes = b""
    status: int = 200

    def head(self, *fields: str) -> bytes:
        """Encode the head of a request with further header fields."""
        lines = [f"{self.method} {self.path} HTTP/1.1", "host: crowd", *fields]
        return "\r\n".join([*lines, "", ""]).encode()

    def request(self) -> bytes:
        """Encode an ordinary request."""
        fields = [f"content-length: {len(self.body)}"] if self.body else []
        return self.head(*fields) + self.body


ENTRY_POINTS = (
    EntryPoint(EntryPointId.ROUTE, ListenerId.CALLERS, "POST", "/scans"),
    EntryPoint(EntryPointId.NO_ROUTE, ListenerId.CALLERS, "GET", "/none", status=404),
    EntryPoint(EntryPointId.NO_BODY, ListenerId.CALLERS, "GET", "/looks"),
    EntryPoint(EntryPointId.READINESS, ListenerId.READINESS, "GET", "/"),
    EntryPoint(
        EntryPointId.REPORT, ListenerId.REPORTS, "POST", "/report", b'{"slots": 9}'
    ),
    EntryPoint(EntryPointId.METRICS, ListenerId.ADMIN, "GET", "/metrics"),
)

PEER_PORT = EntryPoint(EntryPointId.PEERS, ListenerId.PEERS, "", "")
"""The port between nodes, which speaks no HTTP."""
