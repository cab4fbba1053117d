"""Refusals and failures that an owner node sends to entry nodes."""

from papayapost.kernel import Tick
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.traffic.messages import (
    AttemptFailed,
    AttemptOffer,
    AttemptRefused,
    RefusalCode,
)
from papayapost.traffic.owner.tables import OwnerTables
from papayapost.traffic.owner_messages import DropOffer

__all__ = ["Replies"]

_MIN_RETRY_AFTER_MS = 20
_MAX_RETRY_AFTER_MS = 5_000


class Replies:
    """Sends refusals and failures to the entry node of an attempt.

    If this node is itself the entry node, the reply is posted as an internal
    message; otherwise it is sent to the peer.
    """

    def __init__(self, me: SelfRow, tables: OwnerTables):
        self._me = me
        self._tables = tables

    def refuse_for_link(
        self, tick: Tick, offer: AttemptOffer, link_wait_us: float
    ) -> None:
        """Refuse an attempt whose answer would leave this VM too late.

        The code is that of an attempt that would wait too long for a slot, so
        that nodes of earlier versions can read it.
        """
        self._tables.counters.link_full += 1
        code = RefusalCode.NO_FREE_SLOT
        if offer.may_queue:
            code = RefusalCode.DEADLINE
        self.refuse(tick, offer, code, link_wait_us, int(link_wait_us / 1_000))

    def refuse(
        self,
        tick: Tick,
        offer: AttemptOffer,
        code: RefusalCode,
        wait_us: float,
        link_wait_ms: int | None = None,
    ) -> None:
        """Tell the entry node that an attempt was not run and never will be.

        Parameters
        ----------
        wait_us
            Expected wait in µs of a new attempt. The caller is asked to retry
            after about that time; jitter of ±25 % spreads the retries.
        link_wait_ms
            Time in ms for which the link is busy, if that is the reason.
        """
        self._tables.counters.refused[offer.rank] += 1
        jitter = 0.75 + 0.5 * tick.random.random()
        wait_ms = max(_MIN_RETRY_AFTER_MS, wait_us / 1_000) * jitter
        refused = AttemptRefused(
            self._me.node_id,
            offer.attempt_id,
            code,
            int(min(_MAX_RETRY_AFTER_MS, wait_ms)),
            self._tables.free_slots,
            link_wait_ms,
        )
        tick.emit(DropOffer(offer.attempt_id))
        self._send(tick, offer, refused)

    def fail(self, tick: Tick, offer: AttemptOffer) -> None:
        """Tell the entry node that an attempt failed but may have run."""
        failed = AttemptFailed(
            self._me.node_id, offer.attempt_id, self._tables.free_slots
        )
        self._send(tick, offer, failed)

    def _send(
        self, tick: Tick, offer: AttemptOffer, message: AttemptRefused | AttemptFailed
    ) -> None:
        if offer.sender == self._me.node_id:
            tick.post(message)
        else:
            tick.emit(PeerSend(offer.reply_to, message))
