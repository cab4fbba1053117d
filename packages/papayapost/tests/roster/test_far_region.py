"""A region behind a link that documents of the rules could fill.

Users saw nodes of a far region handle requests by rules that were ten seconds
old: all of them read each version, of 450 KB, over the link between regions.
"""

from random import Random

import pytest

from papayapost.distribution import RulesShared
from papayapost.distribution.watch_ranks import rank_region
from papayapost.ids import DataCentreId, RegionId
from papayapost.observe import Event
from papayapost.place import Place
from papayapost_testing.roster_store import StorePath
from papayapost_testing.slow_link_mesh import LinkState, SlowLinkMesh

SECOND_US = 1_000_000
CONFIG_US = 4_000_000
IN_TOUCH_US = 4_000_000
"""Time for which a node has to run undisturbed until bounds hold for it."""

MAX_TEXTS_OF_A_CHANGE = 6
"""Each of two relays and two deputies reads once, and a relay once again."""

STORM_INTERVAL_US = 1_900_000
ROUTES = 800
LETTERS = 440
REASONS = [Random(number).randbytes(220).hex() for number in range(ROUTES)]
"""They make a document of 450 KB, a quarter of that when compressed."""

FAR = RegionId("south")
NODE_RATE_BYTES_PER_S = 14_000_000 // 8
NEAR_NODES = 12
PLACES = {
    region: [
        Place(DataCentreId(f"{region}-{zone}"), RegionId(region)) for zone in (1, 2)
    ]
    for region in ("north", "south")
}


def rules_text(version):
    lines = [f"# config/main r{version}"]
    for number in range(ROUTES):
        timeout_ms = 2_000 + version if number % 100 == version % 100 else 2_000
        lines.append(
            f"route * {number % 40}.example/p{number}/* -> gusts "
            f"timeout_ms={timeout_ms} retries=1 # Mei: {REASONS[number][:LETTERS]}"
        )
    return "\n".join(lines) + "\n"


def link_rate(far_nodes):
    """Return what downloads leave of a link that grows with the region."""
    return far_nodes * 75_000_000 // 8 // 97 // 2


def start(mesh, place, number):
    return mesh.start(f"{place.region}-{number}", place)


def started_mesh(far_nodes, settle_us=12 * SECOND_US):
    mesh = SlowLinkMesh(NODE_RATE_BYTES_PER_S)
    link = mesh.part_from_store(FAR, link_rate(far_nodes))
    mesh.write_rules(rules_text(0))
    for region, count in (("north", NEAR_NODES), ("south", far_nodes)):
        for number in range(count):
            start(mesh, PLACES[region][number % 2], number)
    mesh.run(settle_us)
    return mesh, link


def delays_of_storm(mesh, versions=5):
    """Write some versions; return the longest time until each is in force."""
    written = []
    for number in range(versions):
        version = mesh.write_rules(rules_text(number + 1))
        written.append((version, mesh.now_us))
        mesh.run(STORM_INTERVAL_US)
    mesh.run(CONFIG_US)
    return [
        max(node.applied_us(version) - at for node in mesh.nodes.values())
        for version, at in written
    ]


def lose_power(mesh, nodes):
    """Stop nodes for a second; return them, to be started again."""
    for node in nodes:
        mesh.stop(node)
    mesh.run(SECOND_US)
    return nodes


def lost_peers(mesh):
    return sum(
        event is Event.PEER_LOST for n in mesh.nodes.values() for event in n.events
    )


def rules_bytes(link):
    carried = link.carried_bytes
    return sum(carried[kind] for kind in ("rules", "RulesShared", "RulesDelta"))


def texts_over(link, before_bytes):
    """Return how many whole documents the link has carried since."""
    return (rules_bytes(link) - before_bytes) / len(rules_text(0))


@pytest.mark.parametrize("far_nodes", [16, 48, 97])
def test_a_storm_is_in_force_in_time_and_its_bytes_do_not_grow_with_nodes(far_nodes):
    mesh, link = started_mesh(far_nodes)
    before = rules_bytes(link)
    delays_us = delays_of_storm(mesh)
    assert max(delays_us) <= CONFIG_US // 2
    assert texts_over(link, before) < 2
    assert lost_peers(mesh) == 0


