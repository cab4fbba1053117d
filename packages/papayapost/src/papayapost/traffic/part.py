"""Builds the traffic part of a node's world."""

from dataclasses import dataclass

from papayapost.distribution import DistributionPart
from papayapost.kernel import System
from papayapost.membership import MembershipPart
from papayapost.place import SelfRow
from papayapost.traffic.balancing import NearestLeastOutstanding
from papayapost.traffic.entry import EndCalls, Offers, RouteCalls, SettleRefusals
from papayapost.traffic.owner import AdmitAttempts
from papayapost.traffic.tables import OwnerTables, TrafficTables

__all__ = ["TrafficPart", "build_traffic"]


@dataclass(slots=True)
class TrafficPart:
    """Tables and systems of calls and attempts."""

    calls: TrafficTables
    owner: OwnerTables
    systems: list[System]


def build_traffic(
    me: SelfRow,
    membership: MembershipPart,
    distribution: DistributionPart,
    slots: int,
) -> TrafficPart:
    """Return the traffic part of a node without any calls.

    Parameters
    ----------
    slots
        Calls that the own backend server runs at once; 0 without one.
    """
    calls = TrafficTables()
    owner = OwnerTables(slots)
    policy = NearestLeastOutstanding(me, calls)
    offers = Offers(me, membership.directory, calls, policy)
    systems: list[System] = [
        RouteCalls(distribution.rules, calls, offers),
        AdmitAttempts(me, owner),
        SettleRefusals(calls, offers),
        EndCalls(me, calls),
    ]
    return TrafficPart(calls, owner, systems)
