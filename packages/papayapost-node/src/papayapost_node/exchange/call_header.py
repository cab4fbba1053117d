"""Writes the header that identifies a call to operators."""

from papayapost.ids import CallId, NodeId

__all__ = ["call_header"]


def call_header(node_id: NodeId, call_id: CallId) -> tuple[bytes, bytes]:
    """Return the header that gives the caller the id of its call.

    Operators find the call on the time line under this id.

    Examples
    --------
    >>> call_header(NodeId("north-1-4"), CallId(7))
    (b'papayapost-call', b'north-1-4/7')
    """
    return (b"papayapost-call", f"{node_id}/{call_id}".encode())
