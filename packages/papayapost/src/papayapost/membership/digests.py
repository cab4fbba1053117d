"""Digests of the directory, by data centre and bucket.

A digest is the exclusive or of one hash per live row, so that a change
costs the same whatever the number of rows, and order does not matter.
"""

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from papayapost.ids import DataCentreId, NodeId

__all__ = ["BUCKETS", "BucketKey", "Digests", "bucket_key"]

BUCKETS = 64

BucketKey = tuple[DataCentreId, int]

_known_keys: dict[BucketKey, BucketKey] = {}
_MAX_KNOWN_KEYS = 64 * BUCKETS


def bucket_key(data_centre: DataCentreId, node_id: NodeId) -> BucketKey:
    """Return the bucket that a node's row belongs to.

    Examples
    --------
    >>> bucket_key(DataCentreId("n1"), NodeId("a"))
    ('n1', 27)
    """
    key = (data_centre, xxh64_intdigest(node_id.encode()) % BUCKETS)
    if len(_known_keys) >= _MAX_KNOWN_KEYS:
        return _known_keys.get(key, key)
    return _known_keys.setdefault(key, key)


class Digests:
    """Digests of what the directory holds, kept up to date row by row.

    Attributes
    ----------
    total
        Digest over all data centres.
    """

    def __init__(self):
        self.total = 0
        self._hashes: dict[NodeId, tuple[BucketKey, int]] = {}
        self._buckets: dict[DataCentreId, list[int]] = {}

    def put(
        self, data_centre: DataCentreId, node_id: NodeId, stamp: tuple[int, int]
    ) -> None:
        """Count a row, in place of an earlier one of the same node."""
        self.remove(node_id)
        text = f"{node_id}/{stamp[0]}/{stamp[1]}"
        row_hash = xxh64_intdigest(text.encode())
        key = bucket_key(data_centre, node_id)
        self._hashes[node_id] = (key, row_hash)
        self._flip(key, row_hash)

    def remove(self, node_id: NodeId) -> None:
        """No longer count a node's row."""
        counted = self._hashes.pop(node_id, None)
        if counted is not None:
            self._flip(*counted)

    def of(self, data_centre: DataCentreId) -> int:
        """Return the digest of one data centre; 0 if it has no rows."""
        digest = 0
        for bucket in self._buckets.get(data_centre, ()):
            digest ^= bucket
        return digest

    def buckets_of(self, data_centre: DataCentreId) -> Sequence[int]:
        """Return the digest of each bucket of a data centre."""
        return self._buckets.get(data_centre) or [0] * BUCKETS

    def data_centres(self) -> list[DataCentreId]:
        """Return the data centres that were ever counted, sorted."""
        return sorted(self._buckets)

    def _flip(self, key: BucketKey, row_hash: int) -> None:
        data_centre, bucket = key
        buckets = self._buckets.setdefault(data_centre, [0] * BUCKETS)
        buckets[bucket] ^= row_hash
        self.total ^= row_hash
