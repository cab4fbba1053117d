import asyncio
import re
from pathlib import Path
from random import Random

from prometheus_client.parser import text_string_to_metric_families

from papayapost.distribution import TextOffered
from papayapost.ids import CallId, RuleVersion
from papayapost.node import build_node_world
from papayapost.place import SelfRow
from papayapost.states import LinkClass, Rank
from papayapost.traffic import CallArrived
from papayapost_node.admin import AdminServer, MetricsPage, StatusPage
from papayapost_node.clock import SystemClock
from papayapost_node.observe import CallCounter, CallMeter, Hop
from papayapost_node.observe.exposition import expose
from papayapost_node.transport import PeerTable
from papayapost_operator.exit_codes import ExitCode
from papayapost_operator.main import run
from papayapost_testing.observed_calls import ObservedCalls
from papayapost_testing.ports import free_addresses
from papayapost_testing.traffic_worlds import backend_row

PAGE = Path(__file__).parents[3] / "docs" / "METRICS.md"
ROW = re.compile(
    r"^\| `(papayapost_\w+)` \| (\w+) \| (\w+) \|([^|]*)\| [^|]+ \|$", re.MULTILINE
)


def build_node():
    own = backend_row("n1", "gusts")
    me = SelfRow(own.node_id, own.incarnation, own.place, own.peer_address)
    return me, build_node_world(me, [], own, Random(1))


async def meter_of_one_call():
    meter = CallMeter(SystemClock())
    calls = ObservedCalls([meter])
    calls.run_one()
    calls.close()
    return meter


def families_of(text):
    return list(text_string_to_metric_families(text.decode()))


def test_metrics_page_lists_exactly_the_exposed_metrics():
    _, node = build_node()
    peers = PeerTable(lambda address: LinkClass.REGION)
    meter = asyncio.run(meter_of_one_call())
    for count in CallCounter:
        meter.counts[count, "any"] += 1
    exposed = {
        family.name: (family.type, {n for s in family.samples for n in s.labels})
        for family in families_of(expose(meter, node, peers))
    }
    listed = ROW.findall(PAGE.read_text())
    assert [name for name, *_ in listed] == sorted(exposed)
    for name, kind, _, labels in listed:
        label_names = set(re.findall(r"`(\w+)`", re.sub(r"\([^)]*\)", "", labels)))
        assert (kind, label_names) == exposed[name], name


def test_traffic_counters_are_exposed():
    _, node = build_node()
    node.world.tick(1, node.first_messages())
    node.world.tick(2, [CallArrived(CallId(1), "GET", "wind", "/gusts")])
    node.world.tick(2_000_002)
    node.traffic.owner.counters.started[Rank.URGENT] = 3
    node.traffic.claims.conflicts = 2
    text = expose(CallMeter(SystemClock()), node, PeerTable(lambda _: None)).decode()
    lines = text.splitlines()
    assert "papayapost_entry_calls_total 1.0" in lines
    assert "papayapost_entry_refused_calls_total 1.0" in lines
    assert 'papayapost_owner_started_total{rank="urgent"} 3.0' in lines
    assert "papayapost_claims_conflicts_total 2.0" in lines


async def run_top(address, me, node, meter):
    peers = PeerTable(lambda _: None)
    pages = [MetricsPage(meter, node, peers), StatusPage(me, node)]
    server = AdminServer(address, pages)
    await server.start()
    code = await asyncio.to_thread(run, ["top", f"--nodes={address}"])
    await server.close()
    return code


def test_top_shows_the_p99_latency_of_urgent_calls(capsys):
    me, node = build_node()
    meter = CallMeter(SystemClock())
    meter.record(Hop.ENTRY, Rank.URGENT, 150_000)
    (address,) = free_addresses(1)
    assert asyncio.run(run_top(address, me, node, meter)) is ExitCode.DONE
    heading, line = capsys.readouterr().out.splitlines()
    assert heading.endswith("urgent p99")
    assert 149 < float(line.split()[-2]) < 152


# A version that every node refuses changes nothing that callers see at once.
def test_a_refused_version_is_shown_by_top_and_by_a_metric(capsys):
    me, node = build_node()
    node.world.tick(1, [TextOffered(RuleVersion(12), "oops")])
    meter = CallMeter(SystemClock())
    (address,) = free_addresses(1)
    assert asyncio.run(run_top(address, me, node, meter)) is ExitCode.DONE
    last_line = capsys.readouterr().out.splitlines()[-1]
    assert last_line.startswith("n1 refuses version 12: ")
    assert "unknown rule 'oops'" in last_line
    text = expose(meter, node, PeerTable(lambda _: None)).decode()
    assert "papayapost_rules_refused_version 12.0" in text.splitlines()
