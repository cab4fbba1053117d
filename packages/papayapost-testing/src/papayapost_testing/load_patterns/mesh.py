"""The servers and nodes of a load pattern's mesh."""

import itertools
import math
from dataclasses import dataclass, field, replace
from random import Random

from papayapost.ids import NodeId, ServiceName
from papayapost.place import Place
from papayapost.traffic import SharedBudget, TrafficOptions
from papayapost_testing.load_patterns.rows import KindRow, LoadPattern, TroubleRow
from papayapost_testing.traffic_worlds import (
    TrafficWorld,
    backend_row,
    traffic_world,
)

__all__ = ["ServerRow", "nodes_of", "servers_of"]

_RETRY_BUDGET_RATIO = 0.2
_BUDGET_WINDOW_US = 10_000_000


@dataclass(slots=True)
class ServerRow:
    """A backend server, with the troubles that it will have."""

    service: ServiceName
    place: Place
    speed: float
    link_mbps: float = 0.0
    troubles: list[TroubleRow] = field(default_factory=list)


def servers_of(pattern: LoadPattern, random: Random) -> dict[NodeId, ServerRow]:
    """Return a server for each node, with troubles drawn among them."""
    servers: dict[NodeId, ServerRow] = {}
    for service in pattern.services:
        links_mbps = itertools.cycle(service.links_mbps)
        for place, count in service.servers.items():
            for number in range(count):
                node_id = NodeId(f"{place.data_centre}-{service.name}-{number}")
                speed = service.speeds[len(servers) % len(service.speeds)]
                servers[node_id] = ServerRow(
                    service.name, place, speed, next(links_mbps)
                )
    for trouble in pattern.troubles:
        candidates = [
            server
            for server in servers.values()
            if server.service == trouble.service
            and trouble.place in (None, server.place)
        ]
        count = math.ceil(trouble.share * len(candidates))
        for server in random.sample(candidates, count):
            server.troubles.append(trouble)
    return servers


def nodes_of(
    pattern: LoadPattern, servers: dict[NodeId, ServerRow]
) -> dict[NodeId, TrafficWorld]:
    """Return the traffic part of each node, which knows all others."""
    slots = {service.name: service.slots for service in pattern.services}
    rows = [
        replace(
            backend_row(node_id, server.service, server.place, slots[server.service]),
            link_mbps=server.link_mbps,
        )
        for node_id, server in servers.items()
    ]
    options = TrafficOptions(
        shared_budget=SharedBudget(
            _RETRY_BUDGET_RATIO, pattern.retry_slack, _BUDGET_WINDOW_US
        ),
        has_targets=True,
        has_exact_slots=True,
        has_adaptive_start=pattern.has_adaptive_start,
    )
    rules = "".join(map(_rule_of, pattern.kinds))
    return {
        row.node_id: traffic_world(
            row, [other for other in rows if other is not row], rules, options=options
        )
        for row in rows
    }


def _rule_of(kind: KindRow) -> str:
    method = "GET" if kind.is_idempotent else "POST"
    idempotent = "yes" if kind.is_idempotent else "no"
    return (
        f"route {method} /{kind.name}/* -> {kind.service} rank={kind.rank.name.lower()}"
        f" idempotent={idempotent} retries=2 timeout_ms={kind.timeout_ms}"
        f" target_ms={kind.target_ms} link={'last' if kind.is_link_last else 'yes'}"
        " # Ana: load pattern\n"
    )
