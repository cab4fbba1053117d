"""The key pair of a node and the public keys that it accepts from peers."""

from collections.abc import Callable, Sequence

from papayapost.define import define
from papayapost.ids import Address, DataCentreId, NodeId
from papayapost.kernel import Table
from papayapost_node.security.keys import KeyPair, PublicKey

__all__ = ["AllowedKeyRow", "KeyRing"]

_MAX_VERIFIED_KEYS = 4_096

HolderOf = Callable[[Address], tuple[NodeId | None, DataCentreId | None]]


@define(frozen=True)
class AllowedKeyRow:
    """A public key that peers may use, and the node or nodes that hold it.

    Parameters
    ----------
    node_id
        The only node that holds the key, or None if every node of the data
        centre holds it.
    """

    public_key: PublicKey
    data_centre: DataCentreId
    node_id: NodeId | None = None


class KeyRing:
    """The key pair of this node and the public keys accepted from peers.

    A reload replaces all of them together. A peer may have two accepted keys
    at a time, the current one and its successor, so that its keys can change
    without an interruption.

    Parameters
    ----------
    holder_of
        Returns the node at an address and its data centre. The node is None
        if the directory has no row with that address.
    """

    def __init__(
        self, own: KeyPair, allowed: Sequence[AllowedKeyRow], holder_of: HolderOf
    ):
        self._holder_of = holder_of
        self._verified_keys: dict[Address, PublicKey] = {}
        self.replace(own, allowed)

    def replace(self, own: KeyPair, allowed: Sequence[AllowedKeyRow]) -> None:
        """Replace the key pair of this node and all accepted keys."""
        self.own = own
        self._allowed: Table[PublicKey, AllowedKeyRow] = Table("allowed keys")
        for row in allowed:
            self._allowed.put(row.public_key, row)

    def row_of(self, key: PublicKey) -> AllowedKeyRow | None:
        """Return the row of an accepted key, or None for any other key."""
        return self._allowed.get(key)

    def first_key_of(self, address: Address) -> PublicKey | None:
        """Return the key that the peer at an address most likely holds.

        Return None if no accepted key can be the peer's.
        """
        candidates = self._candidates(address)
        return candidates[0] if candidates else None

    def next_key(self, address: Address, key: PublicKey) -> PublicKey | None:
        """Return the key to try next after a handshake with `key` failed.

        Return None if no accepted key is left to try.
        """
        candidates = self._candidates(address)
        if key not in candidates:
            return None
        following = candidates[candidates.index(key) + 1 :]
        return following[0] if following else None

    def record_verified_key(self, address: Address, key: PublicKey) -> None:
        """Record the key with which a handshake at an address succeeded."""
        if len(self._verified_keys) >= _MAX_VERIFIED_KEYS:
            self._verified_keys.pop(next(iter(self._verified_keys)))
        self._verified_keys[address] = key

    def _candidates(self, address: Address) -> list[PublicKey]:
        node_id, data_centre = self._holder_of(address)
        verified_key = self._verified_keys.get(address)

        def sort_key(row: AllowedKeyRow) -> tuple[bool, bool, bool]:
            return (
                row.public_key != verified_key,
                row.node_id is None or row.node_id != node_id,
                row.data_centre != data_centre,
            )

        rows = [row for row in self._allowed if row.node_id in (None, node_id)]
        if node_id is None:
            rows = list(self._allowed)
        return [row.public_key for row in sorted(rows, key=sort_key)]