@pytest.mark.parametrize("far_nodes", [16, 97])
def test_all_nodes_have_rules_soon_after_the_start_of_all(far_nodes):
    mesh, link = started_mesh(far_nodes, settle_us=IN_TOUCH_US + CONFIG_US // 2)
    assert all(node.version for node in mesh.nodes.values())
    assert texts_over(link, 0) <= MAX_TEXTS_OF_A_CHANGE


@pytest.mark.parametrize("far_nodes", [16, 97])
def test_all_nodes_have_rules_soon_after_a_power_loss(far_nodes):
    mesh, link = started_mesh(far_nodes)
    nodes = lose_power(mesh, list(mesh.nodes.values()))
    before = rules_bytes(link)
    for number, node in enumerate(nodes):
        mesh.start(node.me.node_id, node.me.place)
        mesh.run(number % 3 * 1_000)
    mesh.run(IN_TOUCH_US + CONFIG_US // 2)
    assert all(node.version for node in mesh.nodes.values())
    assert texts_over(link, before) <= MAX_TEXTS_OF_A_CHANGE


@pytest.mark.parametrize("far_nodes", [16, 97])
def test_a_version_written_while_the_store_is_silent_arrives_after_its_return(
    far_nodes,
):
    mesh, link = started_mesh(far_nodes)
    for address in mesh.nodes:
        mesh.store.paths[address] = StorePath.SILENT
    mesh.run(3 * SECOND_US)
    version = mesh.write_rules(rules_text(1))
    mesh.run(3 * SECOND_US)
    before = rules_bytes(link)
    mesh.store.paths.clear()
    returned_us = mesh.now_us
    mesh.run(6 * SECOND_US)
    applied_us = [node.applied_us(version) for node in mesh.nodes.values()]
    assert None not in applied_us
    assert max(applied_us) - returned_us <= CONFIG_US // 2
    assert texts_over(link, before) <= MAX_TEXTS_OF_A_CHANGE


@pytest.mark.parametrize("region", ["north", "south"])
def test_the_loss_of_both_relays_of_a_region_delays_a_version_little(region):
    mesh, link = started_mesh(48)
    for address in heads(mesh, region):
        mesh.stop(mesh.nodes[address])
    before = rules_bytes(link)
    delays_us = delays_of_storm(mesh, versions=3)
    assert max(delays_us) <= CONFIG_US // 2
    # Until they rely on others again, two relays read each version.
    assert texts_over(link, before) <= MAX_TEXTS_OF_A_CHANGE + 2


def heads(mesh, region):
    """Return the addresses of both relays of a region."""
    directory = next(iter(mesh.nodes.values())).built.directory
    return {row.peer_address for row in rank_region(directory, RegionId(region))[:2]}


def test_a_node_cut_off_from_all_peers_reads_the_rules_itself():
    mesh, _ = started_mesh(16)
    cut = mesh.nodes[max(mesh.nodes)]
    cut.link = LinkState.CUT
    delays_us = delays_of_storm(mesh, versions=3)
    assert max(delays_us) <= CONFIG_US // 2


def test_a_node_that_the_store_turns_away_takes_rules_from_its_peers():
    mesh, _ = started_mesh(16)
    mesh.store.paths[max(mesh.nodes)] = StorePath.REFUSED
    assert max(delays_of_storm(mesh, versions=2)) <= CONFIG_US // 2
    shared = sum(n for (_, kind), n in mesh.messages.items() if kind is RulesShared)
    assert shared <= 2 * len(mesh.nodes)


@pytest.mark.parametrize("far_nodes", [48, 97])
def test_half_of_a_far_region_has_rules_within_two_seconds_of_a_power_loss(far_nodes):
    mesh, link = started_mesh(far_nodes)
    nodes = lose_power(mesh, list(mesh.nodes.values()))
    before, started_us = rules_bytes(link), mesh.now_us
    for node in nodes:
        mesh.start(node.me.node_id, node.me.place)
    mesh.run(IN_TOUCH_US)
    applied_us = sorted(
        node.applied_us(1) or mesh.now_us
        for node in mesh.nodes.values()
        if node.me.place.region == FAR
    )
    assert applied_us[len(applied_us) // 2] - started_us < 2 * SECOND_US
    assert applied_us[-1] - started_us < IN_TOUCH_US
    assert texts_over(link, before) <= MAX_TEXTS_OF_A_CHANGE


def test_a_node_that_starts_does_not_depend_on_the_one_that_it_asks_first():
    mesh, _ = started_mesh(16)
    far_nodes = [n for n in mesh.nodes.values() if n.me.place.region == FAR]
    nodes = lose_power(mesh, far_nodes)
    for node in nodes:
        mesh.start(node.me.node_id, node.me.place)
    mesh.run(SECOND_US)
    ranked = rank_region(next(iter(mesh.nodes.values())).built.directory, FAR)
    # It is in the directory of all, but gets and sends nothing from now on.
    mesh.nodes[ranked[2].peer_address].link = LinkState.CUT
    mesh.run(IN_TOUCH_US)
    others = [n for n in mesh.nodes.values() if n.link is LinkState.UP]
    assert all(node.version for node in others)
