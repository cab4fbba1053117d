"""The two deployments of the demo, in small."""

from dataclasses import dataclass
from importlib import resources

from papayapost.ids import DataCentreId, NodeId, RegionId, ServiceName
from papayapost.place import Place
from papayapost.states import Rank
from papayapost_testing.backend import BehaviourRow
from papayapost_testing.load import MixRow

__all__ = ["DEPLOYMENTS", "Deployment", "NodePlan", "ServicePlan", "plan_nodes"]


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service with its backend servers.

    Parameters
    ----------
    upstreams
        Backend servers, spread over the data centres in turn.
    """

    name: ServiceName
    upstreams: int
    connections: int
    behaviour: BehaviourRow


@dataclass(frozen=True, slots=True)
class Deployment:
    """Everything that the demo needs to know of a deployment.

    Parameters
    ----------
    rules
        Text of the first rules file.
    edits
        Lines that the later edits add, one edit each.
    """

    name: str
    places: tuple[Place, ...]
    services: tuple[ServicePlan, ...]
    rules: str
    edits: tuple[str, ...]
    mixes: tuple[MixRow, ...]


@dataclass(frozen=True, slots=True)
class NodePlan:
    """One node with its backend server."""

    node_id: NodeId
    place: Place
    service: ServicePlan


def plan_nodes(deployment: Deployment) -> list[NodePlan]:
    """Return the nodes of a deployment, data centres in turn."""
    plans: list[NodePlan] = []
    for service in deployment.services:
        for _ in range(service.upstreams):
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


def _mix(
    name: str, rank: Rank, request: str, weight: float, *, is_keyed: bool = False
) -> MixRow:
    method, target = request.split()
    host, _, path = target.partition("/")
    return MixRow(
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
        _mix("status", Rank.URGENT, "GET counter.oleaje/status/7", 5),
        _mix("quote", Rank.URGENT, "GET counter.oleaje/quotes/7", 2),
        _mix("order", Rank.HIGH, "POST counter.oleaje/orders", 1, is_keyed=True),
        _mix("deposit", Rank.HIGH, "POST counter.oleaje/deposits", 1, is_keyed=True),
        _mix("stock", Rank.NORMAL, "GET records.oleaje/stock/resin", 2),
        _mix("scan", Rank.BULK, "GET records.oleaje/scans/12", 1),
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
        _mix("gusts", Rank.URGENT, "GET wind.fengzheng/gusts/wanli", 6),
        _mix("booking", Rank.HIGH, "POST wind.fengzheng/bookings", 1, is_keyed=True),
        _mix("station", Rank.NORMAL, "GET wind.fengzheng/stations/4", 3),
        _mix("season", Rank.BULK, "GET wind.fengzheng/seasons/2025", 1),
    ),
)

DEPLOYMENTS = (_OLEAJE, _FENGZHENG)
