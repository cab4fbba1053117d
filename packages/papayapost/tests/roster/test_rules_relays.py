"""Few nodes watch the store, and the rules still reach all nodes in time."""

from collections import Counter
from random import Random

import pytest

from papayapost.distribution import RulesDelta, RulesShared, RulesWanted, StoreContact
from papayapost.distribution.watch_ranks import rank_region
from papayapost.ids import DataCentreId, RegionId
from papayapost.membership import LeaveMesh, directory_table
from papayapost.place import Place
from papayapost_testing.roster_store import StorePath
from papayapost_testing.slow_link_mesh import LinkState, SlowLinkMesh
from papayapost_testing.traffic_worlds import backend_row

SECOND_US = 1_000_000
CONFIG_US = 2_500_000
STORM_INTERVAL_US = 190_000
STORM_CHANGES = 26
ROUTES = 300
PLACES = [
    Place(DataCentreId(f"{region}-{zone}"), RegionId(region))
    for zone in (1, 2, 3)
    for region in ("north", "south")
]
RULES_TYPES = (RulesDelta, RulesShared, RulesWanted, StoreContact)


def rules_text(version, routes=ROUTES):
    """Return a text whose first line and two routes change by version."""
    lines = [f"# config/main r{version}"]
    for number in range(routes):
        is_changed = number % STORM_CHANGES == version % STORM_CHANGES
        is_changed = is_changed and number < 2 * STORM_CHANGES
        timeout_ms = 2_000 + version if is_changed else 2_000
        host = f"{number % 40}.example"
        lines.append(
            f"route * {host}/p{number}/* -> gusts timeout_ms={timeout_ms} # Mei: {host}"
        )
    return "\n".join(lines) + "\n"


def started_mesh(count):
    """Return a mesh of nodes that have run for eight seconds."""
    mesh = SlowLinkMesh()
    mesh.write_rules(rules_text(0))
    nodes = [mesh.start(f"n{i}", PLACES[i % len(PLACES)]) for i in range(count)]
    mesh.run(8 * SECOND_US)
    return mesh, nodes


def watchers(mesh):
    """Return the nodes that watched the store in the last two seconds."""
    return mesh.store.callers(mesh.now_us - 2 * SECOND_US)


def write_and_wait(mesh, version, nodes):
    """Write rules; return the longest time in µs until they are in force."""
    written_us = mesh.now_us
    stored_version = mesh.write_rules(rules_text(version))
    mesh.run(CONFIG_US)
    applied_us = [node.applied_us(stored_version) for node in nodes]
    assert None not in applied_us
    return max(at - written_us for at in applied_us)


def run_storm(mesh, between=None):
    """Write 26 versions in 5 s; return the last and when it was written."""
    for number in range(STORM_CHANGES):
        if between is not None:
            between(number)
        written_us = mesh.now_us
        version = mesh.write_rules(rules_text(number + 1))
        mesh.run(STORM_INTERVAL_US)
    return version, written_us


def assert_applied_in_order(nodes):
    for node in nodes:
        versions = [version for _, version in node.applied]
        assert versions == sorted(versions)


def test_calls_of_a_storm_do_not_grow_with_the_number_of_nodes():
    calls = {}
    for count in (33, 66):
        mesh, nodes = started_mesh(count)
        started_us = mesh.now_us
        version, written_us = run_storm(mesh)
        mesh.run(CONFIG_US)
        calls[count] = mesh.store.count(started_us)
        applied_us = [node.applied_us(version) for node in nodes]
        assert max(applied_us) - written_us < SECOND_US // 2
        assert_applied_in_order(nodes)
    assert calls[66] <= 200
    assert calls[66] <= calls[33] + 20


@pytest.mark.parametrize("count", [16, 33, 66])
def test_no_node_sends_more_than_a_few_deltas_to_each_node_of_its_region(count):
    mesh, _ = started_mesh(count)
    mesh.messages.clear()
    mesh.sent_bytes.clear()
    run_storm(mesh)
    mesh.run(CONFIG_US)
    sent = Counter()
    for (address, kind), size_bytes in mesh.sent_bytes.items():
        if kind in RULES_TYPES:
            sent[address] += size_bytes
    shared = sum(n for (_, kind), n in mesh.messages.items() if kind is RulesShared)
    deltas = [
        mesh.sent_bytes[key] / mesh.messages[key]
        for key in mesh.messages
        if key[1] is RulesDelta
    ]
    delta_bytes = sum(deltas) / len(deltas)
    assert delta_bytes < 1_000
    assert shared == 0
    assert max(sent.values()) <= 2 * delta_bytes * STORM_CHANGES * count / 2


