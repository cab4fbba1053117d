from papayapost.membership import DirectoryObject
from papayapost.storage import ObjectKey, ObjectKind
from papayapost_testing.simulated_mesh import SimulatedMesh

SEEDS_OF_REGION = {"n": ["a0", "b0"], "s": ["c0"]}
REGION_OF_DATA_CENTRE = {"a": "n", "b": "n", "c": "s"}


def mesh_of_two_regions():
    mesh = SimulatedMesh(5)
    for data_centre, region in REGION_OF_DATA_CENTRE.items():
        mesh.seeds = [f"{seed}:1" for seed in SEEDS_OF_REGION[region]]
        for number in range(4):
            mesh.start(f"{data_centre}{number}", data_centre, region)
    return mesh


def address_of(name):
    return f"{name}:1"


def directory_sizes(mesh):
    return {len(node.part.directory) for node in mesh.nodes.values()}


def stored_value(mesh, name):
    return mesh.store.objects[ObjectKey(ObjectKind.DIRECTORY, name)][1]


def test_regions_exchange_their_directories_through_the_store():
    mesh = mesh_of_two_regions()
    mesh.run(30)
    assert directory_sizes(mesh) == {12}
    assert {
        item.data_centre for item in stored_value(mesh, "data-centres").data_centres
    } == {
        "a",
        "b",
        "c",
    }
    assert mesh.store.writes <= 12


def test_a_region_without_the_store_knows_its_own_nodes_and_catches_up_later():
    mesh = mesh_of_two_regions()
    mesh.store.unreachable = {address_of(n) for n in mesh.nodes if n[0] == "c"}
    mesh.run(40)
    sizes_in_south = {
        len(mesh.nodes[n].part.directory) for n in mesh.nodes if n[0] == "c"
    }
    assert sizes_in_south == {4}
    mesh.store.unreachable.clear()
    mesh.run(60)
    assert directory_sizes(mesh) == {12}


def test_a_lost_reply_to_a_write_is_resolved_by_reading_back():
    mesh = mesh_of_two_regions()
    mesh.store.loses_replies = True
    mesh.run(120)
    writes = mesh.store.writes
    mesh.run(120)
    assert mesh.store.writes == writes
    assert directory_sizes(mesh) == {12}


def test_the_other_region_learns_of_a_failed_node():
    mesh = mesh_of_two_regions()
    mesh.run(40)
    not_top_relays = [n for n in mesh.nodes if not mesh.nodes[n].part.tree.is_top_relay]
    victim = next(n for n in not_top_relays if n[0] == "a")
    mesh.kill(victim)
    mesh.run(30)
    assert all(victim not in node.part.directory for node in mesh.nodes.values())
    image = stored_value(mesh, "a")
    assert isinstance(image, DirectoryObject)
    assert [row.node_id for row in image.rows if row.is_gone] == [victim]


def test_a_root_that_knows_no_member_delays_overwriting_the_stored_directory():
    mesh = mesh_of_two_regions()
    mesh.run(40)
    for name in list(mesh.nodes):
        mesh.kill(name)
    mesh.seeds = []
    newcomer = mesh.start("a9", "a")
    mesh.run(90)
    assert newcomer.part.tree.is_top_relay
    assert len(stored_value(mesh, "a").rows) == 4
    mesh.run(120)
    assert [row.node_id for row in stored_value(mesh, "a").rows] == ["a9"]
