"""Creates the parts of a node from its settings and connects them."""

from pathlib import Path

from papayapost.errors import PapayapostError, SettingsRefused
from papayapost.findings import Finding
from papayapost.ids import (
    Address,
    DataCentreId,
    InstanceId,
    NodeId,
)
from papayapost.membership import BackendServerRow
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.states import LinkClass
from papayapost.storage import (
    ListObjects,
    ReadObject,
    UnwatchObject,
    UpdateObject,
    WatchObject,
)
from papayapost.traffic.owner.queues import QueueDiscipline
from papayapost_node.admin import (
    AdminServer,
    MetricsPage,
    StatusPage,
    TimelinePage,
)
from papayapost_node.clock import Clock, SystemClock
from papayapost_node.drain import Drain, StopTimes
from papayapost_node.event_limit import EventRateLimit
from papayapost_node.exchange import (
    BulkPacer,
    EntrySide,
    NodeCarrierDelivery,
    OwnerSide,
    UnsentAnswers,
    WindowBudget,
)
from papayapost_node.frames import max_frame_bytes
from papayapost_node.http import (
    BackendPool,
    HealthPoller,
    HeldBytes,
    HttpLimit,
    LimitCounts,
    SharedLimits,
    StreamingServer,
)
from papayapost_node.limit_events import LimitEvents
from papayapost_node.observe import CallMeter, EventRecorder
from papayapost_node.peer_messages import PeerMessages
from papayapost_node.readiness import ReadinessServer
from papayapost_node.reports import ReportServer
from papayapost_node.rule_limits import RuleLimits
from papayapost_node.runner import WorldRunner
from papayapost_node.security import KeyRing, SenderCheck
from papayapost_node.server_limits import control_limits, http_limits
from papayapost_node.settings import (
    SecurityMode,
    Settings,
    load_keys,
    load_settings,
)
from papayapost_node.store import OrderClient, OrderEffects, StoreEffects
from papayapost_node.surroundings import load_surroundings
from papayapost_node.transport import PeerLimits, PeerTable, ZmqTransport
from papayapost_node.wire import (
    CONTROL_TYPES,
    MESSAGE_NUMBERS,
    CompressingCodec,
    MessagePackCodec,
    TimestampCodec,
)
from papayapost_node.world import build_world, self_row

__all__ = ["Node", "build_node"]

_BODY_WINDOWS_BYTES = 12 << 20
"""Memory for the flow-control windows of all request and answer bodies."""

_MAX_BACKEND_CONNECTIONS = 1_024
"""Limit of backend server connections if the settings give none.

In practice the number of slots limits them.
"""


