"""Anti-entropy: finds missing rows by digests and fetches them in chunks."""

from collections import deque

from papayapost.define import define
from papayapost.ids import Address, Micros
from papayapost.kernel import System, Tick
from papayapost.membership.budget import Budget
from papayapost.membership.digests import BUCKETS
from papayapost.membership.members import Members
from papayapost.membership.messages import ParentChanged, RowsReceived
from papayapost.membership.peer_messages import (
    BucketDigests,
    BucketRows,
    BucketsWanted,
    DataCentreDigest,
    DigestsOffered,
    DirectoryDelta,
    HeartbeatAnswer,
)
from papayapost.membership.progress_rows import RepairRow
from papayapost.membership.tables import BackendServerRow, TreeTables
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend

__all__ = ["RepairDirectory", "ServeRepairs"]

_MISMATCHES_BEFORE_REPAIR = 3
_REPAIR_TIMEOUT_US = 5_000_000
_BUCKETS_PER_REQUEST = 4
_MAX_DATA_CENTRES = 64
_ROWS_PER_SECOND = 160
_PARENT_PROBABILITY = 0.3
_ROWS_BURST = 12_000
_MAX_WAITING = 64
_SERVE_RETRY_US = 200_000


@define
class RepairTimedOut:
    """Timer: the serving node has not answered a step of the repair."""


@define
class ServeDue:
    """Timer: serve the requests that are waiting for the row budget."""


class RepairDirectory(System):
    """Compares directory digests and fetches the buckets that differ.

    Digests differ for a short time while changes are disseminated. A repair
    therefore begins only after several heartbeat answers in a row with a
    different digest. A node that was never in sync begins at the first. The
    parent's digest decides whether a repair is needed, but any member can
    serve it.
    """

    consumes = (
        BucketDigests,
        BucketRows,
        HeartbeatAnswer,
        ParentChanged,
        RepairTimedOut,
    )

    def __init__(self, members: Members, tree: TreeTables):
        self._me = members.me
        self._members = members
        self._tree = tree
        self._mismatches = 0
        self._source: Address | None = None

    def run(self, tick: Tick) -> None:
        """Process timers and answers, and take the next step of the repair."""
        if tick.take(ParentChanged):
            self._stop(tick)
        if tick.take(RepairTimedOut):
            self._stop(tick)
        for answer in tick.take(HeartbeatAnswer):
            self._compare(tick, answer)
        for digests in tick.take(BucketDigests):
            self._begin_repair(tick, digests)
        for rows in tick.take(BucketRows):
            self._handle_rows(tick, rows)

    def _compare(self, tick: Tick, answer: HeartbeatAnswer) -> None:
        tree = self._tree
        if tree.parent is None or tree.parent.node_id != answer.sender:
            return
        if answer.directory_digest == self._members.digests.total:
            self._mismatches = 0
            tree.is_synced = True
            return
        self._mismatches += 1
        required_mismatches = _MISMATCHES_BEFORE_REPAIR if tree.is_synced else 1
        if tree.repair is None and self._mismatches >= required_mismatches:
            self._mismatches = 0
            self._offer_digests(tick, self._choose_source(tick, tree.parent.address))

    def _choose_source(self, tick: Tick, parent: Address) -> Address:
        """Return the address of the node that serves the repair.

        In most cases it is a random member, so that the load of many
        joining nodes is not on one parent.
        """
        other = self._members.random_member(tick.random)
        is_parent = tick.random.random() < _PARENT_PROBABILITY
        if other is None or other.is_gone or is_parent:
            return parent
        return other.peer_address

    def _offer_digests(self, tick: Tick, address: Address) -> None:
        self._source = address
        digests = self._members.digests
        offered = tuple(
            DataCentreDigest(data_centre, digests.of(data_centre))
            for data_centre in digests.data_centres()
        )
        me = self._me
        offer = DigestsOffered(me.node_id, me.peer_address, offered)
        tick.emit(PeerSend(address, offer))

    def _begin_repair(self, tick: Tick, digests: BucketDigests) -> None:
        is_expected = digests.reply_to == self._source
        if not is_expected or len(digests.buckets) != BUCKETS:
            return
        self._source = None
        local = self._members.digests.buckets_of(digests.data_centre)
        differing = deque(
            bucket
            for bucket in range(BUCKETS)
            if local[bucket] != digests.buckets[bucket]
        )
        self._tree.repair = RepairRow(digests.reply_to, digests.data_centre, differing)
        self._request_next(tick, self._tree.repair)

    def _request_next(self, tick: Tick, repair: RepairRow) -> None:
        if not repair.buckets:
            self._stop(tick)
            detail = f"data centre {repair.data_centre}"
            tick.emit(Noted(Event.DIRECTORY_REPAIRED, detail=detail))
            return
        count = min(_BUCKETS_PER_REQUEST, len(repair.buckets))
        wanted = tuple(repair.buckets.popleft() for _ in range(count))
        me = self._me
        request = BucketsWanted(me.node_id, me.peer_address, repair.data_centre, wanted)
        tick.emit(PeerSend(repair.source, request))
        due_us = Micros(tick.now_us + _REPAIR_TIMEOUT_US)
        tick.set_timer("repair", due_us, RepairTimedOut())

    def _handle_rows(self, tick: Tick, answer: BucketRows) -> None:
        repair = self._tree.repair
        if answer.rows:
            tick.post(RowsReceived(answer.sender, answer.reply_to, answer.rows))
        if repair is None or repair.source != answer.reply_to:
            return
        if repair.data_centre == answer.data_centre:
            self._send_missing(tick, answer)
            self._request_next(tick, repair)

    def _send_missing(self, tick: Tick, answer: BucketRows) -> None:
        """Send the serving node the rows that are missing there."""
        remote = {row.node_id for row in answer.rows}
        local = rows_of(self._members, answer.data_centre, answer.buckets)
        missing = tuple(row for row in local if row.node_id not in remote)
        if missing:
            me = self._me
            delta = DirectoryDelta(me.node_id, me.peer_address, missing)
            tick.emit(PeerSend(answer.reply_to, delta))

    def _stop(self, tick: Tick) -> None:
        self._tree.repair = None
        tick.cancel_timer("repair")


