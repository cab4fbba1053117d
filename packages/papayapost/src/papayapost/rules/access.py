"""Finds client accounts by name and by the digest of a key."""

from collections.abc import Iterable

from papayapost.ids import AccountName, KeyDigest
from papayapost.rules.model import AccessRule, Account, AccountKey

__all__ = ["AccessIndex"]


class AccessIndex:
    """The client accounts of a rules text.

    Attributes
    ----------
    requires_keys
        Whether a call needs a key of an account, unless its route is
        anonymous.
    """

    def __init__(
        self,
        accounts: Iterable[Account] = (),
        keys: Iterable[AccountKey] = (),
        access_rules: Iterable[AccessRule] = (),
    ):
        self._accounts = {account.name: account for account in accounts}
        self._names = {key.digest: key.account for key in keys}
        is_asked_for = any(rule.requires_keys for rule in access_rules)
        self.requires_keys = bool(self._accounts) or is_asked_for

    def account(self, name: AccountName) -> Account | None:
        """Return the account with a name, or None."""
        return self._accounts.get(name)

    def account_of(self, digest: KeyDigest | None) -> Account | None:
        """Return the account that holds a key, or None if the key is unknown.

        The digest is looked up, never compared with a secret, so that the
        time of the look-up tells nothing about the key.
        """
        name = self._names.get(digest) if digest is not None else None
        return self._accounts.get(name) if name is not None else None