class Node:
    """One node with all its parts; `build_node` creates it."""

    def __init__(
        self, settings: Settings, clock: Clock, queue: QueueDiscipline | None = None
    ):
        self._settings = settings
        self._clock = clock
        self._self_row = self_row(settings, clock)
        self._surroundings = load_surroundings(settings.surroundings)
        self._dialect = self._surroundings.dialect(settings)
        self.world = build_world(settings, self._self_row, queue)
        self._recorder = EventRecorder(
            self._self_row.node_id, self._self_row.place.data_centre, clock
        )
        self._meter = CallMeter(clock)
        observers = [self._recorder, self._meter]
        self.runner = WorldRunner(self.world.world, clock, observers=observers)
        self._key_ring = self._build_key_ring()
        self._peers = PeerTable(self._link_class_of)
        self._event_limit = EventRateLimit(self._recorder.note_event, clock)
        self._shared_limits = SharedLimits(
            HeldBytes(settings.http.held_bytes),
            counts=LimitCounts(LimitEvents(self._event_limit).limit_met),
        )
        frame_bytes = max_frame_bytes(settings.max_rules_bytes)
        self._transport = ZmqTransport(
            self._self_row.peer_address,
            self._peers,
            self._key_ring,
            frame_bytes,
            PeerLimits(
                settings.peer_connections, settings.peer_connections_per_address
            ),
            lambda: self._shared_limits.counts.note("peer", HttpLimit.CONNECTIONS),
        )
        message_codec = CompressingCodec(
            MessagePackCodec(MESSAGE_NUMBERS), CONTROL_TYPES, frame_bytes
        )
        self._messages = PeerMessages(
            self._self_row.peer_address,
            self._transport,
            TimestampCodec(message_codec, self._recorder.hybrid_clock, clock),
            self._peers,
            SenderCheck(self._key_ring, self.world.directory),
            self._event_limit,
            self.runner.post,
        )
        self._carrier_delivery = NodeCarrierDelivery(
            self._self_row.peer_address, self._messages.send
        )
        self._messages.set_carrier_receiver(self._carrier_delivery.take)
        budget = WindowBudget(_BODY_WINDOWS_BYTES)
        post = self.runner.post
        self._entry_side = EntrySide(
            self._self_row.node_id, self._carrier_delivery, post, budget, self._dialect
        )
        self._owner_side = self._build_owner_side(budget)
        self._carrier_delivery.add_handlers(self._entry_side.carriers())
        self._carrier_delivery.add_handlers(self._owner_side.carriers())
        store = self._surroundings.store_client(settings)
        wait_s = settings.store_wait_ms / 1000
        self._store = StoreEffects(store, post, wait_s, clock.now_us)
        self._orders: OrderEffects | None = None
        if settings.rollout is not None and isinstance(store, OrderClient):
            self._orders = OrderEffects(store, post, wait_s, clock.now_us)
        self._server = StreamingServer(
            Address(settings.caller_address),
            self._entry_side,
            RuleLimits(http_limits(settings.http), self.world.rules),
            self.runner,
            "caller_address",
            self._shared_limits,
        )
        self._health_poller = self._build_health_poller()
        self._drain = Drain(self._server, post)
        self.runner.add_handlers(self._entry_side.handlers())
        self.runner.add_handlers(self._owner_side.handlers())
        self.runner.add_handlers(self._drain.handlers())
        self.runner.add_handlers(
            {
                PeerSend: self._messages.send_effect,
                WatchObject: self._store.watch,
                UnwatchObject: self._store.unwatch,
                ReadObject: self._store.read,
                ListObjects: self._store.list,
                UpdateObject: self._store.update,
                Noted: self._recorder.note,
            }
        )
        if self._orders is not None:
            self.runner.add_handlers(self._orders.handlers())
        self._admin = self._build_admin_server()
        self._reports = self._build_report_server()
        if self._reports is not None:
            self.runner.add_handlers(self._reports.handlers())
        self._readiness = self._build_readiness_server()

    async def start(self) -> None:
        """Start to listen for callers and peers, and to watch the rules.

        Raises
        ------
        AddressUnavailable
            If an address is in use or does not belong to this machine.
        """
        self._transport.start(self._messages, self.runner)
        await self._server.start()
        if self._admin is not None:
            await self._admin.start()
        if self._health_poller is not None:
            self._health_poller.start()
        if self._reports is not None:
            await self._reports.start()
        if self._readiness is not None:
            await self._readiness.start()
        for message in self.world.first_messages():
            self.runner.post(message)
        self._recorder.note_event(Event.NODE_STARTED)

    async def drain(self) -> None:
        """Finish the running calls, and send the last frames to the peers."""
        settings = self._settings
        times = StopTimes.within(settings.stop_limit_s)
        left_s = await self._drain.run(
            times.work_ms, settings.drain_accept_ms, times.flush_ms
        )
        # The last answers to peers may still be queued for a slow link.
        self.runner.close()
        if self._reports is not None:
            await self._reports.close()
        await self._transport.finish_sending(left_s)

    def note_stopped_at_once(self) -> None:
        """Record that the node stops before its drain is complete."""
        self._recorder.note_event(Event.STOPPED_AT_ONCE)

    def note_adjusted_setting(self, finding: Finding) -> None:
        """Record that another value stands in for a deployment's figure."""
        self._recorder.note_event(Event.SETTING_ADJUSTED, str(finding))

    def reload(self, path: Path) -> None:
        """Log which settings have changed, and reload the keys file.

        The changed settings take effect at the next start only: a change of
        addresses would lose the running calls.
        """
        try:
            loaded = load_settings(path, self.note_adjusted_setting)
        except PapayapostError as refused:
            self._recorder.note_event(Event.SETTINGS_REFUSED, str(refused))
            return
        changed = self._settings.differing_keys(loaded)
        detail = ", ".join(changed) or "no setting has changed"
        self._recorder.note_event(Event.SETTINGS_RELOADED, detail)
        self.reload_keys()

    def reload_keys(self) -> None:
        """Replace the keys by those of the keys file if it has no findings."""
        keys_file = self._settings.security.keys_file
        if self._key_ring is None or keys_file is None:
            return
        try:
            keys = load_keys(Path(keys_file))
        except SettingsRefused as refused:
            self._recorder.note_event(Event.KEYS_REFUSED, str(refused))
            return
        is_own_pair_changed = keys.own_key_pair() != self._key_ring.own
        self._key_ring.replace(keys.own_key_pair(), keys.allowed_rows())
        if is_own_pair_changed:
            self._transport.apply_own_keys()
        self._recorder.note_event(Event.KEYS_RELOADED, f"{len(keys.allowed)} allowed")

    async def close(self) -> None:
        """Close all connections at once, without waiting for running calls."""
        self.runner.close()
        if self._health_poller is not None:
            self._health_poller.close()
        await self._server.close()
        for server in (self._admin, self._reports, self._readiness):
            if server is not None:
                await server.close()
        self._store.close()
        if self._orders is not None:
            self._orders.close()
        self._owner_side.close()
        self._transport.close()
        self._recorder.note_event(Event.NODE_STOPPED)

    def _build_admin_server(self) -> AdminServer | None:
        if self._settings.admin_address is None:
            return None
        pages = [
            TimelinePage(self._self_row, self._recorder),
            MetricsPage(self._meter, self.world, self._peers, self._shared_limits),
            StatusPage(self._self_row, self.world),
        ]
        address = Address(self._settings.admin_address)
        limits = control_limits(self._settings.http)
        return AdminServer(address, pages, limits, self._shared_limits)

    def _build_report_server(self) -> ReportServer | None:
        address = self._settings.report_address
        codec = self._surroundings.report_codec(self._settings)
        if address is None or codec is None:
            return None
        return ReportServer(
            Address(address),
            codec,
            self.runner.post,
            self._event_limit,
            control_limits(self._settings.http, self._settings.http.report_bytes),
            self._shared_limits,
        )

    def _build_readiness_server(self) -> ReadinessServer | None:
        address = self._settings.readiness_address
        if address is None:
            return None
        limits = control_limits(self._settings.http)
        return ReadinessServer(
            Address(address), self.world, limits, self._shared_limits
        )

    def _instance(self) -> InstanceId | None:
        backend = self.world.traffic.owner.backend
        return backend.instance if backend is not None else None

    def _build_owner_side(self, budget: WindowBudget) -> OwnerSide:
        backend = self._settings.backend_server
        pool = BackendPool(
            Address(backend.address) if backend else None,
            (backend.connections or _MAX_BACKEND_CONNECTIONS) if backend else 0,
            self.runner,
        )
        tables = self.world.traffic.owner
        return OwnerSide(
            self._self_row.node_id,
            pool,
            self._carrier_delivery,
            self.runner.post,
            lambda: tables.free_slots,
            budget,
            self._dialect,
            self._instance,
            self._settings.http.hold_answer_bytes,
            BulkPacer(self._settings.link_mbps),
            UnsentAnswers(
                self._settings.http.unsent_bytes,
                lambda: self._shared_limits.counts.note("answers", HttpLimit.HELD),
            ),
        )

    def _build_health_poller(self) -> HealthPoller | None:
        backend = self._settings.backend_server
        if backend is None or backend.health_path is None:
            return None
        return HealthPoller(
            Address(backend.address),
            backend.health_path,
            backend.health_interval_ms,
            self.runner.post,
        )

    def _build_key_ring(self) -> KeyRing | None:
        security = self._settings.security
        if security.mode is SecurityMode.NONE or security.keys_file is None:
            return None
        keys = load_keys(Path(security.keys_file))
        return KeyRing(keys.own_key_pair(), keys.allowed_rows(), self._holder_of)

    def _row_at(self, address: Address) -> BackendServerRow | None:
        return next(self.world.directory.find("peer_address", address), None)

    def _holder_of(self, address: Address) -> tuple[NodeId | None, DataCentreId]:
        row = self._row_at(address)
        # An address without a row is most likely a seed. Most seeds are nodes
        # of this data centre, so that data centre is assumed.
        return (
            (row.node_id, row.data_centre)
            if row
            else (None, self._self_row.place.data_centre)
        )

    def _link_class_of(self, address: Address) -> LinkClass | None:
        row = self._row_at(address)
        return self._self_row.place.distance_to(row.place) if row else None


async def build_node(
    settings: Settings,
    clock: Clock | None = None,
    queue: QueueDiscipline | None = None,
) -> Node:
    """Create a node; it listens for connections only after `Node.start`.

    Parameters
    ----------
    queue
        Queue discipline of attempts, in place of the one that the settings
        select.
    """
    return Node(settings, clock or SystemClock(), queue)
