"""The system that holds the leases of a region's lenders in the store.

Load patterns that it answers: lenders killed, cut off or stopped under load,
all nodes restarted at once, and a store that is down or refuses some nodes.
"""

from papayapost.define import define
from papayapost.distribution import (
    DirectWatchRow,
    RulesInForce,
    RulesTable,
    WatchRanks,
)
from papayapost.ids import (
    Incarnation,
    LeaseTerm,
    Micros,
    NodeId,
    QuotaPartition,
)
from papayapost.kernel import System, Tick
from papayapost.membership import Directory, DirectoryChanged
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.quota.messages import LeaseRenewed, LeaseStepDue
from papayapost.quota.tables import (
    MAX_RETURN_AGE_US,
    LeaseRow,
    LeaseState,
    LeaseStep,
    QuotaLease,
    QuotaTables,
)
from papayapost.states import BackendServerState, WatchRole
from papayapost.storage import (
    ObjectKind,
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    StoreRequestId,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
)

__all__ = ["HoldLeases", "LeaseLost"]

_VALID_US = 4_000_000
"""Time for which a lease is valid after its write was sent."""

_TAKEOVER_US = 4_500_000
"""Time after which an unchanged lease is taken over. The former holder has
stopped half a second before, whatever the rates of the two clocks."""

_RENEW_US = 1_800_000
_RETRY_US = 400_000
_STANDBY_RETRY_US = 2_000_000
"""Time until a failed store call of the holder, and of another candidate, is
made again. A store that fails gets few calls of those that may only wait."""

_ROLE_CHECK_US = 500_000
"""Interval at which a node that starts checks whether it is a candidate."""

_TURN_US = 600_000
"""How much later than the one above it each candidate takes a lease."""

_LEAVING_STATES = (BackendServerState.DRAINING, BackendServerState.GONE)


@define
class LeaseLost:
    """Internal: this node no longer lends the tokens of a partition."""

    partition: QuotaPartition


