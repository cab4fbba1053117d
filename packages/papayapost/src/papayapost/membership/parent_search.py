"""Finds a parent, and replaces a parent that does not suit the ranking."""

from collections.abc import Sequence

from papayapost.define import define
from papayapost.ids import Address, Micros
from papayapost.kernel import System, Tick
from papayapost.membership.candidates import Candidates
from papayapost.membership.members import Members
from papayapost.membership.messages import DirectoryChanged, ParentChanged, ParentLost
from papayapost.membership.peer_messages import (
    Announcement,
    Detach,
    JoinAccepted,
    JoinRedirected,
    JoinRequest,
)
from papayapost.membership.progress_rows import NEVER, SeekRow
from papayapost.membership.ranking import rank_key
from papayapost.membership.tables import ParentRow, TreeTables
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.states import TreeState
from papayapost.storage import (
    ObjectKey,
    ObjectKind,
    ObjectRead,
    ReadObject,
    StoreRequestId,
)

__all__ = ["CONTACTS_REQUEST", "FindParent", "SeekDue", "own_directory_key"]

CONTACTS_REQUEST = StoreRequestId("membership/contacts")

_ANSWER_TIMEOUT_US = 1_000_000
_BACKOFF_MIN_US = 500_000
_BACKOFF_MAX_US = 15_000_000
_CHECK_INTERVAL_US = 10_000_000
_ROOT_DELAY_US = 60_000_000
_CONTACTS_DELAY_US = 15_000_000
_MAX_TRIES_PER_ROUND = 8
_MAX_CONTACTS = 8
_MAX_STORED_CONTACTS = 32
_MAX_RETRY_AFTER_US = 60_000_000


@define
class SeekDue:
    """Timer: begin a round of join requests."""


@define
class SeekTimedOut:
    """Timer: a candidate has not answered the join request."""

    target: Address


def own_directory_key(members: Members) -> ObjectKey:
    """Return the store key of the directory of this node's data centre."""
    return ObjectKey(ObjectKind.DIRECTORY, members.me.place.data_centre)


