"""Requests to the object store about claims, one at a time for each object."""

from papayapost.ids import Micros
from papayapost.kernel import Tick
from papayapost.observe import Event, Noted
from papayapost.storage import ReadObject, RequestId, UpdateObject
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

__all__ = ["ClaimRequests", "digest_of", "set_due", "settle_claim"]

_REQUEST_TIMEOUT_US = 2_000_000
_PAUSE_MIN_US = 100_000
_NOTE_EVERY_US = 1_000_000
_PAUSE_MAX_US = 2_000_000


class ClaimRequests:
    """Reads, writes and pauses; shared by the systems of claims."""

    def __init__(self, tables: ClaimTables):
        self._tables = tables
        self._sequence = 0
        self._next_note_us = 0

    def read(self, tick: Tick, row: PartitionRow) -> None:
        """Read a claims object."""
        row.state = PartitionState.READING
        tick.emit(ReadObject(row.key, self._request(tick, row)))

    def write(
        self,
        tick: Tick,
        row: PartitionRow,
        tokens: dict[str, ClaimToken],
        granted: list[ClaimNeeded],
    ) -> None:
        """Replace a claims object if it is still as last seen."""
        self._tables.writes += 1
        row.in_flight = granted
        row.written = tokens
        row.state = PartitionState.WRITING
        request_id = self._request(tick, row)
        value = ClaimsObject(tuple(tokens.values()))
        tick.emit(UpdateObject(row.key, request_id, row.version, value))

    def pause(self, tick: Tick, row: PartitionRow, reason: str) -> None:
        """Refuse all wishes while the store gives no answer."""
        row.state = PartitionState.PAUSED
        row.request_id = None
        row.failures = min(row.failures + 1, 8)
        for needed in row.waiting:
            if needed.is_maybe_written:
                row.releases[digest_of(needed.offer)] = needed.offer.attempt_id
            settle_claim(tick, needed, ClaimVerdict.UNAVAILABLE)
        row.waiting = []
        longest_us = min(_PAUSE_MAX_US, _PAUSE_MIN_US << row.failures)
        set_due(tick, row, int(longest_us * (0.5 + tick.random.random() / 2)))
        if tick.now_us >= self._next_note_us:
            self._next_note_us = tick.now_us + _NOTE_EVERY_US
            detail = f"{row.key.name}: {reason}"
            tick.emit(Noted(Event.CLAIMS_UNAVAILABLE, detail=detail))

    def _request(self, tick: Tick, row: PartitionRow) -> RequestId:
        self._sequence += 1
        row.request_id = RequestId(f"claims/{self._sequence}")
        set_due(tick, row, _REQUEST_TIMEOUT_US)
        return row.request_id


def set_due(tick: Tick, row: PartitionRow, after_us: int) -> None:
    """Set the one timer of a claims object."""
    due_us = Micros(tick.now_us + after_us)
    tick.set_timer(("claims", row.key), due_us, ClaimsDue(row.key))


def digest_of(offer: AttemptOffer) -> str:
    """Return the hash of the key that an offer carries."""
    assert offer.idempotency_key is not None
    return digest_of_key(offer.idempotency_key)


def settle_claim(tick: Tick, needed: ClaimNeeded, verdict: ClaimVerdict) -> None:
    """Tell the verdict on one wish."""
    tick.post(ClaimSettled(needed.offer.attempt_id, verdict))