class HoldLeases(System):
    """Takes, renews, takes over and releases the leases of this region.

    The relays and deputies of the region are candidates; all other nodes make
    no store call. The holder tells the candidates of each renewal, so that
    these read a lease only if they know nothing of it. There is no store call
    at all while the rules in force hold no account with a quota.
    """

    consumes = (
        DirectoryChanged,
        LeaseRenewed,
        LeaseStepDue,
        ObjectRead,
        ObjectUpdated,
        RulesInForce,
        StoreReadFailed,
        UpdateConflicted,
        UpdateOutcomeUnknown,
    )

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        ranks: WatchRanks,
        rules: RulesTable,
        contact: DirectWatchRow,
        tables: QuotaTables,
    ):
        self._me = me
        self._directory = directory
        self._ranks = ranks
        self._rules = rules
        self._contact = contact
        self._tables = tables
        self._requests = 0

    def run(self, tick: Tick) -> None:
        """Apply the answers of the store, then make the calls that are due."""
        if tick.take(RulesInForce):
            self._apply_rules(tick)
        self._apply_answers(tick)
        self._apply_failures(tick)
        for renewed in tick.take(LeaseRenewed):
            self._apply_renewal(tick, renewed)
        if not self._tables.are_quotas_in_force:
            return
        if tick.take(DirectoryChanged) and self._is_leaving():
            self._release_all(tick)
        self._take_steps(tick)

    def _apply_answers(self, tick: Tick) -> None:
        for read in tick.take(ObjectRead):
            lease = self._answered(read.key.kind, read.request_id)
            if lease is not None:
                self._apply_read(tick, lease, read)
        for updated in tick.take(ObjectUpdated):
            lease = self._answered(updated.key.kind, updated.request_id)
            if lease is not None:
                self._apply_update(tick, lease, updated.version)
        for conflict in tick.take(UpdateConflicted):
            lease = self._answered(conflict.key.kind, conflict.request_id)
            if lease is not None:
                # The write may have met an earlier one of this process whose
                # answer was lost. The read tells whose the lease is.
                lease.step = LeaseStep.NONE
                self._read_soon(tick, lease)

    def _apply_failures(self, tick: Tick) -> None:
        for unknown in tick.take(UpdateOutcomeUnknown):
            lease = self._answered(unknown.key.kind, unknown.request_id)
            if lease is not None:
                lease.version = None
                self._retry_later(tick, lease)
        for failed in tick.take(StoreReadFailed):
            lease = self._answered(failed.key.kind, failed.request_id)
            if lease is not None:
                self._retry_later(tick, lease)

    def _apply_rules(self, tick: Tick) -> None:
        in_force = self._rules.in_force
        accounts = in_force.rules.accounts if in_force is not None else ()
        tables = self._tables
        was_in_force = tables.are_quotas_in_force
        tables.are_quotas_in_force = any(account.has_quota for account in accounts)
        if was_in_force and not tables.are_quotas_in_force:
            self._release_all(tick)

    def _answered(
        self, kind: ObjectKind, request_id: StoreRequestId | None
    ) -> LeaseRow | None:
        """Return the lease whose store call this is the answer to."""
        if kind is not ObjectKind.QUOTA_LEASE:
            return None
        for lease in self._tables.leases:
            if lease.step is not LeaseStep.NONE and lease.request_id == request_id:
                return lease
        return None

    def _apply_read(self, tick: Tick, lease: LeaseRow, read: ObjectRead) -> None:
        lease.step = LeaseStep.NONE
        if read.version != lease.version:
            lease.version, lease.seen_us = read.version, tick.now_us
        value = read.value
        lease.holder = value.holder if isinstance(value, QuotaLease) else None
        if isinstance(value, QuotaLease):
            lease.incarnation = value.incarnation
        if lease.state is LeaseState.HELD:
            if self._is_own_process(lease):
                lease.due_us = tick.now_us
                return
            self._lose(tick, lease, f"{lease.holder} has taken it")
        self._consider(tick, lease)

    def _apply_renewal(self, tick: Tick, renewed: LeaseRenewed) -> None:
        """Learn the version of a lease from its holder."""
        lease = self._tables.leases.get(renewed.partition)
        if lease is None or lease.state is LeaseState.HELD:
            return
        if lease.version is not None and renewed.version <= lease.version:
            return
        lease.version, lease.seen_us = renewed.version, tick.now_us
        lease.holder = None if renewed.is_released else renewed.sender
        lease.incarnation = Incarnation(0)
        if lease.step is LeaseStep.NONE:
            lease.due_us = self._take_us(lease) or lease.due_us

    def _is_own_process(self, lease: LeaseRow) -> bool:
        me = self._me
        return lease.holder == me.node_id and lease.incarnation == me.incarnation

    def _consider(self, tick: Tick, lease: LeaseRow) -> None:
        """Take a lease that is free, expired or of a former process."""
        if self._is_leaving():
            if lease.holder == self._me.node_id:
                self._write(tick, lease, LeaseStep.RELEASE)
            return
        take_us = self._take_us(lease)
        if take_us is None:
            return
        lease.due_us = take_us
        if tick.now_us >= take_us:
            stopped_us = self._stopped_us(tick, lease)
            lease.fill_from_us = Micros(stopped_us + MAX_RETURN_AGE_US)
            self._write(tick, lease, LeaseStep.TAKE)

    def _take_us(self, lease: LeaseRow) -> Micros | None:
        """Return when this node may take a lease, or None if it may not."""
        turn = self._turn(lease)
        if lease.holder == self._me.node_id:
            return lease.seen_us
        if turn is None:
            return None
        wait_us = 0 if lease.holder is None else _TAKEOVER_US
        return Micros(lease.seen_us + wait_us + turn * _TURN_US)

    def _stopped_us(self, tick: Tick, lease: LeaseRow) -> Micros:
        """Return when the former lender has stopped at the latest."""
        if lease.holder == self._me.node_id:
            return tick.now_us
        if lease.holder is None:
            return lease.seen_us
        return Micros(lease.seen_us + _VALID_US)

    def _turn(self, lease: LeaseRow) -> int | None:
        """Return this node's place among the candidates, or None."""
        contact = self._contact
        if not contact.is_relay and not contact.is_deputy:
            return None
        rank = self._ranks.own
        relays: list[NodeId] = rank.relays
        shift = lease.partition % max(1, len(relays))
        candidates = [*relays[shift:], *relays[:shift], *rank.deputies]
        node_id = self._me.node_id
        return candidates.index(node_id) if node_id in candidates else None

    def _apply_update(self, tick: Tick, lease: LeaseRow, version: int) -> None:
        step, lease.step = lease.step, LeaseStep.NONE
        lease.version, lease.seen_us = version, tick.now_us
        if step is LeaseStep.RELEASE:
            lease.holder = None
            lease.due_us = self._take_us(lease) or lease.due_us
            self._tell_candidates(tick, lease)
            return
        lease.holder, lease.incarnation = self._me.node_id, self._me.incarnation
        is_released = step is LeaseStep.RENEW and lease.state is LeaseState.OTHERS
        if is_released or self._is_leaving():
            self._release(tick, lease)
            self._write(tick, lease, LeaseStep.RELEASE)
            return
        if step is LeaseStep.TAKE:
            lease.state = LeaseState.HELD
            lease.term = LeaseTerm(version)
            lease.fill_from_us = max(lease.fill_from_us, tick.now_us)
            tick.emit(Noted(Event.LEASE_TAKEN, detail=lease.key.name))
        lease.valid_until_us = Micros(lease.asked_us + _VALID_US)
        lease.is_expiry_noted = False
        lease.due_us = Micros(lease.asked_us + _RENEW_US)
        self._tell_candidates(tick, lease)

    def _tell_candidates(self, tick: Tick, lease: LeaseRow) -> None:
        own_id, rank = self._me.node_id, self._ranks.own
        is_released = lease.holder is None
        renewed = LeaseRenewed(own_id, lease.partition, lease.version or 0, is_released)
        for node_id in (*rank.relays, *rank.deputies):
            node = self._directory.get(node_id)
            if node is not None and node_id != own_id:
                tick.emit(PeerSend(node.peer_address, renewed))

    def _lose(self, tick: Tick, lease: LeaseRow, reason: str) -> None:
        lease.step = LeaseStep.NONE
        if lease.state is LeaseState.HELD:
            lease.state, lease.term = LeaseState.OTHERS, LeaseTerm(0)
            tick.emit(Noted(Event.LEASE_LOST, detail=f"{lease.key.name}: {reason}"))
            tick.post(LeaseLost(lease.partition))

    def _read_soon(self, tick: Tick, lease: LeaseRow) -> None:
        lease.version = None
        lease.due_us = tick.now_us

    def _is_leaving(self) -> bool:
        own = self._directory.get(self._me.node_id)
        return own is None or own.state in _LEAVING_STATES

    def _release_all(self, tick: Tick) -> None:
        """Let other nodes take the leases of this node at once."""
        for lease in self._tables.leases:
            if lease.state is not LeaseState.HELD:
                continue
            self._release(tick, lease)
            if lease.step is LeaseStep.NONE and lease.version is not None:
                self._write(tick, lease, LeaseStep.RELEASE)

    def _release(self, tick: Tick, lease: LeaseRow) -> None:
        """Stop lending, before the store holds the release."""
        if lease.state is not LeaseState.HELD:
            return
        lease.state, lease.term = LeaseState.OTHERS, LeaseTerm(0)
        tick.emit(Noted(Event.LEASE_RELEASED, detail=lease.key.name))
        tick.post(LeaseLost(lease.partition))

    def _retry_later(self, tick: Tick, lease: LeaseRow) -> None:
        lease.step = LeaseStep.NONE
        is_held = lease.state is LeaseState.HELD
        pause_us = _RETRY_US if is_held else _STANDBY_RETRY_US
        lease.due_us = Micros(tick.now_us + pause_us)

    def _take_steps(self, tick: Tick) -> None:
        """Make the store calls that are due, and set the timer of the next."""
        next_us: Micros | None = None
        for lease in self._tables.leases:
            if lease.state is LeaseState.HELD:
                self._note_expiry(tick, lease)
            if lease.step is not LeaseStep.NONE:
                continue
            if tick.now_us >= lease.due_us and not self._step(tick, lease):
                continue
            if lease.step is LeaseStep.NONE:
                next_us = (
                    lease.due_us if next_us is None else min(next_us, lease.due_us)
                )
        if next_us is not None:
            tick.set_timer("quota leases", next_us, LeaseStepDue())

    def _step(self, tick: Tick, lease: LeaseRow) -> bool:
        """Make the call that is due; return False if there is none to make."""
        if lease.state is LeaseState.HELD:
            if lease.version is None:
                self._read(tick, lease)
            else:
                self._write(tick, lease, LeaseStep.RENEW)
            return True
        if self._contact.role is WatchRole.STARTING:
            lease.due_us = Micros(tick.now_us + _ROLE_CHECK_US)
            return True
        is_own = lease.holder == self._me.node_id
        if self._turn(lease) is None and not is_own:
            return False
        if lease.version is None:
            self._read(tick, lease)
        else:
            self._consider(tick, lease)
        return True

    def _note_expiry(self, tick: Tick, lease: LeaseRow) -> None:
        if tick.now_us >= lease.valid_until_us and not lease.is_expiry_noted:
            lease.is_expiry_noted = True
            tick.emit(Noted(Event.LEASE_EXPIRED, detail=lease.key.name))

    def _read(self, tick: Tick, lease: LeaseRow) -> None:
        self._begin(tick, lease, LeaseStep.READ)
        tick.emit(ReadObject(lease.key, lease.request_id))

    def _write(self, tick: Tick, lease: LeaseRow, step: LeaseStep) -> None:
        self._begin(tick, lease, step)
        me = self._me
        lease.renewals += 1
        holder = None if step is LeaseStep.RELEASE else me.node_id
        value = QuotaLease(holder, me.incarnation, lease.renewals)
        expected = lease.version or 0
        tick.emit(UpdateObject(lease.key, lease.request_id, expected, value))

    def _begin(self, tick: Tick, lease: LeaseRow, step: LeaseStep) -> None:
        self._requests += 1
        lease.step, lease.asked_us = step, tick.now_us
        lease.request_id = StoreRequestId(f"quota-{self._requests}")
