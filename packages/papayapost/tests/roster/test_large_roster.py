"""A roster of 33 to 195 nodes: first contact, losses, partitions, calm."""

from collections import Counter

import pytest

from papayapost.ids import Address
from papayapost.membership import LeaveMesh
from papayapost.membership.ranking import rank_key
from papayapost.observe import Event
from papayapost.roster import Beat, Hello, PeersLost, RowsShared
from papayapost.states import BackendServerState
from papayapost_testing.roster_mesh import RosterMesh
from papayapost_testing.traffic_worlds import FOUR_PLACES

RULES = "route GET /* -> gusts idempotent=yes # Mei: wind desk\n"
NEWER_RULES = RULES + "route POST /* -> gusts # Mei: bookings\n"
SIZE = 66
STEP_S = 0.05

RING_PARTNERS, LEADERS, CROSS_REGION_PARTNERS = 4, 3, 4
MAX_BEATS_PER_S = (RING_PARTNERS + 2 * LEADERS) / 0.5 + CROSS_REGION_PARTNERS / 1.5
"""Mean of all nodes; a leader and a node beat each other."""


def started_mesh(seed=1, size=SIZE) -> RosterMesh:
    mesh = RosterMesh(seed)
    mesh.write_rules(RULES)
    start_all(mesh, size)
    mesh.run(6)
    assert_whole(mesh, size)
    mesh.run(mesh.random.random())
    return mesh


def start_all(mesh, size=SIZE):
    for number in range(size):
        mesh.start(name_of(number), FOUR_PLACES[number % 4])
        mesh.run(mesh.random.random() / size)


def name_of(number):
    return f"vm-{number:02}"


def address_of(number):
    return Address(f"{name_of(number)}:1")


def region_of(mesh, region):
    return {a for a, node in mesh.nodes.items() if node.me.place.region == region}


def assert_whole(mesh, size=SIZE):
    assert {len(node.known_ids) for node in mesh.nodes.values()} == {size}


def seconds_until(mesh, condition, limit_s):
    """Run until a condition holds; fail if that takes longer than a limit."""
    started_us = mesh.now_us
    while not condition():
        assert mesh.now_us - started_us < limit_s * 1e6
        mesh.run(STEP_S)
    return (mesh.now_us - started_us) / 1e6


def lost_peers(mesh):
    return Counter(
        peer
        for node in mesh.nodes.values()
        for _, event, peer in node.events
        if event is Event.PEER_LOST
    )


def is_forgotten(mesh, names, addresses):
    return not any(mesh.nodes[a].known_ids & names for a in addresses)


def leader_number(mesh, region="north"):
    addresses = region_of(mesh, region)
    first = min(addresses, key=lambda a: rank_key(mesh.nodes[a].me.node_id))
    return int(first[3:5])


def record_sent(mesh, monkeypatch):
    sent = []
    send = mesh._send

    def recording_send(sender, effect):
        sent.append((mesh.now_us, sender, effect))
        send(sender, effect)

    monkeypatch.setattr(mesh, "_send", recording_send)
    return sent


def messages_of_first_contact(size):
    """Return what each node sends and connects to as all nodes start."""
    mesh = RosterMesh(1)
    mesh.write_rules(RULES)
    start_all(mesh, size)
    mesh.run(1.5)
    assert_whole(mesh, size)
    kinds = ("Hello", "PeersWanted", "RowsShared")
    sent = sum(mesh.traffic.messages[kind] for kind in kinds)
    return sent / size, len(mesh._connections) / size


def test_first_contact_costs_a_node_as_little_in_a_large_mesh():
    sent, connections = messages_of_first_contact(33)
    sent_at_195, connections_at_195 = messages_of_first_contact(195)
    assert sent_at_195 <= 2 * sent
    assert connections_at_195 <= 2 * connections


def test_two_nodes_that_lose_a_peer_do_not_take_it_from_the_others():
    mesh = started_mesh()
    name, address = name_of(9), address_of(9)
    region = region_of(mesh, "north")
    ranked = sorted(region, key=lambda a: rank_key(mesh.nodes[a].me.node_id))
    position = ranked.index(address)
    pair = {ranked[position - 1], ranked[(position + 1) % len(ranked)]}
    mesh.cut_between({address}, pair)
    for _ in range(60):
        mesh.run(0.1)
        assert not any(
            name not in mesh.nodes[a].known_ids for a in set(mesh.nodes) - pair
        )


