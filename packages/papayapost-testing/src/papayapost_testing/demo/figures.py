"""Reads the nodes' own figures from their metrics pages."""

from dataclasses import dataclass

from papayapost.ids import NodeId
from papayapost_operator.samples import Samples

__all__ = ["NodeFigures", "figures_of"]


@dataclass(frozen=True, slots=True)
class NodeFigures:
    """What one node counted since its start.

    Parameters
    ----------
    control_bytes
        Sent and received beside the calls, stamps included.
    link_bytes, link_control_bytes
        Sent to the other region: all, and the part beside the calls.
    """

    node_id: NodeId
    control_bytes: int
    link_bytes: int
    link_control_bytes: int


def figures_of(node_id: NodeId, metrics: str) -> NodeFigures:
    """Return a node's figures from the text of its metrics page."""
    samples = Samples(metrics)
    sent, control = "papayapost_sent_bytes_total", "papayapost_control_sent_bytes_total"
    received = samples.value("papayapost_control_received_bytes_total")
    return NodeFigures(
        node_id,
        int(samples.total(control) + received),
        int(samples.value(sent, "across")),
        int(samples.value(control, "across")),
    )
