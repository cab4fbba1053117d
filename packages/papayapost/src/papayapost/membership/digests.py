"""Digests of the directory for each data centre and bucket.

A digest is the exclusive or of the hashes of all live rows in it. The cost
of an update therefore does not depend on the number of rows, and the order
of updates does not matter.
"""

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from papayapost.ids import DataCentreId, NodeId

__all__ = ["BUCKETS", "BucketKey", "Digests", "bucket_key"]

BUCKETS = 64

BucketKey = tuple[DataCentreId, int]

_interned_keys: dict[BucketKey, BucketKey] = {}
_MAX_INTERNED_KEYS = 64 * BUCKETS


def bucket_key(data_centre: DataCentreId, node_id: NodeId) -> BucketKey:
    """Return the data centre and bucket number of a node's row.

    Examples
    --------
    >>> bucket_key(DataCentreId("n1"), NodeId("a"))
    ('n1', 27)
    """
    key = (data_centre, xxh64_intdigest(node_id.encode()) % BUCKETS)
    if len(_interned_keys) >= _MAX_INTERNED_KEYS:
        return _interned_keys.get(key, key)
    return _interned_keys.setdefault(key, key)


class Digests:
    """Digests of the live rows in the directory, updated for each change.

    Attributes
    ----------
    total
        Digest of the rows of all data centres.
    """

    def __init__(self):
        self.total = 0
        self._hashes: dict[NodeId, tuple[BucketKey, int]] = {}
        self._buckets: dict[DataCentreId, list[int]] = {}

    def put(
        self, data_centre: DataCentreId, node_id: NodeId, stamp: tuple[int, int]
    ) -> None:
        """Add a node's row, or replace its earlier row, in the digests."""
        self.remove(node_id)
        text = f"{node_id}/{stamp[0]}/{stamp[1]}"
        row_hash = xxh64_intdigest(text.encode())
        key = bucket_key(data_centre, node_id)
        self._hashes[node_id] = (key, row_hash)
        self._toggle(key, row_hash)

    def remove(self, node_id: NodeId) -> None:
        """Remove a node's row from the digests."""
        counted = self._hashes.pop(node_id, None)
        if counted is not None:
            self._toggle(*counted)

    def of(self, data_centre: DataCentreId) -> int:
        """Return the digest of a data centre; 0 if it has no live rows."""
        digest = 0
        for bucket in self._buckets.get(data_centre, ()):
            digest ^= bucket
        return digest

    def buckets_of(self, data_centre: DataCentreId) -> Sequence[int]:
        """Return the digest of each bucket of a data centre."""
        return self._buckets.get(data_centre) or [0] * BUCKETS

    def data_centres(self) -> list[DataCentreId]:
        """Return all data centres that ever had a live row, sorted by name."""
        return sorted(self._buckets)

    def _toggle(self, key: BucketKey, row_hash: int) -> None:
        data_centre, bucket = key
        buckets = self._buckets.setdefault(data_centre, [0] * BUCKETS)
        buckets[bucket] ^= row_hash
        self.total ^= row_hash
