"""Reads the secret keys of client accounts from requests.

Only their digests leave this module, so that no key can reach a log, a metric
or another node.
"""

import hashlib

from papayapost.ids import KeyDigest
from papayapost_node.http import Headers

__all__ = ["AUTHORIZATION_HEADER", "digest_of_key", "key_digest_of", "without_key"]

AUTHORIZATION_HEADER = b"authorization"
_SCHEME = b"bearer"
_DIGEST_BYTES = 16


def digest_of_key(key: bytes) -> KeyDigest:
    """Return the digest by which the rules name a key.

    Examples
    --------
    >>> digest_of_key(b"dedev3nax7u27gxprymh")
    '61d7b075589925f06e75ec197b0be289'
    """
    return KeyDigest(hashlib.blake2b(key, digest_size=_DIGEST_BYTES).hexdigest())


def key_digest_of(authorization: bytes) -> KeyDigest | None:
    """Return the digest of the key in an Authorization header, or None.

    Examples
    --------
    >>> key_digest_of(b"Basic dXNlcg==") is None
    True
    """
    words = authorization.split(None, 1)
    if len(words) < 2 or words[0].lower() != _SCHEME:
        return None
    return digest_of_key(words[1].strip())


def without_key(headers: Headers) -> Headers:
    """Return the headers without those that hold a key."""
    return [
        (name, value)
        for name, value in headers
        if not (name == AUTHORIZATION_HEADER and _has_key(value))
    ]


def _has_key(authorization: bytes) -> bool:
    # A value that names the scheme anywhere is not forwarded: other programs
    # may read a list of credentials.
    return _SCHEME in authorization.lower()
