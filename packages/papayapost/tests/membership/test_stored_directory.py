from papayapost.membership import DataCentreImage
from papayapost.storage import ObjectKey, ObjectKind
from papayapost_testing.mesh_loop import MeshLoop

SEEDS = {"n": ["a0", "b0"], "s": ["c0"]}
PLACES = {"a": "n", "b": "n", "c": "s"}


def regions():
    loop = MeshLoop(5)
    for data_centre, region in PLACES.items():
        loop.seeds = [f"{seed}:1" for seed in SEEDS[region]]
        for number in range(4):
            loop.start(f"{data_centre}{number}", data_centre, region)
    return loop


def address_of(name):
    return f"{name}:1"


def sizes(loop):
    return {len(node.part.directory) for node in loop.nodes.values()}


def stored(loop, name):
    return loop.store.objects[ObjectKey(ObjectKind.DIRECTORY, name)][1]


def test_regions_learn_of_each_other_through_the_store():
    loop = regions()
    loop.run(30)
    assert sizes(loop) == {12}
    assert {item.data_centre for item in stored(loop, "data-centres").data_centres} == {
        "a",
        "b",
        "c",
    }
    assert loop.store.writes <= 12


def test_a_region_cut_from_the_store_serves_its_own_and_catches_up():
    loop = regions()
    loop.store.unreachable = {address_of(n) for n in loop.nodes if n[0] == "c"}
    loop.run(40)
    south = {len(loop.nodes[n].part.directory) for n in loop.nodes if n[0] == "c"}
    assert south == {4}
    loop.store.unreachable.clear()
    loop.run(60)
    assert sizes(loop) == {12}


def test_a_lost_reply_to_a_write_is_resolved_by_reading_back():
    loop = regions()
    loop.store.loses_replies = True
    loop.run(120)
    writes = loop.store.writes
    loop.run(120)
    assert loop.store.writes == writes
    assert sizes(loop) == {12}


def test_a_death_is_told_to_the_other_region():
    loop = regions()
    loop.run(40)
    is_leaf = [n for n in loop.nodes if not loop.nodes[n].part.tree.is_top_relay]
    victim = next(n for n in is_leaf if n[0] == "a")
    loop.kill(victim)
    loop.run(30)
    assert all(victim not in node.part.directory for node in loop.nodes.values())
    image = stored(loop, "a")
    assert isinstance(image, DataCentreImage)
    assert [row.node_id for row in image.rows if row.is_gone] == [victim]


def test_a_root_that_knows_nobody_leaves_the_stored_contacts_for_a_while():
    loop = regions()
    loop.run(40)
    for name in list(loop.nodes):
        loop.kill(name)
    loop.seeds = []
    newcomer = loop.start("a9", "a")
    loop.run(90)
    assert newcomer.part.tree.is_top_relay
    assert len(stored(loop, "a").rows) == 4
    loop.run(120)
    assert [row.node_id for row in stored(loop, "a").rows] == ["a9"]
