"""Store requests for claims; each claims object has at most one at a time."""

from papayapost.ids import Micros
from papayapost.kernel import Tick
from papayapost.observe import Event, Noted
from papayapost.storage import ReadObject, StoreRequestId, UpdateObject
from papayapost.traffic.claims.messages import (
    ClaimNeeded,
    ClaimsDue,
    ClaimSettled,
    ClaimVerdict,
)
from papayapost.traffic.claims.tables import (
    ClaimsObject,
    ClaimTables,
    ClaimToken,
    PartitionRow,
    PartitionState,
    digest_of_key,
)
from papayapost.traffic.messages import AttemptOffer

__all__ = ["ClaimStoreRequests", "offer_digest", "set_partition_timer", "settle_claim"]

_REQUEST_TIMEOUT_US = 2_000_000
_MIN_PAUSE_US = 100_000
_MIN_LOG_INTERVAL_US = 1_000_000
_MAX_PAUSE_US = 2_000_000


class ClaimStoreRequests:
    """Sends store requests for claims, and backs off after failures."""

    def __init__(self, tables: ClaimTables):
        self._tables = tables
        self._sequence = 0
        self._next_log_us = 0

    def read(self, tick: Tick, row: PartitionRow) -> None:
        """Request a read of a claims object."""
        row.state = PartitionState.READING
        tick.emit(ReadObject(row.key, self._begin_request(tick, row)))

    def write(
        self,
        tick: Tick,
        row: PartitionRow,
        tokens: dict[str, ClaimToken],
        granted: list[ClaimNeeded],
    ) -> None:
        """Request a conditional update of a claims object.

        The store replaces the object only if its version is still the one
        that this node knows.

        Parameters
        ----------
        tokens
            All claims of the new value, by key digest.
        granted
            Claims to grant once the update has taken effect.
        """
        self._tables.writes += 1
        row.in_flight = granted
        row.written = tokens
        row.state = PartitionState.WRITING
        request_id = self._begin_request(tick, row)
        value = ClaimsObject(tuple(tokens.values()))
        tick.emit(UpdateObject(row.key, request_id, row.version, value))

    def pause(self, tick: Tick, row: PartitionRow, reason: str) -> None:
        """Refuse all requested claims and back off from the store.

        Parameters
        ----------
        reason
            Cause of the failure, for the log.
        """
        row.state = PartitionState.PAUSED
        row.request_id = None
        row.failures = min(row.failures + 1, 8)
        for needed in row.waiting:
            if needed.may_be_written:
                # The refused claim may still be stored, so it must be deleted.
                row.releases[offer_digest(needed.offer)] = needed.offer.attempt_id
            settle_claim(tick, needed, ClaimVerdict.UNAVAILABLE)
        row.waiting = []
        max_pause_us = min(_MAX_PAUSE_US, _MIN_PAUSE_US << row.failures)
        set_partition_timer(
            tick, row, int(max_pause_us * (0.5 + tick.random.random() / 2))
        )
        if tick.now_us >= self._next_log_us:
            self._next_log_us = tick.now_us + _MIN_LOG_INTERVAL_US
            detail = f"{row.key.name}: {reason}"
            tick.emit(Noted(Event.CLAIMS_UNAVAILABLE, detail=detail))

    def _begin_request(self, tick: Tick, row: PartitionRow) -> StoreRequestId:
        self._sequence += 1
        row.request_id = StoreRequestId(f"claims/{self._sequence}")
        set_partition_timer(tick, row, _REQUEST_TIMEOUT_US)
        return row.request_id


def set_partition_timer(tick: Tick, row: PartitionRow, after_us: int) -> None:
    """Set the timer of a claims object; it replaces an earlier one."""
    due_us = Micros(tick.now_us + after_us)
    tick.set_timer(("claims", row.key), due_us, ClaimsDue(row.key))


def offer_digest(offer: AttemptOffer) -> str:
    """Return the hash of the idempotency key that an offer carries."""
    assert offer.idempotency_key is not None
    return digest_of_key(offer.idempotency_key)


def settle_claim(tick: Tick, needed: ClaimNeeded, verdict: ClaimVerdict) -> None:
    """Post the result of one requested claim."""
    tick.post(ClaimSettled(needed.offer.attempt_id, verdict))
