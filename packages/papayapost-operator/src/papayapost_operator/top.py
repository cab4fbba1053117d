"""The command ``papaya top``."""

import asyncio
from collections.abc import Sequence

from papayapost.define import define
from papayapost.errors import UsageRefused
from papayapost.ids import Address
from papayapost.timeline import TimelineGap
from papayapost_node.admin import NodeStatus
from papayapost_node.foreign_json import decode_json
from papayapost_operator.command import Command, Result
from papayapost_operator.nodes import PageUnavailable, read_page
from papayapost_operator.numbers import parse_whole_number
from papayapost_operator.samples import MetricSamples
from papayapost_operator.timeline import split_list

__all__ = ["NodeOverview", "TopCommand", "TopOverview"]

_MEMORY = "papayapost_memory_bytes"
_CPU = "papayapost_cpu_seconds"
_CALLS = "papayapost_calls_total"
_REFUSALS = "papayapost_call_refusals_total"
_LATENCY = "papayapost_latency_seconds"


@define(frozen=True)
class NodeOverview:
    """State and metrics of one node.

    Parameters
    ----------
    urgent_p99_ms
        99th percentile of the latency in ms of calls of rank urgent that
        entered at this node, or None if there were none.
    """

    address: Address
    status: NodeStatus
    memory_bytes: int
    cpu_s: float
    calls: int
    refusals: int
    urgent_p99_ms: float | None


@define(frozen=True)
class TopOverview:
    """Report of ``papaya top --json``."""

    nodes: tuple[NodeOverview, ...]
    gaps: tuple[TimelineGap, ...]


class TopCommand(Command):
    """Shows the state, resource use and calls of each node."""

    name = "top"

    def __init__(self, nodes: str, timeout_ms: str):
        self._addresses = [Address(word) for word in split_list(nodes)]
        if not self._addresses:
            raise UsageRefused("no node is named; give --nodes ADDRESS,...")
        self._timeout_s = parse_whole_number("--timeout_ms", timeout_ms) / 1_000

    def run(self) -> Result:
        """Read the pages of all nodes concurrently."""
        report = asyncio.run(_read_nodes(self._addresses, self._timeout_s))
        lines = [_HEADING, *map(_node_line, report.nodes)]
        lines += [line for node in report.nodes for line in _problem_lines(node)]
        lines += [f"gap: {gap.source}: {gap.reason}" for gap in report.gaps]
        return Result(report, tuple(lines))


_HEADING = (
    f"{'node':<20}{'version':>8}  {'role':<12}{'children':>9}{'rows':>7}"
    f"{'slots':>6}{'MB':>7}{'cpu s':>8}{'calls':>9}{'refused':>8}{'urgent p99':>12}"
)


def _node_line(node: NodeOverview) -> str:
    status = node.status
    p99 = "-" if node.urgent_p99_ms is None else f"{node.urgent_p99_ms:.2f} ms"
    return (
        f"{status.node_id:<20}{status.version:>8}  {_role_of(status):<12}"
        f"{status.children:>9}{status.directory_rows:>7}{status.free_slots:>6}"
        f"{node.memory_bytes / (1 << 20):>7.1f}{node.cpu_s:>8.1f}"
        f"{node.calls:>9}{node.refusals:>8}{p99:>12}"
    )


def _problem_lines(node: NodeOverview) -> list[str]:
    status, lines = node.status, []
    if status.refused_version is not None:
        refused = f"{status.node_id} refuses version {status.refused_version}"
        lines.append(f"{refused}: {status.refusal}")
    if status.older_store_version is not None:
        lines.append(
            f"{status.node_id} holds version {status.version}; the store, in era "
            f"{status.store_era}, shows version {status.older_store_version}"
        )
    return lines


def _role_of(status: NodeStatus) -> str:
    if status.is_link_relay:
        return "link relay"
    if status.is_relay:
        return "relay"
    return "parent" if status.children else "node"


async def _read_nodes(addresses: Sequence[Address], timeout_s: float) -> TopOverview:
    results = await asyncio.gather(*(_read_node(a, timeout_s) for a in addresses))
    nodes = tuple(result for result in results if isinstance(result, NodeOverview))
    gaps = tuple(result for result in results if isinstance(result, TimelineGap))
    return TopOverview(nodes, gaps)


async def _read_node(address: Address, timeout_s: float) -> NodeOverview | TimelineGap:
    try:
        status_body = await read_page(address, "/status", timeout_s)
        metrics_body = await read_page(address, "/metrics", timeout_s)
        status = decode_json(status_body, NodeStatus)
        samples = MetricSamples(metrics_body.decode())
    except (PageUnavailable, ValueError) as error:
        return TimelineGap(address, str(error))
    p99_s = samples.get(_LATENCY, "entry/0.99/urgent")
    return NodeOverview(
        address=address,
        status=status,
        memory_bytes=int(samples.value(_MEMORY)),
        cpu_s=samples.value(_CPU),
        calls=int(samples.value(_CALLS)),
        refusals=int(samples.total(_REFUSALS)),
        urgent_p99_ms=None if p99_s is None else p99_s * 1_000,
    )
