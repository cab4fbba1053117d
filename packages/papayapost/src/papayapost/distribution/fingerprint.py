"""Order-independent hashes of sets of nodes.

Two counts of nodes cover the same nodes if their sums of node hashes agree.
"""

import xxhash

from papayapost.ids import NodeId

__all__ = ["add_hashes", "node_hash"]

_MODULUS = 1 << 64


def node_hash(node_id: NodeId) -> int:
    """Return the 64-bit hash of a node id."""
    return xxhash.xxh3_64_intdigest(node_id.encode())


def add_hashes(left: int, right: int) -> int:
    """Return the sum of two hashes, or of two sums of hashes, modulo 2**64.

    The result does not depend on the order of the additions.

    Examples
    --------
    >>> a, b = node_hash(NodeId("a")), node_hash(NodeId("b"))
    >>> add_hashes(a, b) == add_hashes(b, a) != add_hashes(a, a)
    True
    """
    return (left + right) % _MODULUS
