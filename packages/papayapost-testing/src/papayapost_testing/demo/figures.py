"""Reads the nodes' own figures from their metrics pages."""

from collections.abc import Mapping
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from papayapost.ids import NodeId

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
    samples = _samples_of(metrics)
    sent, control = "papayapost_sent_bytes_total", "papayapost_control_sent_bytes_total"
    received = samples.get(("papayapost_control_received_bytes_total", ""), 0.0)
    control_sent = sum(value for (name, _), value in samples.items() if name == control)
    return NodeFigures(
        node_id,
        int(control_sent + received),
        int(samples.get((sent, "across"), 0)),
        int(samples.get((control, "across"), 0)),
    )


def _samples_of(metrics: str) -> Mapping[tuple[str, str], float]:
    return {
        (sample.name, sample.labels.get("link", "")): sample.value
        for family in text_string_to_metric_families(metrics)
        for sample in family.samples
    }
