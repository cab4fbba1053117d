"""Detection of replayed, cancelled and outdated offers at an owner node."""

from collections import OrderedDict
from enum import Enum

from papayapost.define import define
from papayapost.ids import AttemptId, ConnectionEpoch, Incarnation, NodeId
from papayapost.kernel import Table
from papayapost.traffic.messages import AttemptOffer

__all__ = ["OfferStatus", "SeenAttempts", "SenderRow"]

_MAX_SEEN = 16_384
_MAX_CANCELLED = 4_096


class OfferStatus(Enum):
    """What an owner node knows about an offer when it arrives.

    `CANCELLED` covers offers whose cancellation arrived first and offers of
    an earlier process of the entry node; no caller waits for either. `STALE`
    offers were sent on a connection that the entry node has since replaced.
    """

    NEW = "new"
    REPLAYED = "replayed"
    CANCELLED = "cancelled"
    STALE = "stale"


@define
class SenderRow:
    """What the owner node knows about one entry node from its offers.

    Parameters
    ----------
    incarnation
        Newest incarnation of the entry node that sent an offer.
    epoch
        Newest connection epoch of that incarnation.
    evicted_sequence
        Highest sequence number among the attempts that were evicted from
        `SeenAttempts` to bound its memory; 0 if none was.
    """

    incarnation: Incarnation
    epoch: ConnectionEpoch
    evicted_sequence: int = 0


class SeenAttempts:
    """Recognises repeated offers within bounded memory.

    The oldest attempts are evicted first, and the highest evicted sequence
    number of each entry node is stored. An offer with that number or a lower
    one may be a replay and counts as one: it does not run and is not answered.
    """

    def __init__(self):
        self.senders: Table[NodeId, SenderRow] = Table("senders")
        self._seen: OrderedDict[AttemptId, tuple[SenderRow, int]] = OrderedDict()
        self._cancelled: OrderedDict[AttemptId, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Record a cancellation that arrived before the attempt's offer."""
        if attempt_id in self._seen:
            return
        self._cancelled[attempt_id] = None
        if len(self._cancelled) > _MAX_CANCELLED:
            self._cancelled.popitem(last=False)

    def classify(self, offer: AttemptOffer) -> OfferStatus:
        """Return the status of an offer, and record its attempt as seen."""
        if offer.attempt_id in self._seen:
            return OfferStatus.REPLAYED
        sender = self._sender(offer)
        is_current_incarnation = offer.incarnation == sender.incarnation
        if is_current_incarnation and 0 < offer.sequence <= sender.evicted_sequence:
            return OfferStatus.REPLAYED
        self._record_seen(
            offer, sender, offer.sequence if is_current_incarnation else 0
        )
        if offer.attempt_id in self._cancelled:
            del self._cancelled[offer.attempt_id]
            return OfferStatus.CANCELLED
        if not is_current_incarnation:
            return OfferStatus.CANCELLED
        if offer.epoch < sender.epoch:
            return OfferStatus.STALE
        sender.epoch = offer.epoch
        return OfferStatus.NEW

    def _sender(self, offer: AttemptOffer) -> SenderRow:
        sender = self.senders.get(offer.sender)
        if sender is None or offer.incarnation > sender.incarnation:
            sender = SenderRow(offer.incarnation, offer.epoch)
            self.senders.put(offer.sender, sender)
        return sender

    def _record_seen(
        self, offer: AttemptOffer, sender: SenderRow, sequence: int
    ) -> None:
        self._seen[offer.attempt_id] = (sender, sequence)
        if len(self._seen) > _MAX_SEEN:
            _, (oldest_sender, oldest_sequence) = self._seen.popitem(last=False)
            oldest_sender.evicted_sequence = max(
                oldest_sender.evicted_sequence, oldest_sequence
            )
