"""The composition root: wires one node from its settings."""

from random import Random

from papayapost.errors import FrameError
from papayapost.ids import (
    Address,
    DataCentreId,
    Incarnation,
    NodeId,
    RegionId,
    ServiceName,
)
from papayapost.membership import BackendServerRow
from papayapost.node import NodeWorld, build_node_world
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import Place, SelfRow
from papayapost.states import BackendServerState
from papayapost.storage import ReadObject, UnwatchObject, UpdateObject, WatchObject
from papayapost_node.admin import (
    AdminServer,
    MetricsPage,
    StatusPage,
    TimelinePage,
)
from papayapost_node.clock import Clock, SystemClock
from papayapost_node.exchange import CallerSide, NodeCourier, OwnerSide, WindowBudget
from papayapost_node.http import BackendPool, StreamingServer
from papayapost_node.observe import CallMeter, EventRecorder
from papayapost_node.runner import WorldRunner
from papayapost_node.settings import Settings
from papayapost_node.store import HttpStoreClient, StoreShell
from papayapost_node.transport import ZmqTransport
from papayapost_node.wire import (
    CONTROL_TYPES,
    WIRE_NUMBERS,
    CompressingCodec,
    MessagePackCodec,
    StampingCodec,
)

__all__ = ["Node", "build_node"]

_BODY_MEMORY_BYTES = 12 << 20


class Node:
    """One running node; `build_node` wires it."""

    def __init__(self, settings: Settings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self._me = _self_row(settings, clock)
        self.world: NodeWorld = build_node_world(
            self._me,
            [Address(seed) for seed in settings.seeds],
            _own_row(settings, self._me),
            Random(self._me.incarnation),
        )
        self._log = EventRecorder(self._me.node_id, self._me.place.data_centre, clock)
        self._meter = CallMeter(clock)
        observers = [self._log, self._meter]
        self.runner = WorldRunner(self.world.world, clock, observers=observers)
        messages = CompressingCodec(MessagePackCodec(WIRE_NUMBERS), CONTROL_TYPES)
        self._codec = StampingCodec(messages, self._log.hybrid_clock, clock)
        self._transport = ZmqTransport(self._me.peer_address)
        self._courier = NodeCourier(self._me.peer_address, self._send_to)
        budget = WindowBudget(_BODY_MEMORY_BYTES)
        post = self.runner.post
        self._callers = CallerSide(self._me.node_id, self._courier, post, budget)
        self._owner = self._owner_side(budget)
        self._courier.connect(self._callers.carriers())
        self._courier.connect(self._owner.carriers())
        store = HttpStoreClient(Address(settings.store_address))
        self._store = StoreShell(store, post)
        self._server = StreamingServer(
            Address(settings.caller_address), self._callers, batch=self.runner
        )
        self.runner.connect(self._callers.handlers())
        self.runner.connect(self._owner.handlers())
        self.runner.connect(
            {
                PeerSend: self._send,
                WatchObject: self._store.watch,
                UnwatchObject: self._store.unwatch,
                ReadObject: self._store.read,
                UpdateObject: self._store.update,
                Noted: self._log.note,
            }
        )
        self._admin = self._admin_server()

    async def start(self) -> None:
        """Listen for callers and peers and begin to watch the rules.

        Raises
        ------
        OSError
            If an address is in use or not this machine's.
        """
        self._transport.start(self._on_frame, self.runner)
        await self._server.start()
        if self._admin is not None:
            await self._admin.start()
        for message in self.world.first_messages():
            self.runner.post(message)
        self._log.note_event(Event.NODE_STARTED)

    async def close(self) -> None:
        """Close everything at once."""
        self.runner.close()
        await self._server.close()
        if self._admin is not None:
            await self._admin.close()
        self._store.close()
        self._owner.close()
        self._transport.close()
        self._log.note_event(Event.NODE_STOPPED)

    def _admin_server(self) -> AdminServer | None:
        if self._settings.admin_address is None:
            return None
        pages = [
            TimelinePage(self._me, self._log),
            MetricsPage(self._meter, self.world),
            StatusPage(self._me, self.world),
        ]
        return AdminServer(Address(self._settings.admin_address), pages)

    def _owner_side(self, budget: WindowBudget) -> OwnerSide:
        backend = self._settings.backend_server
        pool = BackendPool(
            Address(backend.address) if backend else None,
            backend.connections if backend else 0,
            self.runner,
        )
        tables = self.world.traffic.owner
        return OwnerSide(
            self._me.node_id,
            pool,
            self._courier,
            self.runner.post,
            lambda: tables.free_slots,
            budget,
        )

    def _send(self, effect: PeerSend) -> None:
        self._send_to(effect.address, effect.message)

    def _send_to(self, address: Address, message: object) -> bool:
        return self._transport.send(address, self._codec.encode(message))

    def _on_frame(self, frame: bytes) -> None:
        try:
            message = self._codec.decode(frame)
        except FrameError as error:
            self._log.note_event(Event.FRAME_REFUSED, str(error))
            return
        if not self._courier.take(message):
            self.runner.post(message)


async def build_node(settings: Settings, clock: Clock | None = None) -> Node:
    """Wire a node; it listens only after `Node.start`."""
    return Node(settings, clock or SystemClock())


def _self_row(settings: Settings, clock: Clock) -> SelfRow:
    place = Place(DataCentreId(settings.data_centre), RegionId(settings.region))
    return SelfRow(
        NodeId(settings.node_id),
        Incarnation(clock.wall_us()),
        place,
        Address(settings.peer_address),
    )


def _own_row(settings: Settings, me: SelfRow) -> BackendServerRow:
    backend = settings.backend_server
    return BackendServerRow(
        node_id=me.node_id,
        incarnation=me.incarnation,
        revision=1,
        service=ServiceName(backend.service) if backend else None,
        data_centre=me.place.data_centre,
        region=me.place.region,
        peer_address=me.peer_address,
        slots=backend.slots if backend else 0,
        state=BackendServerState.READY,
    )