def test_a_slow_link_does_not_carry_the_rules_for_a_region():
    directory = directory_table()
    for number in range(30):
        row = backend_row(f"n{number}", "gusts", PLACES[number % len(PLACES)])
        row.link_mbps = 70.0 if number % 5 == 0 else 3.5
        directory.put(row.node_id, row)
    first, second, *others = rank_region(directory, RegionId("north"))
    assert first.link_mbps == second.link_mbps == 70.0
    assert first.data_centre != second.data_centre
    assert others[-1].link_mbps == 3.5


def test_a_calm_mesh_has_two_watchers_a_region():
    mesh, _ = started_mesh(66)
    assert len(watchers(mesh)) == 4
    started_us = mesh.now_us
    mesh.run(10 * SECOND_US)
    assert mesh.store.count(started_us) <= 60


def test_a_small_mesh_makes_no_more_calls_than_with_a_watch_of_each_node():
    mesh, nodes = started_mesh(12)
    started_us = mesh.now_us
    mesh.run(12 * SECOND_US)
    assert mesh.store.count(started_us) <= len(nodes) * 8


@pytest.mark.parametrize("delay_ms", range(0, 750, 150))
def test_rules_arrive_in_time_when_all_relays_lose_the_store_silently(delay_ms):
    mesh, nodes = started_mesh(66)
    mesh.run(delay_ms * 1000)
    relays = watchers(mesh)
    for address in relays:
        mesh.store.paths[address] = StorePath.SILENT
    others = [node for node in nodes if node.address not in relays]
    assert write_and_wait(mesh, 1, others) < CONFIG_US - 500_000
    assert len(watchers(mesh)) <= 12


def test_rules_arrive_in_time_when_the_deputies_lose_the_store_too():
    mesh, nodes = started_mesh(66)
    silent = watchers(mesh)
    for address in silent:
        mesh.store.paths[address] = StorePath.SILENT
    mesh.run(2 * SECOND_US)
    deputies = watchers(mesh) - silent
    mesh.store.paths.clear()
    mesh.run(8 * SECOND_US)
    for address in silent | deputies:
        mesh.store.paths[address] = StorePath.SILENT
    others = [n for n in nodes if n.address not in silent | deputies]
    assert write_and_wait(mesh, 1, others) < CONFIG_US - 300_000
    mesh.store.paths.clear()
    mesh.run(8 * SECOND_US)
    assert watchers(mesh) == silent


@pytest.mark.parametrize("seed", range(4))
def test_rules_arrive_in_time_when_a_third_of_the_paths_go_silent(seed):
    mesh, nodes = started_mesh(33)
    silent = Random(seed).sample(nodes, 11)
    for node in silent:
        mesh.store.paths[node.address] = StorePath.SILENT
    others = [node for node in nodes if node not in silent]
    assert write_and_wait(mesh, 1, others) < CONFIG_US - 300_000


@pytest.mark.parametrize("index", [0, 7])
def test_a_node_cut_off_from_all_peers_takes_rules_from_the_store(index):
    mesh, nodes = started_mesh(16)
    nodes[index].link = LinkState.CUT
    assert write_and_wait(mesh, 1, nodes) < CONFIG_US - 500_000
    mesh.run(4 * SECOND_US)
    assert write_and_wait(mesh, 2, nodes) < SECOND_US // 2


@pytest.mark.parametrize("path", [StorePath.REFUSED, StorePath.SILENT])
def test_a_node_without_the_store_takes_rules_from_its_peers(path):
    mesh, nodes = started_mesh(16)
    for node in nodes:
        mesh.store.paths[node.address] = path
        assert write_and_wait(mesh, int(node.me.node_id[1:]) + 1, nodes) < SECOND_US
        del mesh.store.paths[node.address]


