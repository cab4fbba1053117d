"""What is known of the mesh: live rows, tombstones, digests and order."""

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

__all__ = ["Members", "Merged"]

MAX_SKEW_US = 3_600 * 1_000_000
MAX_REVISION = 1_000_000_000
MAX_MEMBERS = 50_000
MAX_DATA_CENTRES = 64
MAX_TOMBSTONES = 10_000
TOMBSTONE_LIFE_US = 24 * 3_600 * 1_000_000
MAX_NAME_LENGTH = 64
MAX_SLOTS = 100_000
DEATHS_WINDOW_US = 60 * 1_000_000
_GREETED_TOMBSTONES = 1_000


class Merged(Enum):
    """What became of a row that another node sent."""

    CHANGED = "changed"
    SAME = "same"
    STALE = "stale"
    ABOUT_ME = "about-me"
    REFUSED = "refused"


class Members:
    """The directory with all that is derived from it.

    Every change of a row goes through `merge` or `put_own`, so that the
    digests and the ranking always fit the directory.

    Parameters
    ----------
    me
        This node.
    own
        This node's own row.

    Attributes
    ----------
    tombstones
        Members that left or died, oldest first.
    """

    def __init__(self, me: SelfRow, own: BackendServerRow):
        self.me = me
        self.directory: Directory = directory_table()
        self.tombstones: Table[NodeId, TombstoneRow] = Table("tombstones")
        self.digests = Digests()
        self.ranking = Ranking()
        self._started_us: Micros | None = None
        self._names: dict[str, str] = {}
        self._deaths: deque[tuple[Micros, NodeId]] = deque()
        self._accept(own)

    @property
    def own(self) -> BackendServerRow:
        """The row of this node itself."""
        return self.directory.require(self.me.node_id)

    def known(self, node_id: NodeId) -> BackendServerRow | None:
        """Return a member's newest row, also where it is gone."""
        row = self.directory.get(node_id)
        if row is not None:
            return row
        tombstone = self.tombstones.get(node_id)
        return tombstone.row if tombstone else None

    def merge(self, row: BackendServerRow, now_us: Micros) -> Merged:
        """Take a row in unless what is known supersedes it."""
        if not self.is_sane(row, now_us):
            return Merged.REFUSED
        known = self.known(row.node_id)
        if known is not None and row.precedence <= known.precedence:
            same = row.precedence == known.precedence
            return Merged.SAME if same else Merged.STALE
        if row.node_id == self.me.node_id:
            return Merged.ABOUT_ME
        if row.is_gone:
            self._bury(row, now_us)
        else:
            self._accept(row)
        return Merged.CHANGED

    def is_sane(self, row: BackendServerRow, now_us: Micros) -> bool:
        """Return whether a row's fields are within all bounds."""
        if self._started_us is None:
            self._started_us = now_us
        wall_us = self.me.incarnation + now_us - self._started_us
        names = (row.node_id, row.data_centre, row.region, row.service or "-")
        return (
            0 < row.incarnation <= wall_us + MAX_SKEW_US
            and 0 <= row.revision <= MAX_REVISION
            and 0 <= row.slots <= MAX_SLOTS
            and all(0 < len(name) <= MAX_NAME_LENGTH for name in names)
            and len(row.peer_address) <= MAX_NAME_LENGTH
            and self._has_room(row)
        )

    def put_own(self, own: BackendServerRow) -> None:
        """Replace this node's own row, or count its changed fields."""
        self._accept(own)

    def any_member(self, random: Random) -> BackendServerRow | None:
        """Return a random member of this data centre, live or gone."""
        live = self.ranking.sample(self.me.place.data_centre, 2, random)
        found = [self.directory.require(other) for other in live]
        if self.tombstones:
            index = random.randrange(min(len(self.tombstones), _GREETED_TOMBSTONES))
            found.append(next(islice(self.tombstones, index, None)).row)
        found = [row for row in found if row.node_id != self.me.node_id]
        return random.choice(found) if found else None

    def recent_deaths(self, now_us: Micros) -> int:
        """Return how many of this data centre were buried of late."""
        while self._deaths and self._deaths[0][0] < now_us - DEATHS_WINDOW_US:
            self._deaths.popleft()
        return sum(node_id in self.tombstones for _, node_id in self._deaths)

    def expire_tombstones(self, now_us: Micros) -> None:
        """Drop the tombstones that are past their life or too many."""
        tombstones = self.tombstones
        while tombstones:
            node_id, oldest = next(tombstones.items())
            is_old = oldest.buried_us < now_us - TOMBSTONE_LIFE_US
            if not is_old and len(tombstones) <= MAX_TOMBSTONES:
                return
            tombstones.pop(node_id)

    def _accept(self, row: BackendServerRow) -> None:
        row.service = self._share(row.service)
        row.data_centre = self._share(row.data_centre)
        row.region = self._share(row.region)
        self.tombstones.pop(row.node_id)
        self.directory.put(row.node_id, row)
        self.digests.put(row.data_centre, row.node_id, row.stamp)
        if row.state is BackendServerState.DRAINING:
            self.ranking.remove(row.node_id)
        else:
            self.ranking.add(row.node_id, row.place)

    def _bury(self, row: BackendServerRow, now_us: Micros) -> None:
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

    def _share(self, name):
        """Return one common string for equal names of many rows."""
        if name is None:
            return None
        if len(self._names) > MAX_MEMBERS:
            self._names.clear()
        return self._names.setdefault(name, name)
