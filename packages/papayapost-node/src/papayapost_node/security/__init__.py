"""Authenticates nodes by CURVE keys and checks which nodes are allowed."""

from papayapost_node.security.key_ring import AllowedKeyRow, KeyRing
from papayapost_node.security.keys import KeyPair, PublicKey, new_key_pair
from papayapost_node.security.senders import SenderCheck
from papayapost_node.security.zap_handler import ZapHandler

__all__ = [
    "AllowedKeyRow",
    "KeyPair",
    "KeyRing",
    "PublicKey",
    "SenderCheck",
    "ZapHandler",
    "new_key_pair",
]