def test_relays_that_restart_in_turn_delay_no_version_of_a_storm():
    mesh, nodes = started_mesh(33)
    everyone = list(nodes)

    def restart_a_relay(number):
        if number % 5 != 2:
            return
        address = sorted(watchers(mesh))[number % 4]
        node = mesh.nodes[address]
        if number % 2:
            mesh.post(node, LeaveMesh())
        mesh.stop(node)
        nodes.remove(node)
        mesh.run(300_000)
        restarted = mesh.start(node.me.node_id, node.me.place)
        nodes.append(restarted)
        everyone.append(restarted)

    version, written_us = run_storm(mesh, restart_a_relay)
    mesh.run(CONFIG_US)
    assert max(node.applied_us(version) for node in nodes) - written_us < SECOND_US
    assert_applied_in_order(everyone)


def test_a_relay_that_dies_unheard_delays_rules_by_less_than_a_second():
    mesh, nodes = started_mesh(33)
    relay = mesh.nodes[min(watchers(mesh))]
    mesh.stop(relay)
    others = [node for node in nodes if node is not relay]
    assert write_and_wait(mesh, 1, others) < SECOND_US


def test_entries_lost_in_an_outage_are_back_within_2_s_of_its_end():
    mesh, nodes = started_mesh(33)
    entries = mesh.objects_besides_rules()
    assert len(entries) == 33
    for node in nodes:
        mesh.store.paths[node.address] = StorePath.REFUSED
    for key in entries:
        del mesh.store.objects[key]
    mesh.run(9 * SECOND_US)
    mesh.store.paths.clear()
    mesh.run(2 * SECOND_US)
    assert mesh.objects_besides_rules() == entries
    mesh.run(6 * SECOND_US)
    assert len(watchers(mesh)) == 4


@pytest.mark.parametrize(
    ("path", "most_calls"), [(StorePath.REFUSED, 702), (StorePath.SILENT, 338)]
)
def test_an_outage_causes_no_more_calls_than_if_all_nodes_watched(path, most_calls):
    mesh, nodes = started_mesh(33)
    for node in nodes:
        mesh.store.paths[node.address] = path
    mesh.run(3 * SECOND_US)
    started_us = mesh.now_us
    mesh.run(9 * SECOND_US)
    assert mesh.store.count(started_us) <= most_calls


def test_an_outage_of_a_second_is_noticed_and_lost_entries_are_written_again():
    mesh, nodes = started_mesh(33)
    entries = mesh.objects_besides_rules()
    for node in nodes:
        mesh.store.paths[node.address] = StorePath.REFUSED
    for key in entries:
        del mesh.store.objects[key]
    mesh.run(2 * SECOND_US)
    mesh.store.paths.clear()
    mesh.run(2 * SECOND_US)
    assert mesh.objects_besides_rules() == entries


def test_an_entry_lost_without_an_outage_is_written_again_after_the_next_read():
    mesh, _ = started_mesh(16)
    entries = mesh.objects_besides_rules()
    del mesh.store.objects[max(entries, key=lambda key: key.name)]
    mesh.run(16 * SECOND_US)
    assert mesh.objects_besides_rules() == entries


def test_an_older_version_than_the_one_in_force_is_never_applied():
    mesh, nodes = started_mesh(16)
    write_and_wait(mesh, 1, nodes)
    versions = {node.version for node in nodes}
    held = nodes[0].built.rules.held
    older = RulesShared(nodes[1].me.node_id, held.version - 1, rules_text(0))
    delta = RulesDelta(nodes[1].me.node_id, 0, "", held.version - 1, "", ())
    for node in nodes:
        mesh.post(node, older)
        mesh.post(node, delta)
    mesh.run(SECOND_US)
    assert {node.version for node in nodes} == versions
    assert_applied_in_order(nodes)


def test_a_node_that_was_away_for_a_storm_catches_up_within_half_a_second():
    mesh, nodes = started_mesh(16)
    away = nodes[5]
    away.link = LinkState.CUT
    mesh.store.paths[away.address] = StorePath.SILENT
    version, _ = run_storm(mesh)
    assert away.version < version
    mesh.store.paths[away.address] = StorePath.REFUSED
    away.link = LinkState.UP
    joined_us = mesh.now_us
    mesh.run(4 * SECOND_US)
    assert away.applied_us(version) - joined_us < 2 * SECOND_US
    mesh.store.paths.clear()
    restarted_us = mesh.now_us
    mesh.stop(away)
    restarted = mesh.start(away.me.node_id, away.me.place)
    mesh.run(SECOND_US)
    assert restarted.applied_us(version) - restarted_us < SECOND_US // 2