def test_a_node_that_all_have_lost_is_back_with_a_few_messages(monkeypatch):
    mesh = started_mesh(size=132)
    mesh.cut_between({address_of(9)}, set(mesh.nodes) - {address_of(9)})
    mesh.run(5)
    assert is_forgotten(mesh, {name_of(9)}, set(mesh.nodes) - {address_of(9)})
    sent = record_sent(mesh, monkeypatch)
    mesh.cut.clear()
    mesh.run(3)
    assert_whole(mesh, 132)
    greeting = {
        sender
        for _, sender, effect in sent
        if effect.address == address_of(9) and isinstance(effect.message, Hello)
    }
    assert len(greeting) <= 2 * (RING_PARTNERS + 2 * LEADERS + CROSS_REGION_PARTNERS)


def refutations(mesh):
    return sum(
        event is Event.DEATH_REFUTED
        for node in mesh.nodes.values()
        for _, event, _ in node.events
    )


def test_a_greeting_that_its_sender_has_overtaken_costs_it_nothing(monkeypatch):
    mesh = started_mesh()
    post = mesh._post
    slow = address_of(9)

    def post_later(address, message, delay_us=0):
        is_slow = isinstance(message, Hello) and message.sender == name_of(9)
        is_slow = is_slow and address not in leaders
        post(address, message, delay_us + (300_000 if is_slow else 0))

    region = region_of(mesh, "north")
    ranked = sorted(region, key=lambda a: rank_key(mesh.nodes[a].me.node_id))
    leaders = set(ranked[:2])
    monkeypatch.setattr(mesh, "_post", post_later)
    incarnation = mesh.nodes[slow].own.incarnation
    mesh.change_state(name_of(9), BackendServerState.COLD)
    mesh.run(0.1)
    mesh.change_state(name_of(9), BackendServerState.READY)
    mesh.run(2)
    assert mesh.nodes[slow].own.incarnation == incarnation
    assert not refutations(mesh)


def test_a_node_that_has_left_but_still_runs_does_not_come_back():
    mesh = started_mesh()
    mesh._post(address_of(9), LeaveMesh())
    mesh.run(0.2)
    others = set(mesh.nodes) - {address_of(9)}
    for _ in range(40):
        assert is_forgotten(mesh, {name_of(9)}, others)
        mesh.run(0.1)
    assert not refutations(mesh)


@pytest.mark.parametrize("size", [33, 66, 132])
def test_messages_of_a_node_in_a_calm_mesh_do_not_grow_with_the_mesh(size):
    mesh = started_mesh(size=size)
    mesh.traffic.messages.clear()
    mesh.run(15)
    assert set(mesh.traffic.messages) == {"Beat"}
    assert mesh.traffic.messages["Beat"] / 15 / size <= MAX_BEATS_PER_S


def test_each_node_hears_the_highest_ranked_nodes_of_its_region_each_500_ms(
    monkeypatch,
):
    mesh = started_mesh()
    sent = record_sent(mesh, monkeypatch)
    mesh.run(5.5)
    for region in ("north", "south"):
        addresses = region_of(mesh, region)
        ranked = sorted(addresses, key=lambda a: rank_key(mesh.nodes[a].me.node_id))
        for leader in ranked[:2]:
            heard = Counter(
                effect.address
                for _, sender, effect in sent
                if sender == leader and isinstance(effect.message, Beat)
            )
            assert all(heard[a] >= 10 for a in addresses - {leader})


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("number", [5, 42, None])
def test_a_lost_vm_leaves_all_directories_of_its_region_in_time(seed, number):
    mesh = started_mesh(seed)
    number = leader_number(mesh) if number is None else number
    name, place = name_of(number), FOUR_PLACES[number % 4]
    mesh.vanish(name)
    near = region_of(mesh, place.region)
    seconds_until(mesh, lambda: is_forgotten(mesh, {name}, near), 2.3)
    seconds_until(mesh, lambda: is_forgotten(mesh, {name}, mesh.nodes), 2.7)
    assert set(lost_peers(mesh)) == {name}


