"""Reads traffic counters of the nodes from their metrics pages."""

from dataclasses import dataclass

from papayapost.ids import NodeId
from papayapost_operator.samples import MetricSamples

__all__ = ["NodeMetrics", "parse_node_metrics"]


@dataclass(frozen=True, slots=True)
class NodeMetrics:
    """Traffic counters of one node since its start, in bytes.

    Parameters
    ----------
    control_bytes
        Control traffic that was sent and received. Control traffic is all
        traffic except calls and their answers; time stamps are part of it.
    link_bytes
        All traffic that was sent to the other region.
    link_control_bytes
        Control traffic that was sent to the other region.
    """

    node_id: NodeId
    control_bytes: int
    link_bytes: int
    link_control_bytes: int


def parse_node_metrics(node_id: NodeId, metrics: str) -> NodeMetrics:
    """Return a node's counters from the text of its metrics page."""
    samples = MetricSamples(metrics)
    sent, control = "papayapost_sent_bytes_total", "papayapost_control_sent_bytes_total"
    received = samples.value("papayapost_control_received_bytes_total")
    return NodeMetrics(
        node_id,
        int(samples.total(control) + received),
        int(samples.value(sent, "across")),
        int(samples.value(control, "across")),
    )
