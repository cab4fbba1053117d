"""Claims idempotency keys in the object store before attempts may run."""

from papayapost.kernel import System, Tick
from papayapost.traffic.claims.messages import (
    ClaimNeeded,
    ClaimRelease,
    ClaimVerdict,
    PartitionIdle,
)
from papayapost.traffic.claims.rate_limit import ClaimRateLimit
from papayapost.traffic.claims.requests import (
    ClaimStoreRequests,
    offer_digest,
    set_partition_timer,
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
"""Time in s for which a key stays claimed; a later repeat may run again."""

_MAX_TOKENS = 4_000
"""Largest number of claims in a claims object. It keeps the object's value
below 1 MB."""

_MAX_READ_AGE_US = 1_000_000
"""Largest age of a read that may prove an attempt to be a duplicate."""

_RELEASE_DELAY_US = 1_000_000
"""Delay of an update that only releases claims, so that it can share the
update of a later claim."""


class ClaimKeys(System):
    """Adds claims to their partitions by conditional updates.

    At most one read or update of a partition is under way at a time. Each
    update includes all claims that were requested since the last one.
    """

    consumes = (TrafficStarted, ClaimNeeded, ClaimRelease, PartitionIdle)

    def __init__(
        self,
        tables: ClaimTables,
        rate_limit: ClaimRateLimit,
        requests: ClaimStoreRequests,
    ):
        self._tables = tables
        self._rate_limit = rate_limit
        self._requests = requests

    def run(self, tick: Tick) -> None:
        """Process released claims first, then requested ones."""
        if tick.take(TrafficStarted):
            self._tables.started_us = tick.now_us
        for release in tick.take(ClaimRelease):
            self._release(tick, release.offer)
        for needed in tick.take(ClaimNeeded):
            self._request_claim(tick, needed)
        for idle in tick.take(PartitionIdle):
            row = self._tables.partitions.require(idle.key)
            self._advance(tick, row, idle.is_timer_due)

    def _request_claim(self, tick: Tick, needed: ClaimNeeded) -> None:
        key = partition_of(needed.offer.service, offer_digest(needed.offer))
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
        digest = offer_digest(offer)
        row = self._tables.partitions.get(partition_of(offer.service, digest))
        if row is None:
            return
        for needed in row.waiting:
            if needed.offer.attempt_id == offer.attempt_id:
                row.waiting.remove(needed)
                if not needed.may_be_written:
                    return
                break
        row.releases[digest] = offer.attempt_id
        self._advance(tick, row)

    def _advance(
        self, tick: Tick, row: PartitionRow, is_timer_due: bool = False
    ) -> None:
        """Read or update a partition with pending claims if it is idle."""
        if not (row.waiting or row.releases):
            return
        if row.state is PartitionState.UNREAD:
            self._requests.read(tick, row)
        elif row.state is PartitionState.IDLE:
            wait_us = self._rate_limit.wait_us(tick.now_us)
            if not (row.waiting or is_timer_due):
                wait_us = max(wait_us, _RELEASE_DELAY_US)
            if wait_us:
                set_partition_timer(tick, row, wait_us)
            else:
                self._write_claims(tick, row)

    def _write_claims(self, tick: Tick, row: PartitionRow) -> None:
        """Write the requested claims of available keys; refuse the others.

        An attempt is refused as a duplicate only on the evidence of a recent
        read; after an older one, the partition is read again first.
        """
        claimed_s = self._tables.wall_s(tick.now_us)
        tokens = _valid_tokens(row, claimed_s - RETENTION_S)
        already_claimed = [
            needed for needed in row.waiting if not _is_available(tokens, needed)
        ]
        is_stale = tick.now_us - row.read_us > _MAX_READ_AGE_US
        if already_claimed and is_stale:
            self._requests.read(tick, row)
            return
        granted: list[ClaimNeeded] = []
        for needed in row.waiting:
            if not _is_available(tokens, needed):
                settle_claim(tick, needed, ClaimVerdict.DUPLICATE)
            elif len(tokens) >= _MAX_TOKENS:
                settle_claim(tick, needed, ClaimVerdict.UNAVAILABLE)
            else:
                digest, attempt_id = offer_digest(needed.offer), needed.offer.attempt_id
                tokens[digest] = ClaimToken(digest, attempt_id, claimed_s)
                granted.append(needed)
        row.waiting = []
        if granted or row.releases:
            self._rate_limit.spend()
            self._requests.write(tick, row, tokens, granted)


def _valid_tokens(row: PartitionRow, expiry_s: int) -> dict[str, ClaimToken]:
    """Return the claims that have neither expired nor been released."""
    return {
        digest: token
        for digest, token in row.tokens.items()
        if token.claimed_s > expiry_s and row.releases.get(digest) != token.attempt_id
    }


def _is_available(tokens: dict[str, ClaimToken], needed: ClaimNeeded) -> bool:
    """Return whether an attempt may claim its key.

    The key is unclaimed, or claimed by an earlier attempt of the same call
    that was refused as not run.
    """
    token = tokens.get(offer_digest(needed.offer))
    if token is None:
        return True
    offer = needed.offer
    return token.attempt_id in offer.refused_attempts
