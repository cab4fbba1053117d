from enum import Enum

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from papayapost.ids import IdempotencyKey
from papayapost.states import BackendServerState

from .meshes import NAMES, Mesh
from .stores import StoreFault

names = st.sampled_from(NAMES)
positions = st.integers(0, 30)
faults = st.sampled_from([StoreFault.NONE, StoreFault.NONE, *StoreFault])
keys = st.sampled_from([IdempotencyKey("deposit"), IdempotencyKey("deposit"), None])


class Disturbance(Enum):
    RESTART = "restart"
    PAUSE = "pause"
    LOSE_CONNECTION = "lose-connection"
    LIST_AS_GONE = "list-as-gone"
    LIST_AS_READY = "list-as-ready"


class FaultyMesh(RuleBasedStateMachine):
    """Random calls, deliveries and faults in a mesh of three nodes.

    Hypothesis orders the rules by their names, so that other names would make
    it generate other examples.
    """

    def __init__(self):
        super().__init__()
        self.mesh = Mesh()

    @rule(name=names, key=keys)
    def book(self, name, key):
        self.mesh.receive_call(name, "POST", "/bookings", key)

    @rule(
        rounds=st.integers(1, 5),
        fault_at=st.integers(0, 4),
        fault=st.sampled_from(StoreFault),
        is_reached=st.booleans(),
    )
    def work(self, rounds, fault_at, fault, is_reached):
        self.mesh.run_with_store_fault(rounds, fault_at, fault, is_reached)

    @rule(name=names)
    def look_up(self, name):
        self.mesh.receive_call(name, "GET", "/gusts", None)

    @precondition(lambda self: self.mesh.frames)
    @rule(position=positions)
    def deliver(self, position):
        frames = self.mesh.frames
        self.mesh.deliver(frames.pop(position % len(frames)))

    @rule()
    def deliver_all(self):
        frames, self.mesh.frames = self.mesh.frames, []
        for frame in frames:
            self.mesh.deliver(frame)

    @precondition(lambda self: self.mesh.frames)
    @rule(position=positions)
    def repeat(self, position):
        frames = self.mesh.frames
        self.mesh.deliver_again_later(frames[position % len(frames)])

    @precondition(lambda self: self.mesh.frames)
    @rule(position=positions)
    def lose(self, position):
        frames = self.mesh.frames
        frames.pop(position % len(frames))

    @precondition(lambda self: self.mesh.nodes_with_unsent_requests())
    @rule(position=positions, is_reached=st.booleans())
    def reach_backend_server(self, position, is_reached):
        nodes = self.mesh.nodes_with_unsent_requests()
        node = nodes[position % len(nodes)]
        if is_reached:
            self.mesh.send_request(node)
        else:
            self.mesh.fail_to_connect(node)

    @precondition(lambda self: self.mesh.nodes_with_running_requests())
    @rule(position=positions, is_whole=st.booleans())
    def answer(self, position, is_whole):
        nodes = self.mesh.nodes_with_running_requests()
        self.mesh.answer(nodes[position % len(nodes)], is_whole)

    @precondition(lambda self: self.mesh.store_queue)
    @rule(position=positions, fault=faults)
    def store(self, position, fault):
        self.mesh.handle_store_request(position % len(self.mesh.store_queue), fault)

    @precondition(lambda self: self.mesh.store_queue)
    @rule()
    def delay_a_write(self):
        self.mesh.handle_store_request(0, StoreFault.DOWN, is_write_delayed=True)

    @rule()
    def land_late_writes(self):
        self.mesh.apply_delayed_writes()

    @rule(time_ms=st.sampled_from([1, 20, 60, 260, 600, 2_000]))
    def advance(self, time_ms):
        self.mesh.advance(time_ms * 1_000)

    @rule(name=names, other=names, disturbance=st.sampled_from(Disturbance))
    def disturb(self, name, other, disturbance):
        mesh = self.mesh
        if disturbance is Disturbance.RESTART:
            mesh.restart(name)
        elif disturbance is Disturbance.PAUSE:
            mesh.pause_or_resume(name)
        elif name == other:
            pass
        elif disturbance is Disturbance.LOSE_CONNECTION:
            mesh.report_lost_connection(name, other)
        elif disturbance is Disturbance.LIST_AS_GONE:
            mesh.set_directory_state(name, other, BackendServerState.GONE)
        else:
            mesh.set_directory_state(name, other, BackendServerState.READY)

    @invariant()
    def slots_are_accounted_for(self):
        self.mesh.check_slots()

    def teardown(self):
        self.mesh.end_all_work()
        self.mesh.check_each_call_ended_once()


def test_faults_never_run_a_call_twice_or_after_a_refusal_as_not_run():
    run_state_machine_as_test(
        FaultyMesh,
        settings=settings(
            max_examples=150,
            stateful_step_count=40,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
