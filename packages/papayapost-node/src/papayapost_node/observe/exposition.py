"""Exposes a node's metrics in the Prometheus text format."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any

import psutil
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from papayapost.distribution import DirectWatchRow
from papayapost.node import NodeWorld
from papayapost.quota import QuotaCounters
from papayapost.rollout import RolloutCounters
from papayapost.states import Rank
from papayapost_node.http import HttpLimit, SharedLimits
from papayapost_node.observe.meter import CallCounter, CallMeter
from papayapost_node.transport import PeerTable

__all__ = ["expose"]

_LISTENERS = ("caller", "readiness", "report", "admin", "peer")
_PERCENTILES = (50, 90, 99, 99.9)


class _NodeCollector(Collector):
    def __init__(
        self,
        meter: CallMeter,
        world: NodeWorld,
        peers: PeerTable,
        limits: SharedLimits,
    ):
        self._limits = limits
        self._meter = meter
        self._world = world
        self._peers = peers
        self._process = psutil.Process()

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values."""
        yield from self._call_counters()
        yield from self._traffic_counters()
        yield from self._peer_bytes()
        yield from self._limit_counters()
        yield from self._latencies()
        yield from self._gauges()

    def _call_counters(self) -> Iterator[Metric]:
        for counter in CallCounter:
            family = CounterMetricFamily(
                f"papayapost_{counter.value}", counter.name.lower(), labels=["label"]
            )
            for (row_counter, label), value in self._meter.counts.items():
                if row_counter is counter:
                    family.add_metric([label], value)
            yield family

    def _traffic_counters(self) -> Iterator[Metric]:
        """Yield the counters of the traffic systems."""
        traffic = self._world.traffic
        claims = traffic.claims
        yield from _totals("entry", _fields_of(traffic.calls.counters))
        yield from _totals("owner", _fields_of(traffic.owner.counters))
        yield from _totals(
            "claims", {"writes": claims.writes, "conflicts": claims.conflicts}
        )
        quotas = self._world.quotas
        lent = quotas.counters if quotas is not None else QuotaCounters()
        yield from _totals("quota", _fields_of(lent))
        rollout = self._world.rollout
        ordered = rollout.tables.counters if rollout else RolloutCounters()
        yield from _totals("rollout", _fields_of(ordered))
        contact = self._world.contact or DirectWatchRow()
        yield from _totals("store", _fields_of(contact.counters))

    def _peer_bytes(self) -> Iterator[Metric]:
        peers = self._peers
        for name, sent_bytes in (
            ("papayapost_sent_bytes", peers.sent_bytes),
            ("papayapost_control_sent_bytes", peers.control_sent_bytes),
        ):
            family = CounterMetricFamily(name, "To peers, by link", labels=["link"])
            for link, size_bytes in sent_bytes.items():
                label = "unknown" if link is None else link.name.lower()
                family.add_metric([label.replace("_", "-")], size_bytes)
            yield family
        yield CounterMetricFamily(
            "papayapost_control_received_bytes",
            "From peers",
            value=peers.control_received_bytes,
        )

    def _limit_counters(self) -> Iterator[Metric]:
        family = CounterMetricFamily(
            "papayapost_caller_limits",
            "Callers that met a limit",
            labels=["listener", "limit"],
        )
        counts = self._limits.counts.counts
        for listener in _LISTENERS:
            for limit in HttpLimit:
                family.add_metric([listener, limit.value], counts[listener, limit])
        yield family
        yield CounterMetricFamily(
            "papayapost_deferred_turns",
            "Turns that had to wait",
            value=self._limits.turns.deferred,
        )

    def _latencies(self) -> Iterator[Metric]:
        by_hop = GaugeMetricFamily(
            "papayapost_latency_seconds",
            "Latency by hop and rank",
            labels=["hop", "rank", "quantile"],
        )
        totals = SummaryMetricFamily(
            "papayapost_calls_by_service",
            "Latency of answered calls by service",
            labels=["service"],
        )
        for (hop, rank), histogram in self._meter.by_hop.items():
            for percentile in _PERCENTILES:
                value_s = histogram.get_value_at_percentile(percentile) / 1e6
                labels = [hop.value, rank.name.lower(), f"{percentile / 100:g}"]
                by_hop.add_metric(labels, value_s)
        for service, row in self._meter.by_service.items():
            totals.add_metric([service], row.calls, row.total_us / 1e6)
        yield by_hop
        yield totals

    def _gauges(self) -> Iterator[Metric]:
        world = self._world
        refused = world.rules.refused
        contact = world.contact or DirectWatchRow()
        times = self._process.cpu_times()
        values = {
            "rules_version": world.rules.version,
            "rules_refused_version": refused.version if refused else 0,
            "rules_newest_version": world.rules.newest_seen_version,
            "store_era": contact.era,
            "store_rules_version": contact.shown_version,
            "store_entries_left_out": contact.entries_left_out,
            "directory_rows": len(world.directory),
            "children": len(world.tree.children) if world.tree else 0,
            "free_slots": world.traffic.owner.free_slots,
            "slot_limit": world.traffic.owner.limit,
            "waiting_attempts": world.traffic.owner.waiting,
            "link_budget_bytes": world.traffic.link.tokens_bytes,
            "quota_leases": world.quotas.held_leases if world.quotas else 0,
            "held_bytes": self._limits.held.total_bytes,
            "memory_bytes": self._process.memory_info().rss,
            "cpu_seconds": times.user + times.system,
        }
        for name, value in values.items():
            yield GaugeMetricFamily(f"papayapost_{name}", name, value=value)


def _fields_of(counters: Any) -> dict[str, float | list[int]]:
    names = [item.name for item in dataclasses.fields(counters)]
    return {name: getattr(counters, name) for name in names}


def _totals(prefix: str, totals: Mapping[str, float | list[int]]) -> Iterator[Metric]:
    """Yield a counter for each total.

    A total that is a list holds one value for each rank.
    """
    for name, total in totals.items():
        full_name = f"papayapost_{prefix}_{name}"
        if not isinstance(total, list):
            yield CounterMetricFamily(full_name, name, value=total)
            continue
        family = CounterMetricFamily(full_name, name, labels=["rank"])
        for rank in Rank:
            family.add_metric([rank.name.lower()], total[rank])
        yield family


def expose(
    meter: CallMeter,
    world: NodeWorld,
    peers: PeerTable,
    limits: SharedLimits | None = None,
) -> bytes:
    """Return a node's metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    collector = _NodeCollector(meter, world, peers, limits or SharedLimits())
    registry.register(collector)
    return generate_latest(registry)
