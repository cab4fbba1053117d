"""A stand-in for the platform's object store, with simulated faults."""

from papayapost_testing.store.server import ObjectStoreStandIn
from papayapost_testing.store.tables import FaultsRow, ListenerId, StoreCountsRow

__all__ = ["FaultsRow", "ListenerId", "ObjectStoreStandIn", "StoreCountsRow"]
