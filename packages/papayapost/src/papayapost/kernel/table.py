"""Tables: rows found by id and by a few declared indexes."""

from collections.abc import Callable, Hashable, Iterator, Mapping
from typing import Any, Generic, TypeVar

from papayapost.errors import UnknownRow

__all__ = ["Table"]

K = TypeVar("K", bound=Hashable)
R = TypeVar("R")
IndexKey = Callable[[R], Hashable]

_Keys = tuple[Any] | dict[Any, None]
_NO_KEYS: Mapping = {}


class Table(Generic[K, R]):
    """Rows of one kind of entity.

    Rows are mutable; after a change of a field that an index reads, call
    `reindex`. Iteration and index look-ups follow insertion order, so equal
    inputs give equal runs.

    Parameters
    ----------
    name
        Name for error messages and for memory reports.
    indexes
        Function per index that reads the indexed value from a row. A row
        whose value is None is left out of that index.

    Examples
    --------
    >>> table = Table("words", {"length": len})
    >>> table.put(1, "pear")
    >>> table.put(2, "plum")
    >>> list(table.find("length", 4))
    ['pear', 'plum']
    """

    def __init__(self, name: str, indexes: Mapping[str, IndexKey] | None = None):
        self.name = name
        self._rows: dict[K, R] = {}
        self._readers = dict(indexes or {})
        self._indexes: dict[str, dict[Hashable, _Keys]] = {
            index: {} for index in self._readers
        }
        self._indexed: dict[K, tuple[Hashable, ...]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: K) -> bool:
        return key in self._rows

    def __iter__(self) -> Iterator[R]:
        return iter(self._rows.values())

    def items(self) -> Iterator[tuple[K, R]]:
        """Return pairs of key and row in insertion order."""
        return iter(self._rows.items())

    def get(self, key: K) -> R | None:
        """Return the row under `key`, or None."""
        return self._rows.get(key)

    def require(self, key: K) -> R:
        """Return the row under `key`.

        Raises
        ------
        UnknownRow
            If there is none.
        """
        row = self._rows.get(key)
        if row is None:
            raise UnknownRow(self.name, key)
        return row

    def put(self, key: K, row: R) -> None:
        """Insert or replace the row under `key`."""
        self._rows[key] = row
        if self._readers:
            self.reindex(key)

    def reindex(self, key: K) -> None:
        """Bring the indexes up to date with the row under `key`."""
        row = self._rows[key]
        values = tuple(read(row) for read in self._readers.values())
        before = self._indexed.get(key)
        if values == before:
            return
        if before is not None:
            self._unindex(key, before)
        self._indexed[key] = values
        for name, value in zip(self._readers, values, strict=True):
            if value is not None:
                _add_key(self._indexes[name], value, key)

    def pop(self, key: K) -> R | None:
        """Remove and return the row under `key`, or return None."""
        row = self._rows.pop(key, None)
        values = self._indexed.pop(key, None)
        if values is not None:
            self._unindex(key, values)
        return row

    def find(self, index: str, value: Hashable) -> Iterator[R]:
        """Yield the rows whose `index` reads as `value`."""
        rows = self._rows
        return iter([rows[key] for key in self._indexes[index].get(value, _NO_KEYS)])

    def count(self, index: str, value: Hashable) -> int:
        """Return how many rows' `index` reads as `value`."""
        return len(self._indexes[index].get(value, _NO_KEYS))

    def values(self, index: str) -> Iterator[Hashable]:
        """Yield the distinct values that `index` holds."""
        return iter(list(self._indexes[index]))

    def _unindex(self, key: K, values: tuple[Hashable, ...]) -> None:
        for name, value in zip(self._readers, values, strict=True):
            if value is None:
                continue
            _remove_key(self._indexes[name], value, key)


# Most values of a nearly unique index have one key. A dict for each of them
# takes 230 bytes, which at 12,000 rows outweighs the rows themselves; a tuple
# takes 48.
def _add_key(index: dict[Hashable, _Keys], value: Hashable, key: Hashable) -> None:
    keys = index.get(value)
    if keys is None:
        index[value] = (key,)
    elif isinstance(keys, dict):
        keys[key] = None
    else:
        index[value] = {keys[0]: None, key: None}


def _remove_key(index: dict[Hashable, _Keys], value: Hashable, key: Hashable) -> None:
    keys = index[value]
    if isinstance(keys, dict) and len(keys) > 1:
        del keys[key]
    else:
        del index[value]
