"""Table of the attempts that an owner node has decided on."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from papayapost.ids import AttemptId, ConnectionEpoch, Incarnation, NodeId
from papayapost.kernel import Table
from papayapost.traffic.messages import AttemptOffer

__all__ = ["Novelty", "SeenAttempts", "SenderRow"]

_MAX_SEEN = 16_384
_MAX_CANCELLED = 4_096


class Novelty(Enum):
    """What an owner node knows of an offer when it arrives.

    Nobody waits for a cancelled one, nor for one of a process that its
    node has since replaced.
    """

    NEW = "new"
    REPLAYED = "replayed"
    CANCELLED = "cancelled"
    STALE = "stale"


@dataclass(slots=True)
class SenderRow:
    """One entry node, as the owner knows it from its offers.

    Parameters
    ----------
    epoch
        The newest connection epoch of the incarnation.
    forgotten
        Attempts up to this sequence number may have been forgotten.
    """

    incarnation: Incarnation
    epoch: ConnectionEpoch
    forgotten: int = 0


class SeenAttempts:
    """Decides once for each attempt, within bounded memory.

    Forgetting an attempt raises its sender's mark: an offer below the mark
    may be a replay, so that nothing is said of it and it does not run.
    """

    def __init__(self):
        self.senders: Table[NodeId, SenderRow] = Table("senders")
        self._seen: OrderedDict[AttemptId, tuple[SenderRow, int]] = OrderedDict()
        self._cancelled: OrderedDict[AttemptId, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Keep a cancellation that came before its offer."""
        if attempt_id in self._seen:
            return
        self._cancelled[attempt_id] = None
        if len(self._cancelled) > _MAX_CANCELLED:
            self._cancelled.popitem(last=False)

    def classify(self, offer: AttemptOffer) -> Novelty:
        """Return what the offer is, and take it as seen from now on."""
        if offer.attempt_id in self._seen:
            return Novelty.REPLAYED
        sender = self._sender(offer)
        is_current = offer.incarnation == sender.incarnation
        if is_current and 0 < offer.sequence <= sender.forgotten:
            return Novelty.REPLAYED
        self._remember(offer, sender, offer.sequence if is_current else 0)
        if offer.attempt_id in self._cancelled:
            del self._cancelled[offer.attempt_id]
            return Novelty.CANCELLED
        if not is_current:
            return Novelty.CANCELLED
        if offer.epoch < sender.epoch:
            return Novelty.STALE
        sender.epoch = offer.epoch
        return Novelty.NEW

    def _sender(self, offer: AttemptOffer) -> SenderRow:
        sender = self.senders.get(offer.sender)
        if sender is None or offer.incarnation > sender.incarnation:
            sender = SenderRow(offer.incarnation, offer.epoch)
            self.senders.put(offer.sender, sender)
        return sender

    def _remember(self, offer: AttemptOffer, sender: SenderRow, sequence: int) -> None:
        self._seen[offer.attempt_id] = (sender, sequence)
        if len(self._seen) > _MAX_SEEN:
            _, (oldest, number) = self._seen.popitem(last=False)
            oldest.forgotten = max(oldest.forgotten, number)
