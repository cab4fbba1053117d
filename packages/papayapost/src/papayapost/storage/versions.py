"""Versions of store objects that stay in order when revisions go back."""

from typing import NewType

from papayapost.ids import StoreEra

__all__ = ["NO_STORE_VERSION", "StoreVersion", "era_of", "revision_of", "version_at"]

StoreVersion = NewType("StoreVersion", int)
"""Version of an object: the store's era, then its revision in that era.

A store that comes back from an older copy gives revisions out again, in a
new era. As one number, versions of all eras compare in the order in which
the store gave them out, and versions of different eras are never equal. A
store without eras has era 0, where a version is the revision alone. 0 means
that the object does not exist.
"""

NO_STORE_VERSION = StoreVersion(0)

_REVISION_BITS = 40
_MAX_REVISION = (1 << _REVISION_BITS) - 1


def version_at(era: StoreEra, revision: int) -> StoreVersion:
    """Return the version of an object that has a revision in an era.

    Raises
    ------
    ValueError
        If the revision is negative or has more than 40 bits.
    """
    if not 0 <= revision <= _MAX_REVISION:
        raise ValueError(f"the revision {revision} is not within 0 to {_MAX_REVISION}")
    return StoreVersion((era << _REVISION_BITS | revision) if revision else 0)


def era_of(version: StoreVersion) -> StoreEra:
    """Return the era in which the store gave a version out."""
    return StoreEra(version >> _REVISION_BITS)


def revision_of(version: StoreVersion) -> int:
    """Return the store's revision of a version, in its era."""
    return version & _MAX_REVISION
