"""The choice of the peers with which a node exchanges heartbeats."""

from random import Random

import pytest

from papayapost.membership.ranking import rank_key
from papayapost.roster.neighbours import Neighbourhood
from papayapost_testing.traffic_worlds import FOUR_PLACES

MAX_PARTNERS = 12
"""Partners of a node that is no leader: four in the ring of its region, up to
four leaders, and its neighbours in the other region."""


def places_of(size, seed):
    random = Random(seed)
    return {f"vm-{seed}-{n}": random.choice(FOUR_PLACES) for n in range(size)}


def neighbourhood_of(node_id, places):
    others = [(rank_key(n), place) for n, place in places.items() if n != node_id]
    return Neighbourhood(rank_key(node_id), places[node_id], others)


@pytest.mark.parametrize("size", [1, 2, 5, 16, 66])
@pytest.mark.parametrize("seed", range(5))
def test_partners_are_mutual(size, seed):
    places = places_of(size, seed)
    partners = {n: neighbourhood_of(n, places).partners() for n in places}
    for node_id, chosen in partners.items():
        assert node_id not in chosen
        assert all(node_id in partners[other] for other in chosen)


@pytest.mark.parametrize("size", [66, 300])
def test_only_leaders_have_more_partners_in_a_larger_mesh(size):
    places = places_of(size, 1)
    counts = []
    for node_id in places:
        neighbourhood = neighbourhood_of(node_id, places)
        if rank_key(node_id) not in neighbourhood.leaders():
            counts.append(len(neighbourhood.partners()))
    assert len(counts) >= size - 8
    assert sum(counts) / len(counts) < MAX_PARTNERS


def test_a_leader_is_partner_of_its_whole_region():
    places = places_of(66, 2)
    for node_id, place in places.items():
        neighbourhood = neighbourhood_of(node_id, places)
        if rank_key(node_id) in neighbourhood.leaders():
            region = {n for n, p in places.items() if p.region == place.region}
            assert region - {node_id} <= neighbourhood.partners()


def test_each_data_centre_has_a_leader():
    places = places_of(66, 3)
    led = set()
    for node_id, place in places.items():
        if rank_key(node_id) in neighbourhood_of(node_id, places).leaders():
            led.add(place)
    assert led == set(FOUR_PLACES)


@pytest.mark.parametrize("seed", range(5))
def test_each_node_has_partners_in_each_other_region(seed):
    places = places_of(66, seed)
    for node_id, place in places.items():
        partners = neighbourhood_of(node_id, places).partners()
        far = [n for n in partners if places[n].region != place.region]
        assert len(far) >= 2


@pytest.mark.parametrize("seed", range(5))
def test_a_dead_node_has_four_probers_in_its_region_and_two_in_each_other(seed):
    places = places_of(66, seed)
    dead_place = places.pop(f"vm-{seed}-7")
    rank = rank_key(f"vm-{seed}-7")
    near = far = 0
    for node_id, place in places.items():
        is_same_region = place.region == dead_place.region
        if neighbourhood_of(node_id, places).is_next_to(rank, is_same_region):
            near, far = near + is_same_region, far + (not is_same_region)
    assert (near, far) == (4, 2)