def test_a_lost_data_centre_leaves_the_directories_of_its_region_in_time():
    mesh = started_mesh()
    names = {
        node.me.node_id
        for node in mesh.nodes.values()
        if node.me.place == FOUR_PLACES[0]
    }
    for name in names:
        mesh.vanish(name)
    near = region_of(mesh, "north")
    seconds_until(mesh, lambda: is_forgotten(mesh, names, near), 2.5)
    assert set(lost_peers(mesh)) == names


def test_a_killed_process_leaves_all_directories_within_500_ms():
    mesh = started_mesh()
    mesh.kill(name_of(9))
    mesh.run(0.5)
    assert is_forgotten(mesh, {name_of(9)}, mesh.nodes)


def test_a_lost_report_of_a_loss_is_made_up_for(monkeypatch):
    mesh = started_mesh()
    send = mesh._send

    def send_without_reports(sender, effect):
        message = effect.message
        is_report = isinstance(message, PeersLost) or (
            isinstance(message, RowsShared) and message.lost
        )
        if not is_report:
            send(sender, effect)

    monkeypatch.setattr(mesh, "_send", send_without_reports)
    mesh.vanish(name_of(9))
    mesh.run(2.5)
    assert not is_forgotten(mesh, {name_of(9)}, mesh.nodes)
    monkeypatch.undo()
    seconds_until(mesh, lambda: is_forgotten(mesh, {name_of(9)}, mesh.nodes), 5)


@pytest.mark.parametrize("number", [9, None])
def test_a_changed_row_reaches_all_peers_at_once(number):
    mesh = started_mesh()
    number = leader_number(mesh) if number is None else number
    mesh.change_state(name_of(number), BackendServerState.DRAINING)
    mesh.run(0.06)
    for node in mesh.nodes.values():
        row = node.built.directory.require(name_of(number))
        assert row.state is BackendServerState.DRAINING


def test_a_missed_row_is_repaired_within_3_s():
    mesh = started_mesh()
    mesh.drop_rate = 1.0
    mesh.change_state(name_of(9), BackendServerState.DRAINING)
    mesh.run(0.001)
    mesh.drop_rate = 0.0

    def is_known_everywhere():
        rows = [n.built.directory.get(name_of(9)) for n in mesh.nodes.values()]
        return all(row.state is BackendServerState.DRAINING for row in rows)

    seconds_until(mesh, is_known_everywhere, 3)


def test_a_version_that_one_node_holds_reaches_all_without_the_store():
    mesh = started_mesh()
    holder = address_of(9)
    mesh.fail_store()
    mesh.rejected_by_store.discard(holder)
    mesh.write_rules(NEWER_RULES)
    near = region_of(mesh, "north")
    assert holder in near

    def is_held(addresses):
        rules = [mesh.nodes[a].rules for a in addresses]
        return all(r.in_force.rules.text == NEWER_RULES for r in rules)

    seconds_until(mesh, lambda: is_held({holder}), 1.2)
    seconds_until(mesh, lambda: is_held(near), 1.1)
    seconds_until(mesh, lambda: is_held(mesh.nodes), 1.5)


@pytest.mark.parametrize("number,span_s", [(9, 3), (9, 30), (None, 10)])
def test_a_partitioned_node_is_back_everywhere_within_3_s(number, span_s):
    mesh = started_mesh()
    number = leader_number(mesh) if number is None else number
    name, address = name_of(number), address_of(number)
    rest = set(mesh.nodes) - {address}
    mesh.cut_between({address}, rest)
    mesh.run(span_s)
    assert is_forgotten(mesh, {name}, rest)
    others = {mesh.nodes[a].me.node_id for a in rest}
    assert all(others <= mesh.nodes[a].known_ids for a in rest)
    mesh.cut.clear()
    mesh.run(3)
    assert_whole(mesh)


@pytest.mark.parametrize("span_s", [6, 60])
def test_partitioned_regions_lose_and_find_each_other(span_s):
    mesh = started_mesh()
    north, south = region_of(mesh, "north"), region_of(mesh, "south")
    mesh.cut_between(north, south)
    mesh.run(5.5)
    for some in (north, south):
        names = {mesh.nodes[a].me.node_id for a in some}
        assert all(mesh.nodes[a].known_ids == names for a in some)
    mesh.run(span_s - 5.5)
    mesh.cut.clear()
    mesh.run(3)
    assert_whole(mesh)


