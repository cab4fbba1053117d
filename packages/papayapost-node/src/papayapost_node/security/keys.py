"""CURVE keys in their text form."""

from dataclasses import field
from typing import NewType

import zmq

from papayapost.define import define

__all__ = ["KeyPair", "PublicKey", "new_key_pair"]

PublicKey = NewType("PublicKey", str)
"""A CURVE public key of 40 characters in Z85 encoding."""


@define(frozen=True)
class KeyPair:
    """A node's own keys in Z85; `repr` leaves out the secret key."""

    public_key: PublicKey
    secret_key: str = field(repr=False)


def new_key_pair() -> KeyPair:
    """Return a new random key pair."""
    public_key, secret_key = zmq.curve_keypair()
    return KeyPair(PublicKey(public_key.decode()), secret_key.decode())