class ServeRepairs(System):
    """Serves digests and buckets of rows to other nodes, within a row budget.

    Each node has at most one waiting request. Requests are served in the
    order of arrival, so that no node starves.
    """

    consumes = (BucketsWanted, DigestsOffered, ServeDue)

    def __init__(self, members: Members):
        self._me = members.me
        self._members = members
        self._budget = Budget(_ROWS_PER_SECOND, _ROWS_BURST)
        self._waiting: dict[Address, BucketsWanted] = {}

    def run(self, tick: Tick) -> None:
        """Compare offered digests and serve requests within the row budget."""
        for offered in tick.take(DigestsOffered):
            self._compare(tick, offered)
        for wanted in tick.take(BucketsWanted):
            is_known = wanted.reply_to in self._waiting
            if is_known or len(self._waiting) < _MAX_WAITING:
                self._waiting[wanted.reply_to] = wanted
        self._serve(tick)

    def _compare(self, tick: Tick, offered: DigestsOffered) -> None:
        digests = self._members.digests
        remote = {
            item.data_centre: item.digest
            for item in offered.digests[:_MAX_DATA_CENTRES]
        }
        own = self._me.place.data_centre
        # This node's own data centre comes first, since most calls stay in it.
        data_centres = sorted(digests.data_centres(), key=lambda dc: (dc != own, dc))
        for data_centre in data_centres:
            if digests.of(data_centre) == remote.get(data_centre, 0):
                continue
            answer = BucketDigests(
                self._me.node_id,
                self._me.peer_address,
                data_centre,
                tuple(digests.buckets_of(data_centre)),
            )
            tick.emit(PeerSend(offered.reply_to, answer))
            return
        self._request_unknown(tick, offered)

    def _request_unknown(self, tick: Tick, offered: DigestsOffered) -> None:
        """Request the rows of a data centre that this node does not know.

        The answer lists empty buckets, so that the sender finds its own rows
        missing here and sends them.
        """
        known = self._members.digests.data_centres()
        for item in offered.digests[:_MAX_DATA_CENTRES]:
            if item.data_centre not in known and item.digest:
                answer = BucketDigests(
                    self._me.node_id,
                    self._me.peer_address,
                    item.data_centre,
                    (0,) * BUCKETS,
                )
                tick.emit(PeerSend(offered.reply_to, answer))
                return

    def _serve(self, tick: Tick) -> None:
        while self._waiting:
            address = next(iter(self._waiting))
            wanted = self._waiting[address]
            buckets = tuple(sorted(set(wanted.buckets[:_BUCKETS_PER_REQUEST])))
            rows = rows_of(self._members, wanted.data_centre, buckets)
            if not self._budget.take(min(len(rows), _ROWS_BURST), tick.now_us):
                due_us = Micros(tick.now_us + _SERVE_RETRY_US)
                tick.set_timer("serve repairs", due_us, ServeDue())
                return
            del self._waiting[address]
            me = self._me
            answer = BucketRows(
                me.node_id,
                me.peer_address,
                wanted.data_centre,
                buckets,
                tuple(rows),
            )
            tick.emit(PeerSend(address, answer))


def rows_of(members: Members, data_centre, buckets) -> list[BackendServerRow]:
    """Return the live rows in the given buckets of a data centre."""
    find = members.directory.find
    return [row for b in buckets for row in find("bucket", (data_centre, b))]
