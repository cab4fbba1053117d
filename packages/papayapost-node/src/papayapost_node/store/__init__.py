"""Access to the platform's object store."""

from papayapost_node.store.client import HttpStoreClient, StoreClient, StoredObject
from papayapost_node.store.connections import StoreConnections
from papayapost_node.store.effects import StoreEffects
from papayapost_node.store.eras import EraListener, EraTracker
from papayapost_node.store.orders import (
    ListedOrders,
    OrderChanges,
    OrderClient,
    OrderEffects,
)

__all__ = [
    "EraListener",
    "EraTracker",
    "HttpStoreClient",
    "ListedOrders",
    "OrderChanges",
    "OrderClient",
    "OrderEffects",
    "StoreClient",
    "StoreConnections",
    "StoreEffects",
    "StoredObject",
]
