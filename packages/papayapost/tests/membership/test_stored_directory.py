from papayapost.membership import DataCentreImage
from papayapost.storage import ObjectKey, ObjectKind
from papayapost_testing.simulated_mesh import SimulatedMesh

SEEDS_OF_REGION = {"n": ["a0", "b0"], "s": ["c0"]}
REGION_OF_DATA_CENTRE = {"a": "n", "b": "n", "c": "s"}


def mesh_of_two_regions():
    loop = SimulatedMesh(5)
    for data_centre, region in REGION_OF_DATA_CENTRE.items():
        loop.seeds = [f"{seed}:1" for seed in SEEDS_OF_REGION[region]]
        for number in range(4):
            loop.start(f"{data_centre}{number}", data_centre, region)
    return loop


def address_of(name):
    return f"{name}:1"


def directory_sizes(loop):
    return {len(node.part.directory) for node in loop.nodes.values()}


def stored_value(loop, name):
    return loop.store.objects[ObjectKey(ObjectKind.DIRECTORY, name)][1]


def test_regions_exchange_their_directories_through_the_store():
    loop = mesh_of_two_regions()
    loop.run(30)
    assert directory_sizes(loop) == {12}
    assert {
        item.data_centre for item in stored_value(loop, "data-centres").data_centres
    } == {
        "a",
        "b",
        "c",
    }
    assert loop.store.writes <= 12


def test_a_region_without_the_store_knows_its_own_nodes_and_catches_up_later():
    loop = mesh_of_two_regions()
    loop.store.unreachable = {address_of(n) for n in loop.nodes if n[0] == "c"}
    loop.run(40)
    sizes_in_south = {
        len(loop.nodes[n].part.directory) for n in loop.nodes if n[0] == "c"
    }
    assert sizes_in_south == {4}
    loop.store.unreachable.clear()
    loop.run(60)
    assert directory_sizes(loop) == {12}


def test_a_lost_reply_to_a_write_is_resolved_by_reading_back():
    loop = mesh_of_two_regions()
    loop.store.loses_replies = True
    loop.run(120)
    writes = loop.store.writes
    loop.run(120)
    assert loop.store.writes == writes
    assert directory_sizes(loop) == {12}


def test_the_other_region_learns_of_a_failed_node():
    loop = mesh_of_two_regions()
    loop.run(40)
    not_top_relays = [n for n in loop.nodes if not loop.nodes[n].part.tree.is_top_relay]
    victim = next(n for n in not_top_relays if n[0] == "a")
    loop.kill(victim)
    loop.run(30)
    assert all(victim not in node.part.directory for node in loop.nodes.values())
    image = stored_value(loop, "a")
    assert isinstance(image, DataCentreImage)
    assert [row.node_id for row in image.rows if row.is_gone] == [victim]


def test_a_root_that_knows_no_member_delays_overwriting_the_stored_directory():
    loop = mesh_of_two_regions()
    loop.run(40)
    for name in list(loop.nodes):
        loop.kill(name)
    loop.seeds = []
    newcomer = loop.start("a9", "a")
    loop.run(90)
    assert newcomer.part.tree.is_top_relay
    assert len(stored_value(loop, "a").rows) == 4
    loop.run(120)
    assert [row.node_id for row in stored_value(loop, "a").rows] == ["a9"]
