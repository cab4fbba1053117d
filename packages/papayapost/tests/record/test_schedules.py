"""Random schedules of applies, link relays and direct edits, with faults.

The tests guard against record entries that name the wrong operator and
against reports of the wrong outcome. Such faults arise when writers run
concurrently, replies are lost, or a writer crashes between two updates.
"""

from dataclasses import dataclass, field
from random import Random

import pytest

from papayapost.distribution import RULES_KEY, RulesTable
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    Micros,
    NodeId,
    RegionId,
)
from papayapost.kernel import World
from papayapost.membership import RoleChanged, TreeTables
from papayapost.place import Place, SelfRow
from papayapost.record import (
    RECORD_KEY,
    Attribution,
    Operator,
    ProposalId,
    build_record,
)
from papayapost.record.apply import (
    ApplyFinished,
    ApplyOutcome,
    ApplyReport,
    ApplyRequested,
    build_apply,
)
from papayapost.rules import rules_digest
from papayapost.storage import (
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)

EDITOR = "editor"


def rules_text_of(writer: str) -> str:
    return f"route GET /{writer} -> a # Ana: asked for"


@dataclass
class Actor:
    name: str
    world: World
    inbox: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    reports: list[ApplyReport] = field(default_factory=list)
    lost_updates: int = 0


class Schedule:
    """Runs several worlds on one store, one random step at a time.

    Each step gives one input to a world, or serves one request at the store.
    Timers run when neither is left.

    Attributes
    ----------
    fault_rate
        Probability from 0 to 1 that a read fails or that an update is left
        unanswered.
    history
        Writer and text of each version of the rules object.
    crashed
        Names of the operators whose worlds were stopped.
    now_us
        Time of the schedule in µs.
    """

    def __init__(self, seed: int, fault_rate: float):
        self.random = Random(seed)
        self.fault_rate = fault_rate
        self.objects: dict = {}
        self.history: dict[int, tuple[str, str]] = {}
        self.actors: list[Actor] = []
        self.crashed: set[str] = set()
        self.now_us = 0

    def add_operator(self, name: str) -> None:
        actor = Actor(name, build_apply(Random(name)))
        request = ApplyRequested(
            ProposalId(name),
            rules_text_of(name),
            Operator(name),
            "",
            None,
            False,
            Micros(1),
        )
        actor.inbox.append(request)
        self.actors.append(actor)

    def add_relay(self, name: str) -> None:
        tree = TreeTables()
        tree.is_link_relay = True
        place = Place(DataCentreId("n1"), RegionId("north"))
        me = SelfRow(NodeId(name), Incarnation(5), place, Address("127.0.0.1:1"))
        systems = build_record(me, tree, RulesTable()).systems
        actor = Actor(name, World(systems, Random(name)), [RoleChanged()])
        self.actors.append(actor)

    def edit(self) -> None:
        self.write(EDITOR, RULES_KEY, rules_text_of(f"{EDITOR}{len(self.history)}"))

    def write(self, writer: str, key: object, value: object) -> int:
        version = self.objects.get("revision", 0) + 1
        self.objects["revision"] = version
        self.objects[key] = (version, value)
        if key == RULES_KEY:
            self.history[version] = (writer, value)
            for actor in self.actors:
                if actor.name.startswith("relay"):
                    actor.inbox.append(ObjectRead(RULES_KEY, version, value))
        return version

    def run(self, steps: int) -> None:
        for _ in range(steps):
            if not self.step():
                return

    def step(self) -> bool:
        choices = [
            (kind, actor)
            for actor in self.actors
            for kind, queue in (("tick", actor.inbox), ("serve", actor.requests))
            if queue
        ]
        if choices:
            kind, actor = self.random.choice(choices)
            self.tick(actor) if kind == "tick" else self.serve(actor)
            return True
        next_timers = [(a.world.next_due_us(), a) for a in self.actors]
        timers = [(due_us, a) for due_us, a in next_timers if due_us is not None]
        if not timers:
            return False
        self.now_us, actor = min(timers, key=lambda item: item[0])
        self.tick(actor)
        return True

    def tick(self, actor: Actor) -> None:
        inputs, actor.inbox = actor.inbox[:1], actor.inbox[1:]
        for effect in actor.world.tick(Micros(self.now_us), inputs):
            if isinstance(effect, (ReadObject, UpdateObject)):
                actor.requests.append(effect)
            elif isinstance(effect, ApplyFinished):
                actor.reports.append(effect.report)

    def serve(self, actor: Actor) -> None:
        index = self.random.randrange(len(actor.requests))
        request = actor.requests.pop(index)
        key, request_id = request.key, request.request_id
        is_faulty = self.random.random() < self.fault_rate
        version, value = self.objects.get(key, (0, None))
        if isinstance(request, ReadObject):
            answer = ObjectRead(key, version, value, request_id)
            failed = StoreReadFailed(key, "down", request_id)
            actor.inbox.append(failed if is_faulty else answer)
            return
        is_lost = is_faulty and self.random.random() < 0.5
        result: object = UpdateOutcomeUnknown(key, request_id, "lost")
        if not is_lost and version != request.expected_version:
            result = UpdateConflicted(key, request_id, version)
        elif not is_lost:
            written = self.write(actor.name, key, request.value)
            result = ObjectUpdated(key, request_id, written)
        if is_faulty:
            actor.lost_updates += key == RULES_KEY
            result = UpdateOutcomeUnknown(key, request_id, "lost")
        actor.inbox.append(result)

    def crash(self, name: str) -> None:
        self.crashed.add(name)
        self.actors = [actor for actor in self.actors if actor.name != name]


