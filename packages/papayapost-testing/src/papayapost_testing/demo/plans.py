"""Scaled-down plans of the two deployments of the demo."""

from dataclasses import dataclass
from importlib import resources

from papayapost.ids import DataCentreId, NodeId, RegionId, ServiceName
from papayapost.place import Place
from papayapost.states import Rank
from papayapost_testing.backend import BehaviourRow
from papayapost_testing.load import CallTypeRow

__all__ = ["DEPLOYMENTS", "Deployment", "NodePlan", "ServicePlan", "plan_nodes"]


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service with its backend servers.

    Parameters
    ----------
    backend_count
        Number of backend servers; they are assigned to the data centres
        round-robin.
    connections
        Number of connections that each backend server accepts.
    """

    name: ServiceName
    backend_count: int
    connections: int
    behaviour: BehaviourRow


@dataclass(frozen=True, slots=True)
class Deployment:
    """Places, services, rules and load of one deployment.

    Parameters
    ----------
    rules
        Text of the rules file that is applied first.
    edits
        Lines that the later changes append to the rules file, one line for
        each change.
    call_types
        Kinds of calls that the load generator sends.
    """

    name: str
    places: tuple[Place, ...]
    services: tuple[ServicePlan, ...]
    rules: str
    edits: tuple[str, ...]
    call_types: tuple[CallTypeRow, ...]


@dataclass(frozen=True, slots=True)
class NodePlan:
    """One node, its place and the service of its backend server."""

    node_id: NodeId
    place: Place
    service: ServicePlan


def plan_nodes(deployment: Deployment) -> list[NodePlan]:
    """Return the nodes of a deployment, assigned to the places round-robin."""
    plans: list[NodePlan] = []
    for service in deployment.services:
        for _ in range(service.backend_count):
            place = deployment.places[len(plans) % len(deployment.places)]
            node_id = NodeId(f"{place.data_centre}-{len(plans) + 1}")
            plans.append(NodePlan(node_id, place, service))
    return plans


def _places(*regions: str) -> tuple[Place, ...]:
    return tuple(
        Place(DataCentreId(f"{region}-{number}"), RegionId(region))
        for region in regions
        for number in (1, 2)
    )


def _rules_of(name: str) -> str:
    return resources.files(__package__).joinpath("rules", f"{name}.rules").read_text()


def _call_type(
    name: str, rank: Rank, request: str, weight: float, *, is_keyed: bool = False
) -> CallTypeRow:
    method, target = request.split()
    host, _, path = target.partition("/")
    return CallTypeRow(
        name,
        rank,
        method,
        host,
        f"/{path}",
        weight,
        is_keyed=is_keyed,
        body_bytes=200 if is_keyed else 0,
        timeout_ms=4_000 if is_keyed else 2_000,
    )


_OLEAJE = Deployment(
    "oleaje",
    _places("central", "south"),
    (
        ServicePlan(ServiceName("counter"), 7, 110, BehaviourRow(9, 4.0)),
        ServicePlan(
            ServiceName("records"), 4, 110, BehaviourRow(9, 8.0, answer_bytes=20_000)
        ),
    ),
    _rules_of("oleaje"),
    (
        "route GET counter.oleaje/hours -> counter rank=normal idempotent=yes "
        "# Marta Soto: opening hours on the web page",
        "route GET records.oleaje/photos/* -> records rank=bulk idempotent=yes "
        "# Ana Pizarro: resin cure photographs",
        "route GET counter.oleaje/prices -> counter rank=normal idempotent=yes "
        "# Marta Soto: price list on the web page",
        "route GET records.oleaje/moulds/* -> records rank=bulk idempotent=yes "
        "# Ana Pizarro: mould drawings",
    ),
    (
        _call_type("status", Rank.URGENT, "GET counter.oleaje/status/7", 5),
        _call_type("quote", Rank.URGENT, "GET counter.oleaje/quotes/7", 2),
        _call_type("order", Rank.HIGH, "POST counter.oleaje/orders", 1, is_keyed=True),
        _call_type(
            "deposit", Rank.HIGH, "POST counter.oleaje/deposits", 1, is_keyed=True
        ),
        _call_type("stock", Rank.NORMAL, "GET records.oleaje/stock/resin", 2),
        _call_type("scan", Rank.BULK, "GET records.oleaje/scans/12", 1),
    ),
)

_FENGZHENG = Deployment(
    "fengzheng",
    _places("north", "west"),
    (
        ServicePlan(ServiceName("flyer"), 8, 120, BehaviourRow(12, 3.0)),
        ServicePlan(
            ServiceName("archive"), 4, 120, BehaviourRow(12, 8.0, answer_bytes=40_000)
        ),
    ),
    _rules_of("fengzheng"),
    (
        "route GET wind.fengzheng/tides/* -> flyer rank=normal idempotent=yes "
        "# Yu Wang: tides beside the stations",
        "route GET wind.fengzheng/squalls/* -> flyer rank=urgent idempotent=yes "
        "# Mei Chen: squall warnings",
        "route GET wind.fengzheng/dunes/* -> flyer rank=normal idempotent=yes "
        "# Yu Wang: state of the dunes",
        "route GET wind.fengzheng/fields/* -> flyer rank=normal idempotent=yes "
        "# Mei Chen: fields past Hsinchu",
    ),
    (
        _call_type("gusts", Rank.URGENT, "GET wind.fengzheng/gusts/wanli", 6),
        _call_type(
            "booking", Rank.HIGH, "POST wind.fengzheng/bookings", 1, is_keyed=True
        ),
        _call_type("station", Rank.NORMAL, "GET wind.fengzheng/stations/4", 3),
        _call_type("season", Rank.BULK, "GET wind.fengzheng/seasons/2025", 1),
    ),
)

DEPLOYMENTS = (_OLEAJE, _FENGZHENG)
