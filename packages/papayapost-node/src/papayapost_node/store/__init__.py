"""Access to the platform's object store."""

from papayapost_node.store.client import HttpStoreClient, StoreClient, StoredObject
from papayapost_node.store.connections import StoreConnections
from papayapost_node.store.effects import StoreEffects

__all__ = [
    "HttpStoreClient",
    "StoreClient",
    "StoreConnections",
    "StoreEffects",
    "StoredObject",
]
