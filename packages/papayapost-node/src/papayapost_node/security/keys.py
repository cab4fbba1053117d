"""CURVE keys as text."""

from dataclasses import dataclass, field
from typing import NewType

import zmq

__all__ = ["KeyPair", "PublicKey", "new_key_pair"]

PublicKey = NewType("PublicKey", str)
"""A CURVE public key in Z85, 40 characters."""


@dataclass(frozen=True, slots=True)
class KeyPair:
    """A node's own keys in Z85; the secret one stays out of any text."""

    public_key: PublicKey
    secret_key: str = field(repr=False)


def new_key_pair() -> KeyPair:
    """Return keys that nobody else has."""
    public_key, secret_key = zmq.curve_keypair()
    return KeyPair(PublicKey(public_key.decode()), secret_key.decode())
