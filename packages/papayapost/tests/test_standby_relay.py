from papayapost.ids import Micros, NodeId, RegionId
from papayapost.membership import ChildJoined, ChildVersionChanged, RoleChanged
from papayapost.membership.ranking import Ranking, rank_key
from papayapost.storage import (
    ObjectKind,
    ObjectRead,
    ObjectUpdated,
    UpdateObject,
    WatchObject,
)
from papayapost_testing.distribution_worlds import (
    child_row,
    distribution_world,
    parent_row,
)
from papayapost_testing.traffic_worlds import NORTH_1, NORTH_2

RULES = "route GET /gusts -> gusts # Mei: wind desk\n"


def of_type(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def messages(effects):
    return [effect.message for effect in effects if hasattr(effect, "message")]


def test_the_standby_relay_is_in_another_data_centre_if_there_is_one():
    ranking = Ranking()
    places = {NodeId(f"n{n}"): (NORTH_1, NORTH_2)[n % 2] for n in range(12)}
    for node_id, place in places.items():
        ranking.add(node_id, place)
    standby = ranking.standby_relay(RegionId("north"))
    link = min(places, key=rank_key)
    assert standby is not None
    assert places[standby] != places[link]
    ranking = Ranking()
    for number in range(3):
        ranking.add(NodeId(f"n{number}"), NORTH_1)
    second = sorted((NodeId(f"n{n}") for n in range(3)), key=rank_key)[1]
    assert ranking.standby_relay(RegionId("north")) == second


def test_a_version_that_only_the_standby_relay_receives_reaches_the_link_relay():
    link, standby = distribution_world("link"), distribution_world("stand-by")
    link.tree.is_link_relay = True
    link.world.tick(Micros(0), [RoleChanged()])
    standby.tree.is_standby_relay = True
    standby.tree.parent = parent_row("link")
    child = child_row("stand-by")
    link.tree.children.put(child.node_id, child)
    link.world.tick(Micros(0), [ChildJoined(child)])

    (watch,) = of_type(standby.world.tick(Micros(0), [RoleChanged()]), WatchObject)
    effects = standby.world.tick(Micros(1), [ObjectRead(watch.key, 7, RULES)])
    now_us = 1
    while not of_type(effects, UpdateObject):
        now_us += 100_000
        reads = [e for e in effects if hasattr(e, "request_id")]
        answers = [ObjectRead(r.key, 0, None, r.request_id) for r in reads]
        effects = standby.world.tick(Micros(now_us), answers)
    (update,) = of_type(effects, UpdateObject)
    assert update.key.kind is ObjectKind.ACCEPTED
    recorded = ObjectUpdated(update.key, update.request_id, 8)
    standby.world.tick(Micros(now_us + 1), [recorded])
    assert standby.part.rules.held_version == 7

    child.version = standby.tree.own_version
    requests = messages(link.world.tick(Micros(now_us), [ChildVersionChanged(child)]))
    for _ in range(4):
        answers = messages(standby.world.tick(Micros(now_us + 2), requests))
        requests = messages(link.world.tick(Micros(now_us + 2), answers))
    assert link.part.rules.held_version == 7
