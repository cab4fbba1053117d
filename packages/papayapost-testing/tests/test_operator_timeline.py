from dataclasses import replace

import msgspec

from papayapost.ids import AttemptId, CallId, DataCentreId, Micros, NodeId
from papayapost.observe import Event, Noted
from papayapost.timeline import (
    CollectEvents,
    EventRing,
    EventsCollected,
    HybridClock,
    ReadSource,
    SourceAnswered,
    build_collection,
)
from papayapost_node.admin import TimelineReport
from papayapost_operator.exit_codes import ExitCode
from papayapost_operator.main import run
from papayapost_testing.ports import free_addresses

NORTH = DataCentreId("north-1")
ATTEMPT = AttemptId("n1/1/1")


def report_of(name, *events):
    ring, clock = EventRing(NORTH, 8), HybridClock(NodeId(name))
    for wall_us, noted in events:
        ring.record(clock.tick(Micros(wall_us)), noted)
    return TimelineReport(NodeId(name), NORTH, ring.dropped, list(ring))


ENTRY = report_of(
    "n1",
    (1_000, Noted(Event.CALL_ARRIVED, call_id=CallId(4), detail="GET a/gusts")),
    (1_200, Noted(Event.ATTEMPT_OFFERED, call_id=CallId(4), attempt_id=ATTEMPT)),
    (9_000, Noted(Event.CALL_ARRIVED, call_id=CallId(5))),
)
OWNER = report_of("n2", (1_500, Noted(Event.ATTEMPT_TAKEN, attempt_id=ATTEMPT)))


def save_reports(folder, *reports):
    paths = []
    for report in reports:
        path = folder / f"{report.node_id}.json"
        path.write_bytes(msgspec.json.encode(report))
        paths.append(str(path))
    return ",".join(paths)


def test_a_node_that_does_not_answer_in_time_is_reported_as_a_gap():
    world = build_collection()
    request = CollectEvents(("a", "b"), Micros(100))
    assert world.tick(Micros(0), [request]) == [ReadSource("a"), ReadSource("b")]
    rows = tuple(OWNER.rows)
    answered = SourceAnswered("a", NodeId("n2"), NORTH, 0, rows)
    assert world.tick(Micros(50), [answered, replace(answered, rows=())]) == []
    (done,) = world.tick(Micros(100))
    assert isinstance(done, EventsCollected)
    assert done.rows == rows
    assert [gap.source for gap in done.gaps] == ["b"]


def test_timeline_prints_and_draws_one_call_from_the_files_of_two_nodes(
    tmp_path, capsys
):
    page = tmp_path / "call.html"
    files = save_reports(tmp_path, ENTRY, OWNER)
    arguments = ["timeline", f"--files={files}", "--call=n1/4", f"--html={page}"]
    assert run(arguments) is ExitCode.DONE
    lines = capsys.readouterr().out.splitlines()
    names = [line.split("  ")[0] for line in lines]
    assert len(names) == 4
    assert "attempt taken" in lines[2]
    svg_page = page.read_text()
    assert svg_page.count("<circle") == 3
    assert svg_page.count("stroke-dasharray") == 1


def test_a_node_that_refuses_connections_is_a_gap_and_no_error(tmp_path, capsys):
    (address,) = free_addresses(1)
    arguments = [f"--files={save_reports(tmp_path, OWNER)}", f"--nodes={address}"]
    assert run(["timeline", *arguments]) is ExitCode.DONE
    lines = capsys.readouterr().out.splitlines()
    assert lines[-1].startswith(f"gap: {address}:")
    assert run(["top", f"--nodes={address}"]) is ExitCode.DONE
    assert f"gap: {address}:" in capsys.readouterr().out


def test_an_invalid_option_is_reported_before_any_source_is_read(capsys):
    for option in ("--since=yesterday", "--call=7", "--limit=many"):
        code = run(["timeline", "--files=none.json", option])
        assert code is not ExitCode.DONE
        assert option.partition("=")[2] in capsys.readouterr().err