@pytest.mark.parametrize("is_deaf", [True, False])
def test_a_one_way_cut_costs_nobody_but_the_node_itself(is_deaf):
    mesh = started_mesh()
    address = address_of(9)
    rest = set(mesh.nodes) - {address}
    mesh.cut |= {(a, address) if is_deaf else (address, a) for a in rest}
    mesh.run(20)
    others = {mesh.nodes[a].me.node_id for a in rest}
    assert all(others <= mesh.nodes[a].known_ids for a in rest)
    assert set(lost_peers_of(mesh, rest)) <= {name_of(9)}
    mesh.cut.clear()
    mesh.run(3)
    assert_whole(mesh)


def lost_peers_of(mesh, addresses):
    return {
        peer
        for a in addresses
        for _, event, peer in mesh.nodes[a].events
        if event is Event.PEER_LOST
    }


@pytest.mark.parametrize("number", [9, None])
def test_a_link_that_gets_slower_by_600_ms_costs_nobody_its_place(number):
    mesh = started_mesh()
    number = leader_number(mesh) if number is None else number
    for delay_us in (600_000, 0, 600_000):
        mesh.link_delay_us[address_of(number)] = delay_us
        mesh.run(4)
    assert not lost_peers(mesh)
    assert_whole(mesh)


def test_a_connection_lost_between_two_nodes_costs_neither_its_place():
    mesh = started_mesh()
    mesh.break_connection(address_of(9), address_of(13))
    mesh.run(3)
    assert_whole(mesh)
    assert not lost_peers(mesh)


def test_a_cut_between_two_nodes_costs_neither_its_place_with_the_others():
    mesh = started_mesh()
    pair = {address_of(9), address_of(13)}
    mesh.cut_between({address_of(9)}, {address_of(13)})
    mesh.run(20)
    for address in set(mesh.nodes) - pair:
        assert len(mesh.nodes[address].known_ids) == SIZE
    mesh.cut.clear()
    mesh.run(3)
    assert_whole(mesh)


def test_all_nodes_know_each_other_within_2_s_of_a_restart_of_all():
    mesh = started_mesh()
    for number in range(SIZE):
        mesh.vanish(name_of(number))
    mesh.run(1.2)
    start_all(mesh)
    mesh.run(2)
    assert_whole(mesh)


def test_nodes_restarted_without_the_store_are_known_everywhere_within_1_s():
    mesh = started_mesh()
    mesh.fail_store()
    for number in (9, 10):
        mesh.kill(name_of(number))
    mesh.run(2)
    for number in (9, 10):
        mesh.start(name_of(number), FOUR_PLACES[number % 4])
    mesh.run(1)
    for number in (9, 10):
        node = mesh.nodes[address_of(number)]
        assert len(node.known_ids) >= SIZE - 1
        assert node.rules.in_force is not None
    names = {name_of(9), name_of(10)}
    rest = set(mesh.nodes) - {address_of(9), address_of(10)}
    assert all(names <= mesh.nodes[a].known_ids for a in rest)
    mesh.run(2)
    assert_whole(mesh)


def test_a_vm_lost_during_a_store_outage_with_random_loss_is_noticed():
    mesh = started_mesh()
    mesh.fail_store()
    mesh.drop_rate = 0.025
    mesh.vanish(name_of(9))
    seconds_until(mesh, lambda: is_forgotten(mesh, {name_of(9)}, mesh.nodes), 5)
    mesh.start(name_of(9), FOUR_PLACES[1])
    mesh.run(3)
    mesh.regain_store()
    mesh.run(3)
    assert_whole(mesh)
    assert set(lost_peers(mesh)) == {name_of(9)}


def test_10_minutes_with_a_loss_of_2_5_percent_cost_nobody_its_place():
    mesh = started_mesh()
    mesh.drop_rate = 0.025
    mesh.run(600)
    assert not lost_peers(mesh)
    assert_whole(mesh)