def check_record(schedule: Schedule) -> None:
    page = schedule.objects[RECORD_KEY][1]
    for entry in page.entries:
        writer, text = schedule.history[entry.version]
        assert entry.digest == rules_digest(text)
        assert entry.operator == ("" if writer.startswith(EDITOR) else writer)
        is_applied = entry.attribution is Attribution.APPLIED
        assert is_applied is not writer.startswith(EDITOR)
    recorded = {entry.version for entry in page.entries}
    assert recorded >= {max(schedule.history)}
    replaced_versions = {entry.base_version for entry in page.entries}
    assert recorded | {0} >= replaced_versions


def check_reports(schedule: Schedule, operators: list[Actor]) -> None:
    written = {writer: version for version, (writer, _) in schedule.history.items()}
    for actor in operators:
        if actor.name in schedule.crashed:
            continue
        (report,) = actor.reports
        if report.outcome is ApplyOutcome.ACCEPTED:
            assert report.version == written[actor.name]
        elif report.outcome is ApplyOutcome.UNKNOWN:
            assert actor.lost_updates
        else:
            assert actor.name not in written
        if report.earlier is not None:
            writer, _ = schedule.history[report.earlier.version]
            assert report.earlier.operator in (writer, "")


@pytest.mark.parametrize("fault_rate", [0.0, 0.15, 0.4])
@pytest.mark.parametrize("first_seed", range(0, 160, 40))
def test_random_schedules_leave_a_correct_record_and_correct_reports(
    first_seed, fault_rate
):
    for seed in range(first_seed, first_seed + 40):
        schedule = Schedule(seed, fault_rate)
        names = ["mei", "lin", "bo", "iker"]
        for name in names:
            schedule.add_operator(name)
        schedule.add_relay("relay1")
        operators = schedule.actors[:4]
        for _ in range(3):
            schedule.run(schedule.random.randrange(60))
            if schedule.random.random() < 0.5:
                schedule.edit()
            if schedule.random.random() < 0.3:
                schedule.crash(schedule.random.choice(names))
        schedule.add_relay("relay2")
        schedule.run(20_000)
        schedule.fault_rate = 0.0
        schedule.add_relay("relay3")
        schedule.run(20_000)
        if schedule.history:
            check_record(schedule)
        check_reports(schedule, operators)
