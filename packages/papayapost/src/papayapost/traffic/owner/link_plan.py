"""Plans the large answers that the outbound link of this VM has to carry."""

from papayapost.define import define
from papayapost.ids import Micros
from papayapost.kernel import Table
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.tables import (
    OwnedRow,
    OwnerTables,
    WorkClass,
    work_class,
)

__all__ = ["LARGE_ANSWER_BYTES", "LinkPlan", "bulk_bytes_per_us"]

LARGE_ANSWER_BYTES = 16 << 10
"""Size above which an answer is paced. It takes 40 ms on a link of
3.5 Mbit/s."""

_SMALL_TRAFFIC_MBPS = 1.05
"""Part of a link that is left to small answers, offers and heartbeats. They
take up to a quarter of links of 3.5 Mbit/s, and do not grow with the link."""

_MIN_BULK_SHARE = 0.7
_MAX_BULK_SHARE = 0.85

_PROBE_TARGET_SHARE = 0.25
"""Longest wait for the link, as a share of the time left to the target, of an
attempt that can still be offered to other owner nodes."""

_TARGET_SHARE = 0.9
"""Share of the time left to the target that an answer may take with its wait
for the link. The rest is for the entry node and the caller."""

_SHORT_WAIT_US = 125_000
"""Wait for the link that is always accepted, as for a slot."""

_SIZE_WEIGHT = 0.2
_MAX_CLASSES = 256


def bulk_bytes_per_us(link_mbps: float) -> float:
    """Return the rate at which large answers may enter a link, in bytes/µs.

    Examples
    --------
    >>> rates_mbps = (2, 3.5, 5, 10)
    >>> [round(bulk_bytes_per_us(rate) * 8 / rate, 2) for rate in rates_mbps]
    [0.7, 0.7, 0.79, 0.85]
    """
    bulk_mbps = max(link_mbps - _SMALL_TRAFFIC_MBPS, link_mbps * _MIN_BULK_SHARE)
    return min(bulk_mbps, link_mbps * _MAX_BULK_SHARE) / 8


@define
class AnswerSizeRow:
    """Decayed mean length in bytes of the answers to one class of work."""

    mean_bytes: float


class LinkPlan:
    """Estimates when a large answer would have left this VM.

    Load pattern: five servers serve all downloads of a mesh over links of 5 to
    10 Mbit/s. Slots are free all the time, as a download holds one for a tenth
    of a second, while its answer waits behind others for seconds. Attempts go
    on to such a server until its link has a backlog of several targets.

    Large answers leave one after the other at a fixed rate (`BulkPacer`), so
    that the backlog follows from the lengths of the answers that have ended,
    and of those that running and waiting attempts will have.
    """

    def __init__(self, me: SelfRow, directory: Directory, tables: OwnerTables):
        self._me = me
        self._directory = directory
        self._tables = tables
        self._sizes: Table[WorkClass, AnswerSizeRow] = Table("answer sizes")

    def is_known_small(self, offer: AttemptOffer) -> bool:
        """Return whether the answer will not wait behind large ones."""
        row = self._sizes.get(work_class(offer))
        is_small = row is not None and row.mean_bytes <= LARGE_ANSWER_BYTES
        return is_small and self._bytes_per_us > 0

    def plans(self, offer: AttemptOffer) -> bool:
        """Return whether the answer will probably wait for the link."""
        return self._planned_bytes(offer) > 0 and self._bytes_per_us > 0

    def wait_us(self, offer: AttemptOffer, now_us: Micros) -> float:
        """Return for how long the link would be busy with earlier answers."""
        rate = self._bytes_per_us
        if not rate:
            return 0.0
        ahead = self._tables.attempts
        ahead_bytes = sum(self._planned_bytes(row.offer) for row in ahead)
        return self._tables.link_wait_us(now_us) + ahead_bytes / rate

    def is_worthwhile(
        self, offer: AttemptOffer, work_us: float, now_us: Micros
    ) -> bool:
        """Return whether an attempt's answer can leave in time.

        Parameters
        ----------
        work_us
            Expected time in µs until the backend server has answered.
        """
        wait_us = max(0.0, self.wait_us(offer, now_us) - work_us)
        sending_us = self._planned_bytes(offer) / self._bytes_per_us
        needed_us = work_us + wait_us + sending_us
        if needed_us > offer.budget_us:
            return False
        if offer.target_us is None or wait_us <= _SHORT_WAIT_US:
            return True
        if not offer.may_queue:
            return wait_us <= offer.target_us * _PROBE_TARGET_SHARE
        return needed_us <= offer.target_us * _TARGET_SHARE

    def ended(self, row: OwnedRow, answer_bytes: int, now_us: Micros) -> None:
        """Add the whole answer of an attempt to what the link has to send."""
        self._learn(row.offer, answer_bytes)
        rate, tables = self._bytes_per_us, self._tables
        is_remote = row.offer.sender != self._me.node_id
        if rate and is_remote and answer_bytes > LARGE_ANSWER_BYTES:
            begin_us = max(tables.link_free_us, now_us)
            tables.link_free_us = begin_us + int(answer_bytes / rate)

    def unblocked(self, now_us: Micros) -> None:
        """Correct the estimate once no answer is left to send."""
        if not self._tables.blocked_answers:
            self._tables.link_free_us = min(self._tables.link_free_us, now_us)

    @property
    def _bytes_per_us(self) -> float:
        row = self._directory.get(self._me.node_id)
        return bulk_bytes_per_us(row.link_mbps) if row is not None else 0.0

    def _planned_bytes(self, offer: AttemptOffer) -> float:
        """Return the length of a large answer to another node, else 0."""
        if offer.sender == self._me.node_id:
            return 0.0
        row = self._sizes.get(work_class(offer))
        is_large = row is not None and row.mean_bytes > LARGE_ANSWER_BYTES
        return row.mean_bytes if row is not None and is_large else 0.0

    def _learn(self, offer: AttemptOffer, answer_bytes: int) -> None:
        work = work_class(offer)
        row = self._sizes.get(work)
        if row is not None:
            row.mean_bytes += _SIZE_WEIGHT * (answer_bytes - row.mean_bytes)
            return
        if len(self._sizes) >= _MAX_CLASSES:
            oldest, _ = next(iter(self._sizes.items()))
            self._sizes.pop(oldest)
        self._sizes.put(work, AnswerSizeRow(float(answer_bytes)))