class FindParent(System):
    """Asks one candidate after another to be the parent until one accepts.

    If no higher-ranked member answers, the node becomes a root, which acts
    as link relay. A root keeps looking for a parent, so that several trees
    merge into one.

    Parameters
    ----------
    seeds
        Peer addresses from the settings, of nodes to contact first.
    """

    consumes = (
        DirectoryChanged,
        JoinAccepted,
        JoinRedirected,
        ObjectRead,
        ParentLost,
        SeekDue,
        SeekTimedOut,
    )

    def __init__(self, members: Members, tree: TreeTables, seeds: Sequence[Address]):
        me = members.me
        self._me = me
        self._members = members
        self._tree = tree
        self._directory_key = own_directory_key(members)
        self._is_seed_node = me.peer_address in seeds
        self._seeds = [seed for seed in seeds if seed != me.peer_address]
        self._candidates = Candidates(members, tree, self._seeds)

    def run(self, tick: Tick) -> None:
        """Process answers and time-outs, then begin a round if one is due."""
        for lost in tick.take(ParentLost):
            self._drop_parent(tick, lost.reason)
        for changed in tick.take(DirectoryChanged):
            self._handle_changes(tick, changed)
        for accepted in tick.take(JoinAccepted):
            self._handle_accepted(tick, accepted)
        for redirected in tick.take(JoinRedirected):
            self._handle_redirected(tick, redirected)
        for seen in tick.take(ObjectRead):
            if seen.key == self._directory_key and seen.value is not None:
                self._sample_stored_contacts(tick, seen)
        for timed_out in tick.take(SeekTimedOut):
            if timed_out.target == self._tree.seek.target:
                self._ask_next(tick)
        if tick.take(SeekDue):
            self._begin_round(tick)

    def _begin_round(self, tick: Tick) -> None:
        seek = self._tree.seek
        seek.tried.clear()
        seek.answers = 0
        if seek.silent_since_us == NEVER:
            seek.silent_since_us = tick.now_us
        if self._tree.state is TreeState.ROOT:
            self._announce(tick)
        if self._has_suitable_parent():
            self._schedule(tick, _CHECK_INTERVAL_US)
            return
        self._ask_next(tick)

    def _has_suitable_parent(self) -> bool:
        tree, me = self._tree, self._me
        if tree.parent is None:
            return False
        parent_id = tree.parent.node_id
        ranking = self._members.ranking
        return not tree.is_synced or ranking.is_suitable_parent(
            parent_id, me.node_id, me.place
        )

    def _ask_next(self, tick: Tick) -> None:
        seek, me = self._tree.seek, self._me
        seek.target = None
        if len(seek.tried) < _MAX_TRIES_PER_ROUND:
            seek.target = next(self._candidates.untried_addresses(), None)
        if seek.target is None:
            self._end_round(tick)
            return
        accepts_any = bool(self._tree.parent is None and (seek.tried or seek.rounds))
        seek.tried.add(seek.target)
        tree = self._tree
        request = JoinRequest(
            me.node_id,
            self._members.own,
            accepts_any,
            tree.own_version,
            tree.own_digest,
        )
        tick.emit(PeerSend(seek.target, request))
        due_us = Micros(tick.now_us + _ANSWER_TIMEOUT_US)
        tick.set_timer("seek answer", due_us, SeekTimedOut(seek.target))

    def _end_round(self, tick: Tick) -> None:
        tree, seek = self._tree, self._tree.seek
        seek.contacts.clear()
        if tree.parent is None:
            if self._may_be_root(tick):
                self._become_root(tick)
            if not seek.answers:
                self._read_stored_contacts(tick)
        seek.rounds += 1
        ceiling_us = _BACKOFF_MIN_US << min(seek.rounds, 6)
        self._schedule(tick, min(ceiling_us, _BACKOFF_MAX_US))

    def _read_stored_contacts(self, tick: Tick) -> None:
        """Read contacts from the stored directory if no candidate answers.

        Each node waits for a different time first, so that many nodes that
        start together do not read from the store at once.
        """
        seek = self._tree.seek
        silent_us = tick.now_us - max(seek.silent_since_us, seek.contacts_read_us)
        if silent_us > _CONTACTS_DELAY_US + self._node_offset_us(_CONTACTS_DELAY_US):
            seek.contacts_read_us = tick.now_us
            tick.emit(ReadObject(self._directory_key, CONTACTS_REQUEST))

    def _node_offset_us(self, span_us: int) -> int:
        """Return a time below `span_us` that depends on the node's name."""
        return rank_key(self._me.node_id)[0] % span_us

    def _may_be_root(self, tick: Tick) -> bool:
        seek = self._tree.seek
        ranked = self._candidates.ranked_addresses()
        if seek.answers:
            return not ranked
        knows_members = len(self._members.directory) > 1
        if knows_members:
            me = self._me
            ranking = self._members.ranking
            is_eligible = me.node_id in ranking.relays(me.place.data_centre)
        else:
            is_eligible = self._is_seed_node or not (
                self._seeds or seek.stored_contacts
            )
        silent_us = tick.now_us - seek.silent_since_us
        return is_eligible or silent_us > _ROOT_DELAY_US + self._node_offset_us(
            _ROOT_DELAY_US
        )

    def _become_root(self, tick: Tick) -> None:
        if self._tree.state is TreeState.ROOT:
            return
        self._tree.state = TreeState.ROOT
        tick.post(ParentChanged(None))

    def _announce(self, tick: Tick) -> None:
        """Announce this root to a random member, so that trees can merge."""
        me, members = self._me, self._members
        addresses = [*self._seeds, *self._tree.seek.stored_contacts]
        other = members.random_member(tick.random)
        if other is not None:
            addresses.append(other.peer_address)
        if addresses:
            announcement = Announcement(
                me.node_id, me.peer_address, (members.own,), True
            )
            tick.emit(PeerSend(tick.random.choice(addresses), announcement))

    def _handle_changes(self, tick: Tick, changed: DirectoryChanged) -> None:
        tree = self._tree
        if tree.parent is not None:
            parent_id = tree.parent.node_id
            if any(row.node_id == parent_id and row.is_gone for row in changed.rows):
                self._drop_parent(tick, "the parent left or died")
        elif tree.state is TreeState.ROOT and self._candidates.ranked_addresses():
            tick.set_timer("seek", self._jittered_retry_us(tick), SeekDue())

    def _handle_accepted(self, tick: Tick, accepted: JoinAccepted) -> None:
        tree, seek, me = self._tree, self._tree.seek, self._me
        self._raise_floor_version(accepted.last_version)
        parent = tree.parent
        if parent is not None and parent.node_id == accepted.sender:
            return
        ranks_above = rank_key(accepted.sender) < rank_key(me.node_id)
        if seek.target != accepted.reply_to or not ranks_above:
            tick.emit(PeerSend(accepted.reply_to, Detach(me.node_id)))
            return
        if parent is not None:
            tick.emit(PeerSend(parent.address, Detach(me.node_id)))
        self._attach(tick, accepted)

    def _attach(self, tick: Tick, accepted: JoinAccepted) -> None:
        tree = self._tree
        tree.parent = ParentRow(
            accepted.sender, accepted.reply_to, accepted.version, accepted.digest
        )
        tree.state = TreeState.ATTACHED
        tree.parent_answered_us = tick.now_us
        tree.seek = SeekRow(silent_since_us=tick.now_us)
        tick.cancel_timer("seek answer")
        tick.post(ParentChanged(tree.parent))
        tick.emit(Noted(Event.PARENT_FOUND, peer=accepted.sender))
        self._schedule(tick, _CHECK_INTERVAL_US)

    def _handle_redirected(self, tick: Tick, redirected: JoinRedirected) -> None:
        seek = self._tree.seek
        self._raise_floor_version(redirected.last_version)
        if seek.target != redirected.reply_to:
            return
        seek.answers += 1
        seek.silent_since_us = tick.now_us
        for contact in redirected.contacts[:_MAX_CONTACTS]:
            if rank_key(contact.node_id) < rank_key(self._me.node_id):
                seek.contacts.append(contact.address)
        while len(seek.contacts) > _MAX_CONTACTS:
            seek.contacts.popleft()
        retry_after_us = redirected.retry_after_ms * 1_000
        if retry_after_us > 0 and not redirected.contacts:
            seek.target = None
            tick.cancel_timer("seek answer")
            due_us = tick.now_us + min(retry_after_us, _MAX_RETRY_AFTER_US)
            tick.set_timer("seek", Micros(due_us), SeekDue())
            return
        self._ask_next(tick)

    def _sample_stored_contacts(self, tick: Tick, seen: ObjectRead) -> None:
        rows = getattr(seen.value, "rows", ())
        live = [row.peer_address for row in rows if not row.is_gone]
        count = min(len(live), _MAX_STORED_CONTACTS)
        self._tree.seek.stored_contacts = tuple(tick.random.sample(live, count))

    def _drop_parent(self, tick: Tick, reason: str) -> None:
        tree = self._tree
        if tree.parent is None:
            return
        tick.emit(Noted(Event.PARENT_LOST, peer=tree.parent.node_id, detail=reason))
        tree.parent = None
        tree.state = TreeState.SEEKING
        tree.seek = SeekRow(silent_since_us=tick.now_us)
        tick.post(ParentChanged(None))
        tick.set_timer("seek", self._jittered_retry_us(tick), SeekDue())

    def _raise_floor_version(self, version) -> None:
        self._tree.floor_version = max(self._tree.floor_version, version)

    def _schedule(self, tick: Tick, pause_us: int) -> None:
        jittered_us = tick.random.randrange(pause_us // 2, pause_us)
        tick.set_timer("seek", Micros(tick.now_us + jittered_us), SeekDue())

    def _jittered_retry_us(self, tick: Tick) -> Micros:
        return Micros(tick.now_us + tick.random.randrange(_BACKOFF_MIN_US))
