"""Tables: rows that can be looked up by key and by declared indexes."""

from collections.abc import Callable, Hashable, Iterator, Mapping
from typing import Any, Generic, TypeVar

from papayapost.errors import UnknownRow

__all__ = ["Table"]

K = TypeVar("K", bound=Hashable)
R = TypeVar("R")
IndexKey = Callable[[R], Hashable]

_KeySet = tuple[Any] | dict[Any, None]
_EMPTY_KEYS: Mapping = {}


class Table(Generic[K, R]):
    """Rows of one kind of entity, each stored under a unique key.

    Rows are mutable. After changing a field that an index depends on, call
    `reindex`. Iteration over the table follows the insertion order of rows;
    an index returns rows in the order in which they entered it. Runs with
    the same inputs therefore give the same results.

    Parameters
    ----------
    name
        Name of the table in error messages and memory reports.
    indexes
        For each index, a function that returns the indexed value of a row.
        A row is omitted from an index if its value is None.

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
        self._index_functions = dict(indexes or {})
        self._indexes: dict[str, dict[Hashable, _KeySet]] = {
            index: {} for index in self._index_functions
        }
        self._indexed_values: dict[K, tuple[Hashable, ...]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: K) -> bool:
        return key in self._rows

    def __iter__(self) -> Iterator[R]:
        return iter(self._rows.values())

    def items(self) -> Iterator[tuple[K, R]]:
        """Return an iterator over (key, row) pairs in insertion order."""
        return iter(self._rows.items())

    def get(self, key: K) -> R | None:
        """Return the row for `key`, or None if there is none."""
        return self._rows.get(key)

    def require(self, key: K) -> R:
        """Return the row for `key`.

        Raises
        ------
        UnknownRow
            If the table has no row for `key`.
        """
        row = self._rows.get(key)
        if row is None:
            raise UnknownRow(self.name, key)
        return row

    def put(self, key: K, row: R) -> None:
        """Insert the row for `key`, or replace the existing one."""
        self._rows[key] = row
        if self._index_functions:
            self.reindex(key)

    def reindex(self, key: K) -> None:
        """Update the indexes after the row for `key` has changed."""
        row = self._rows[key]
        values = tuple(read(row) for read in self._index_functions.values())
        before = self._indexed_values.get(key)
        if values == before:
            return
        if before is not None:
            self._unindex(key, before)
        self._indexed_values[key] = values
        for name, value in zip(self._index_functions, values, strict=True):
            if value is not None:
                _add_key(self._indexes[name], value, key)

    def pop(self, key: K) -> R | None:
        """Remove the row for `key` and return it, or None if missing."""
        row = self._rows.pop(key, None)
        values = self._indexed_values.pop(key, None)
        if values is not None:
            self._unindex(key, values)
        return row

    def find(self, index: str, value: Hashable) -> Iterator[R]:
        """Return an iterator over the rows whose indexed value is `value`."""
        rows = self._rows
        return iter([rows[key] for key in self._indexes[index].get(value, _EMPTY_KEYS)])

    def count(self, index: str, value: Hashable) -> int:
        """Return the number of rows whose indexed value is `value`."""
        return len(self._indexes[index].get(value, _EMPTY_KEYS))

    def values(self, index: str) -> Iterator[Hashable]:
        """Return an iterator over the distinct values in `index`."""
        return iter(list(self._indexes[index]))

    def _unindex(self, key: K, values: tuple[Hashable, ...]) -> None:
        for name, value in zip(self._index_functions, values, strict=True):
            if value is None:
                continue
            _remove_key(self._indexes[name], value, key)


# A value that belongs to a single row stores its key in a tuple of 48 bytes
# instead of a dict of 230 bytes. In an index where most values are unique,
# 12,000 such dicts would take more memory than the rows themselves.
def _add_key(index: dict[Hashable, _KeySet], value: Hashable, key: Hashable) -> None:
    keys = index.get(value)
    if keys is None:
        index[value] = (key,)
    elif isinstance(keys, dict):
        keys[key] = None
    else:
        index[value] = {keys[0]: None, key: None}


def _remove_key(index: dict[Hashable, _KeySet], value: Hashable, key: Hashable) -> None:
    keys = index[value]
    if isinstance(keys, dict) and len(keys) > 1:
        del keys[key]
    else:
        del index[value]
