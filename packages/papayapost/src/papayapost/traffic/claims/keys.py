"""Claims a caller's key in the object store before its call may run."""

from papayapost.kernel import System, Tick
from papayapost.traffic.claims.messages import (
    ClaimNeeded,
    ClaimUnused,
    ClaimVerdict,
    PartitionReady,
)
from papayapost.traffic.claims.pace import ClaimPace
from papayapost.traffic.claims.requests import (
    ClaimRequests,
    digest_of,
    set_due,
    settle_claim,
)
from papayapost.traffic.claims.tables import (
    ClaimTables,
    ClaimToken,
    PartitionRow,
    PartitionState,
    partition_of,
)
from papayapost.traffic.internal import TrafficStarted
from papayapost.traffic.messages import AttemptOffer

__all__ = ["RETENTION_S", "ClaimKeys"]

RETENTION_S = 900
"""How long a key stays claimed; a later repeat may run again."""

_MAX_TOKENS = 4_000
_FRESH_US = 1_000_000
_RELEASE_AFTER_US = 1_000_000


class ClaimKeys(System):
    """Adds claims to their partition by conditional updates.

    One update of a partition is under way at a time, and takes all wishes
    that came in since the last.
    """

    consumes = (TrafficStarted, ClaimNeeded, ClaimUnused, PartitionReady)

    def __init__(self, tables: ClaimTables, pace: ClaimPace, requests: ClaimRequests):
        self._tables = tables
        self._pace = pace
        self._requests = requests

    def run(self, tick: Tick) -> None:
        """Take what is given back first, then new wishes."""
        if tick.take(TrafficStarted):
            self._tables.started_us = tick.now_us
        for unused in tick.take(ClaimUnused):
            self._release(tick, unused.offer)
        for needed in tick.take(ClaimNeeded):
            self._wish(tick, needed)
        for ready in tick.take(PartitionReady):
            row = self._tables.partitions.require(ready.key)
            self._advance(tick, row, ready.is_due)

    def _wish(self, tick: Tick, needed: ClaimNeeded) -> None:
        key = partition_of(needed.offer.service, digest_of(needed.offer))
        row = self._tables.partitions.get(key)
        if row is None:
            row = PartitionRow(key)
            self._tables.partitions.put(key, row)
        if row.state is PartitionState.PAUSED:
            settle_claim(tick, needed, ClaimVerdict.UNAVAILABLE)
            return
        row.waiting.append(needed)
        self._advance(tick, row)

    def _release(self, tick: Tick, offer: AttemptOffer) -> None:
        digest = digest_of(offer)
        row = self._tables.partitions.get(partition_of(offer.service, digest))
        if row is None:
            return
        for needed in row.waiting:
            if needed.offer.attempt_id == offer.attempt_id:
                row.waiting.remove(needed)
                if not needed.is_maybe_written:
                    return
                break
        row.releases[digest] = offer.attempt_id
        self._advance(tick, row)

    def _advance(self, tick: Tick, row: PartitionRow, is_due: bool = False) -> None:
        """Read or write if there is a reason and nothing is under way."""
        if not (row.waiting or row.releases):
            return
        if row.state is PartitionState.UNREAD:
            self._requests.read(tick, row)
        elif row.state is PartitionState.IDLE:
            wait_us = self._pace.wait_us(tick.now_us)
            if not (row.waiting or is_due):
                wait_us = max(wait_us, _RELEASE_AFTER_US)
            if wait_us:
                set_due(tick, row, wait_us)
            else:
                self._decide(tick, row)

    def _decide(self, tick: Tick, row: PartitionRow) -> None:
        """Write the wishes that are free, and refuse the others."""
        claimed_s = self._tables.wall_s(tick.now_us)
        tokens = _current(row, claimed_s - RETENTION_S)
        taken = [need for need in row.waiting if not _may_take(tokens, need)]
        is_stale = tick.now_us - row.read_us > _FRESH_US
        if taken and is_stale:
            self._requests.read(tick, row)
            return
        granted: list[ClaimNeeded] = []
        for needed in row.waiting:
            if not _may_take(tokens, needed):
                settle_claim(tick, needed, ClaimVerdict.DUPLICATE)
            elif len(tokens) >= _MAX_TOKENS:
                settle_claim(tick, needed, ClaimVerdict.UNAVAILABLE)
            else:
                digest, attempt_id = digest_of(needed.offer), needed.offer.attempt_id
                tokens[digest] = ClaimToken(digest, attempt_id, claimed_s)
                granted.append(needed)
        row.waiting = []
        if granted or row.releases:
            self._pace.spend()
            self._requests.write(tick, row, tokens, granted)


def _current(row: PartitionRow, expired_s: int) -> dict[str, ClaimToken]:
    """Return the claims that neither expired nor were given back."""
    return {
        digest: token
        for digest, token in row.tokens.items()
        if token.claimed_s > expired_s and row.releases.get(digest) != token.attempt_id
    }


def _may_take(tokens: dict[str, ClaimToken], needed: ClaimNeeded) -> bool:
    """Return whether a key is free, or held by a refused attempt's claim."""
    token = tokens.get(digest_of(needed.offer))
    if token is None:
        return True
    offer = needed.offer
    return token.attempt_id in offer.refused_attempts
