"""Known members of the mesh: live rows, tombstones, digests and ranking."""

from collections import deque
from enum import Enum
from itertools import islice
from random import Random

from papayapost.ids import Micros, NodeId
from papayapost.kernel import Table
from papayapost.membership.digests import Digests
from papayapost.membership.ranking import Ranking
from papayapost.membership.tables import (
    BackendServerRow,
    Directory,
    TombstoneRow,
    directory_table,
)
from papayapost.place import SelfRow
from papayapost.states import BackendServerState

__all__ = ["Members", "MergeResult"]

MAX_CLOCK_SKEW_US = 3_600 * 1_000_000
MAX_REVISION = 1_000_000_000
MAX_MEMBERS = 50_000
MAX_DATA_CENTRES = 64
MAX_TOMBSTONES = 10_000
TOMBSTONE_LIFETIME_US = 24 * 3_600 * 1_000_000
MAX_NAME_LENGTH = 64
MAX_SLOTS = 100_000
DEATHS_WINDOW_US = 60 * 1_000_000
_SAMPLED_TOMBSTONES = 1_000


class MergeResult(Enum):
    """Result of merging a row that was received from another node."""

    CHANGED = "changed"
    SAME = "same"
    STALE = "stale"
    ABOUT_SELF = "about-me"
    REFUSED = "refused"


class Members:
    """The directory, with the digests and the ranking derived from it.

    All changes of rows are made through `merge` or `put_own`, which also
    update the digests and the ranking.

    Parameters
    ----------
    me
        Identity and location of this node.
    own
        This node's own row in the directory.

    Attributes
    ----------
    directory
        Rows of the live members, this node included.
    tombstones
        Members that left or died, in the order in which this was learnt.
    """

    def __init__(self, me: SelfRow, own: BackendServerRow):
        self.me = me
        self.directory: Directory = directory_table()
        self.tombstones: Table[NodeId, TombstoneRow] = Table("tombstones")
        self.digests = Digests()
        self.ranking = Ranking()
        self._started_us: Micros | None = None
        self._interned_names: dict[str, str] = {}
        self._deaths: deque[tuple[Micros, NodeId]] = deque()
        self._put_live(own)

    @property
    def own(self) -> BackendServerRow:
        """The own row of this node in the directory."""
        return self.directory.require(self.me.node_id)

    def newest_row(self, node_id: NodeId) -> BackendServerRow | None:
        """Return the newest row of a member, also if it left or died."""
        row = self.directory.get(node_id)
        if row is not None:
            return row
        tombstone = self.tombstones.get(node_id)
        return tombstone.row if tombstone else None

    def merge(self, row: BackendServerRow, now_us: Micros) -> MergeResult:
        """Store a received row, unless it is invalid or not newer."""
        if not self.is_valid(row, now_us):
            return MergeResult.REFUSED
        known = self.newest_row(row.node_id)
        if known is not None and row.precedence <= known.precedence:
            is_same = row.precedence == known.precedence
            return MergeResult.SAME if is_same else MergeResult.STALE
        if row.node_id == self.me.node_id:
            return MergeResult.ABOUT_SELF
        if row.is_gone:
            self._add_tombstone(row, now_us)
        else:
            self._put_live(row)
        return MergeResult.CHANGED

    def is_valid(self, row: BackendServerRow, now_us: Micros) -> bool:
        """Return whether all fields of a row are within their limits."""
        if self._started_us is None:
            self._started_us = now_us
        wall_us = self.me.incarnation + now_us - self._started_us
        names = (row.node_id, row.data_centre, row.region, row.service or "-")
        return (
            0 < row.incarnation <= wall_us + MAX_CLOCK_SKEW_US
            and 0 <= row.revision <= MAX_REVISION
            and 0 <= row.slots <= MAX_SLOTS
            and all(0 < len(name) <= MAX_NAME_LENGTH for name in names)
            and len(row.peer_address) <= MAX_NAME_LENGTH
            and self._has_room(row)
        )

    def put_own(self, own: BackendServerRow) -> None:
        """Store this node's own row and update the digests and the ranking."""
        self._put_live(own)

    def random_member(self, random: Random) -> BackendServerRow | None:
        """Return a random member, live or gone, other than this node.

        Live members are drawn from this data centre; tombstones may belong
        to any. Returns None if no other member is found.
        """
        live = self.ranking.sample(self.me.place.data_centre, 2, random)
        found = [self.directory.require(other) for other in live]
        if self.tombstones:
            index = random.randrange(min(len(self.tombstones), _SAMPLED_TOMBSTONES))
            found.append(next(islice(self.tombstones, index, None)).row)
        found = [row for row in found if row.node_id != self.me.node_id]
        return random.choice(found) if found else None

    def recent_deaths(self, now_us: Micros) -> int:
        """Return how many members of this data centre recently left or died.

        It counts those of the last `DEATHS_WINDOW_US`, except members that
        have come back.
        """
        while self._deaths and self._deaths[0][0] < now_us - DEATHS_WINDOW_US:
            self._deaths.popleft()
        return sum(node_id in self.tombstones for _, node_id in self._deaths)

    def expire_tombstones(self, now_us: Micros) -> None:
        """Remove tombstones that are too old, and the oldest if too many."""
        tombstones = self.tombstones
        while tombstones:
            node_id, oldest = next(tombstones.items())
            is_old = oldest.created_us < now_us - TOMBSTONE_LIFETIME_US
            if not is_old and len(tombstones) <= MAX_TOMBSTONES:
                return
            tombstones.pop(node_id)

    def _put_live(self, row: BackendServerRow) -> None:
        row.service = self._intern(row.service)
        row.data_centre = self._intern(row.data_centre)
        row.region = self._intern(row.region)
        self.tombstones.pop(row.node_id)
        self.directory.put(row.node_id, row)
        self.digests.put(row.data_centre, row.node_id, row.stamp)
        if row.state is BackendServerState.DRAINING:
            self.ranking.remove(row.node_id)
        else:
            self.ranking.add(row.node_id, row.place)

    def _add_tombstone(self, row: BackendServerRow, now_us: Micros) -> None:
        was_alive = self.directory.pop(row.node_id) is not None
        self.tombstones.pop(row.node_id)
        self.tombstones.put(row.node_id, TombstoneRow(row, now_us))
        self.digests.remove(row.node_id)
        self.ranking.remove(row.node_id)
        if was_alive and row.data_centre == self.me.place.data_centre:
            self._deaths.append((now_us, row.node_id))

    def _has_room(self, row: BackendServerRow) -> bool:
        if row.node_id in self.directory or row.is_gone:
            return True
        if len(self.directory) >= MAX_MEMBERS:
            return False
        data_centres = self.digests.data_centres()
        is_known = row.data_centre in data_centres
        return is_known or len(data_centres) < MAX_DATA_CENTRES

    def _intern(self, name):
        """Return the string object that all rows with an equal name share."""
        if name is None:
            return None
        if len(self._interned_names) > MAX_MEMBERS:
            self._interned_names.clear()
        return self._interned_names.setdefault(name, name)
