"""The system that holds the leases of a region's lenders in the store.

Load patterns that it answers: lenders killed, cut off or stopped under load,
all nodes restarted at once, a store that is down or refuses some nodes, and
one that comes back from a copy without the newest leases.
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
    StoreEra,
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
    ObjectsListed,
    ObjectUpdated,
    ReadObject,
    StoreEraChanged,
    StoreReadFailed,
    StoreRequestId,
    StoreVersion,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    era_of,
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

_REREAD_US = 1_000_000
"""Time after which a candidate reads a lease in a new era, unless the holder
has told of a renewal before."""

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

    In a new era of the store, a record that was written in an earlier one does
    not tell who the last holder was. The holder of the era before goes on and
    writes the lease again; any other node waits until all holders of earlier
    eras have stopped.
    """

    consumes = (
        DirectoryChanged,
        LeaseRenewed,
        LeaseStepDue,
        ObjectRead,
        ObjectUpdated,
        ObjectsListed,
        RulesInForce,
        StoreEraChanged,
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
        self._record_era(tick)
        for changed in tick.take(StoreEraChanged):
            self._apply_era(tick, changed.era)
        self._apply_answers(tick)
        self._apply_failures(tick)
        for renewed in tick.take(LeaseRenewed):
            self._apply_renewal(tick, renewed)
        if not self._tables.are_quotas_in_force:
            return
        if tick.take(DirectoryChanged) and self._is_leaving():
            self._release_all(tick)
        self._take_steps(tick)

    def _record_era(self, tick: Tick) -> None:
        """Learn the first era from any answer of the store."""
        versions: list[int] = []
        for read in tick.take(ObjectRead):
            is_rules = read.key.kind is ObjectKind.CONFIG
            versions.append(read.position if is_rules else read.version)
        for listed in tick.take(ObjectsListed):
            versions += [found.version for found in listed.objects]
        versions += [updated.version for updated in tick.take(ObjectUpdated)]
        if not versions:
            return
        known = self._tables.store_era
        known.era = max(known.era, *(era_of(StoreVersion(v)) for v in versions))
        if known.heard_us is None:
            known.heard_us = tick.now_us

    def _apply_era(self, tick: Tick, era: StoreEra) -> None:
        """Have all leases read again, and give up those of unknown standing.

        A lease that is valid now and was written in the era just before had
        no other holder until then. One that has expired, or that is older than
        that, may have been lent by another node whose record is lost.
        """
        known = self._tables.store_era
        known.era, known.heard_us = era, tick.now_us
        for lease in self._tables.leases:
            is_held = lease.state is LeaseState.HELD
            if is_held and not (
                lease.is_valid(tick.now_us) and lease.held_era + 1 == era
            ):
                self._lose(tick, lease, f"the store is in era {era}")
            lease.version = None
            is_held = lease.state is LeaseState.HELD
            lease.due_us = Micros(tick.now_us + (0 if is_held else _REREAD_US))

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
        lease.holder, lease.era = None, StoreEra(0)
        if isinstance(value, QuotaLease):
            lease.holder, lease.era = value.holder, value.era
            lease.incarnation = value.incarnation
        if lease.state is LeaseState.HELD:
            if self._is_own_process(lease) or self._may_claim_again(lease):
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
        lease.era = era_of(StoreVersion(renewed.version))
        if lease.step is LeaseStep.NONE:
            lease.due_us = self._take_us(lease) or lease.due_us

    def _is_own_process(self, lease: LeaseRow) -> bool:
        me = self._me
        return lease.holder == me.node_id and lease.incarnation == me.incarnation

    def _may_claim_again(self, lease: LeaseRow) -> bool:
        """Return whether the store has lost the record of an own lease."""
        era = self._tables.store_era.era
        return not lease.is_confirmed(era) and lease.held_era + 1 == era

    def _lost_until_us(self, lease: LeaseRow) -> Micros | None:
        """Return when holders whose record is lost stop; None without any."""
        known = self._tables.store_era
        if known.heard_us is None or lease.is_confirmed(known.era):
            return None
        return Micros(known.heard_us + _VALID_US)

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
        is_own = lease.holder == self._me.node_id
        if turn is None and not is_own:
            return None
        turn_us = (turn or 0) * _TURN_US
        wait_us = 0 if lease.holder is None else _TAKEOVER_US
        take_us = lease.seen_us + (0 if is_own else wait_us + turn_us)
        lost_until_us = self._lost_until_us(lease)
        if lost_until_us is not None:
            # The holder, which may go on without a wait, comes first.
            after_us = lost_until_us + _TAKEOVER_US - _VALID_US + turn_us
            take_us = max(take_us, after_us)
        return Micros(take_us)

    def _stopped_us(self, tick: Tick, lease: LeaseRow) -> Micros:
        """Return when all former lenders have stopped at the latest."""
        stopped_us = Micros(lease.seen_us + _VALID_US)
        if lease.holder == self._me.node_id:
            stopped_us = tick.now_us
        elif lease.holder is None:
            stopped_us = lease.seen_us
        return max(stopped_us, self._lost_until_us(lease) or stopped_us)

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
        lease.held_era = era_of(StoreVersion(version))
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
        if not lease.is_confirmed(self._tables.store_era.era):
            # They would take the lease as free of holders that the store lost.
            return
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
            if self._must_read(lease):
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
        if self._must_read(lease):
            self._read(tick, lease)
        else:
            self._consider(tick, lease)
        return True

    def _must_read(self, lease: LeaseRow) -> bool:
        """Return whether the version is unknown, or one of an earlier era."""
        version = lease.version
        if version is None:
            return True
        era = era_of(StoreVersion(version))
        return bool(version) and era < self._tables.store_era.era

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
        expected = lease.version or 0
        store_era = self._tables.store_era.era
        if step is not LeaseStep.RELEASE or lease.is_confirmed(store_era):
            lease.era = era_of(StoreVersion(expected)) if expected else store_era
        value = QuotaLease(holder, me.incarnation, lease.renewals, lease.era)
        tick.emit(UpdateObject(lease.key, lease.request_id, expected, value))

    def _begin(self, tick: Tick, lease: LeaseRow, step: LeaseStep) -> None:
        self._requests += 1
        lease.step, lease.asked_us = step, tick.now_us
        lease.request_id = StoreRequestId(f"quota-{self._requests}")
