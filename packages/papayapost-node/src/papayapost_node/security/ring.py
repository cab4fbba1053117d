"""The keys that a node holds and those that it accepts."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from papayapost.ids import Address, DataCentreId, NodeId
from papayapost.kernel import Table
from papayapost_node.security.keys import KeyPair, PublicKey

__all__ = ["AllowedKeyRow", "KeyRing"]

_MAX_PROVED = 4_096

HolderOf = Callable[[Address], tuple[NodeId | None, DataCentreId | None]]


@dataclass(frozen=True, slots=True)
class AllowedKeyRow:
    """A key that may take part, and who holds it.

    Parameters
    ----------
    node_id
        The one holder, or None if every node of the data centre holds it.
    """

    public_key: PublicKey
    data_centre: DataCentreId
    node_id: NodeId | None = None


class KeyRing:
    """Own keys and accepted ones; replaced as a whole.

    A holder may have two keys at a time, the present one and its successor,
    so that keys change without a stop.

    Parameters
    ----------
    holder_of
        Says which node, of which data centre, an address belongs to.
    """

    def __init__(
        self, own: KeyPair, allowed: Sequence[AllowedKeyRow], holder_of: HolderOf
    ):
        self._holder_of = holder_of
        self._proved: dict[Address, PublicKey] = {}
        self.replace(own, allowed)

    def replace(self, own: KeyPair, allowed: Sequence[AllowedKeyRow]) -> None:
        """Take over another set of keys."""
        self.own = own
        self._allowed: Table[PublicKey, AllowedKeyRow] = Table("allowed keys")
        for row in allowed:
            self._allowed.put(row.public_key, row)

    def row_of(self, key: PublicKey) -> AllowedKeyRow | None:
        """Return who holds a key, or None if it is not accepted."""
        return self._allowed.get(key)

    def first_key_of(self, address: Address) -> PublicKey | None:
        """Return the key that the peer at an address most likely holds."""
        candidates = self._candidates(address)
        return candidates[0] if candidates else None

    def key_after(self, address: Address, key: PublicKey) -> PublicKey | None:
        """Return what to try after the peer did not answer to `key`."""
        candidates = self._candidates(address)
        if key not in candidates:
            return None
        following = candidates[candidates.index(key) + 1 :]
        return following[0] if following else None

    def proved(self, address: Address, key: PublicKey) -> None:
        """Remember which key the peer at an address answered to."""
        if len(self._proved) >= _MAX_PROVED:
            self._proved.pop(next(iter(self._proved)))
        self._proved[address] = key

    def _candidates(self, address: Address) -> list[PublicKey]:
        node_id, data_centre = self._holder_of(address)
        proved = self._proved.get(address)

        def rank(row: AllowedKeyRow) -> tuple[bool, bool, bool]:
            return (
                row.public_key != proved,
                row.node_id is None or row.node_id != node_id,
                row.data_centre != data_centre,
            )

        rows = [row for row in self._allowed if row.node_id in (None, node_id)]
        if node_id is None:
            rows = list(self._allowed)
        return [row.public_key for row in sorted(rows, key=rank)]
