"""A stand-in of the platform's object API."""

from papayapost_testing.store.server import ObjectStoreStandIn
from papayapost_testing.store.tables import AccountRow, FaultsRow, ListenerId

__all__ = ["AccountRow", "FaultsRow", "ListenerId", "ObjectStoreStandIn"]
