"""Plans the large answers that the outbound link of this VM has to carry."""

from papayapost.define import define
from papayapost.ids import AttemptId, Micros
from papayapost.kernel import Table
from papayapost.membership import Directory
from papayapost.place import SelfRow
from papayapost.traffic.messages import AttemptOffer
from papayapost.traffic.owner.tables import OwnerTables, WorkClass, work_class

__all__ = ["LARGE_ANSWER_BYTES", "LinkPlan", "bulk_bytes_per_us"]

LARGE_ANSWER_BYTES = 16 << 10
"""Size above which an answer is paced. It takes 40 ms on a link of
3.5 Mbit/s."""

_BULK_SHARE = 0.7
"""Fraction of the link's rate for large answers. Small answers, offers and
heartbeats take up to a quarter of the links in known deployments."""

_MAX_WAIT_SHARE = 0.5
"""Longest wait for the link, as a share of the time that a stopping node has
for its running calls. The rest is for the work and for the answer itself."""

_SIZE_WEIGHT = 0.2
_MAX_CLASSES = 256


def bulk_bytes_per_us(link_mbps: float) -> float:
    """Return the rate in bytes/µs at which large answers may enter a link.

    Examples
    --------
    >>> bulk_bytes_per_us(8)
    0.7
    """
    return link_mbps * _BULK_SHARE / 8


@define
class AnswerSizeRow:
    """Decayed mean length in bytes of the answers to one class of work."""

    mean_bytes: float


class LinkPlan:
    """Estimates when the link of this VM will have sent a large answer.

    Load pattern: downloads arrive at a higher rate than the link carries. A
    download holds its slot for a short time only, so that slots are free while
    answers wait for the link for seconds, one behind the other. They are late,
    and if the node of a caller is asked to stop, those that wait for longer
    than it lives are lost, although their backend server has answered.

    Large answers leave one after the other at a fixed rate (`BulkPacer`), so
    that the backlog follows from the lengths of the answers that have ended,
    and of those that running and waiting attempts will have.

    Parameters
    ----------
    drain_limit_us
        Time in µs that a stopping node has for its running calls; None if it
        is not known.
    """

    def __init__(
        self,
        me: SelfRow,
        directory: Directory,
        tables: OwnerTables,
        drain_limit_us: Micros | None = None,
    ):
        self._me = me
        self._directory = directory
        self._tables = tables
        self._longest_wait_us = (
            None if drain_limit_us is None else drain_limit_us * _MAX_WAIT_SHARE
        )
        self._free_us = Micros(0)
        self._unsent_bytes: dict[AttemptId, int] = {}
        self._sizes: Table[WorkClass, AnswerSizeRow] = Table("answer sizes")

    def wait_us(self, offer: AttemptOffer, now_us: Micros) -> float:
        """Return for how long a new attempt's answer would find the link busy.

        The result is 0 for an attempt whose answer does not wait for the link.
        """
        rate = self._bytes_per_us
        if not rate or not self._planned_bytes(offer):
            return 0.0
        ahead = self._tables.attempts
        ahead_bytes = sum(self._planned_bytes(row.offer) for row in ahead)
        return max(0, self._free_us - now_us) + ahead_bytes / rate

    def delay_us(self, offer: AttemptOffer, work_us: float, now_us: Micros) -> float:
        """Return the time that an answer needs from its end until it is sent.

        Parameters
        ----------
        work_us
            Expected time in µs until the backend server has answered.
        """
        wait_us = self.wait_us(offer, now_us)
        if not self._bytes_per_us:
            return 0.0
        sending_us = self._planned_bytes(offer) / self._bytes_per_us
        return max(0.0, wait_us - work_us) + sending_us

    def is_deliverable(
        self, offer: AttemptOffer, work_us: float, now_us: Micros
    ) -> bool:
        """Return whether an attempt's answer can be sent before its deadline.

        It must not wait for longer than a stopping node could wait for it.
        """
        wait_us = self.wait_us(offer, now_us)
        if not wait_us:
            return True
        longest_us = self._longest_wait_us
        if longest_us is not None and wait_us > longest_us:
            return False
        delay_us = self.delay_us(offer, work_us, now_us)
        return work_us + delay_us <= offer.budget_us

    def ended(self, offer: AttemptOffer, answer_bytes: int, now_us: Micros) -> None:
        """Add the whole answer of an attempt to what the link has to send."""
        self._learn(offer, answer_bytes)
        rate = self._bytes_per_us
        is_remote = offer.sender != self._me.node_id
        if rate and is_remote and answer_bytes > LARGE_ANSWER_BYTES:
            if self._free_us <= now_us:
                self._unsent_bytes.clear()
            begin_us = max(self._free_us, now_us)
            self._free_us = Micros(begin_us + int(answer_bytes / rate))
            self._unsent_bytes[offer.attempt_id] = answer_bytes

    def sent(self, attempt_id: AttemptId, now_us: Micros) -> None:
        """Record that no part of an answer is left to send."""
        self._unsent_bytes.pop(attempt_id, None)
        if not self._tables.blocked_answers:
            self._unsent_bytes.clear()
            self._free_us = min(self._free_us, now_us)

    def cancelled(self, attempt_id: AttemptId) -> None:
        """Take an answer that is not needed out of the plan."""
        unsent_bytes = self._unsent_bytes.pop(attempt_id, 0)
        if unsent_bytes:
            saved_us = int(unsent_bytes / self._bytes_per_us)
            self._free_us = Micros(self._free_us - saved_us)

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
