"""Compiles the ``account``, ``key`` and ``access`` lines."""

import re

from papayapost.define import define
from papayapost.ids import AccountName, KeyDigest
from papayapost.rules.faults import RuleFault
from papayapost.rules.line_compiler import LineCompiler, RulesDraft
from papayapost.rules.model import AccessRule, Account, AccountKey
from papayapost.rules.options import (
    DecimalReader,
    OptionReader,
    RankReader,
    read_options,
)
from papayapost.rules.tokens import RuleLine, Word
from papayapost.states import Rank

__all__ = ["AccessCompiler", "AccountCompiler", "AccountKeyCompiler"]

_ACCOUNT_NAME = re.compile(r"[!-~]{1,128}")
_KEY_DIGEST = re.compile(r"[0-9a-f]{32}")
_MAX_RATE_PER_S = 10_000_000
_OPTIONS: dict[str, OptionReader] = {
    "rank": RankReader(),
    "rate_per_s": DecimalReader(0, _MAX_RATE_PER_S),
    "burst": DecimalReader(0, _MAX_RATE_PER_S),
}
_ACCESS_TEXTS = {"keys=required": True, "keys=optional": False}


@define
class _AccountOptions:
    rank: Rank | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class AccountCompiler(LineCompiler):
    """Compiles ``account`` lines, which declare client accounts."""

    keyword = "account"

    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's account to the draft, and report its faults."""
        words = line.words
        if len(words) < 2:
            line.report(
                RuleFault.INCOMPLETE_ACCOUNT,
                words[0].column,
                "the account has no name",
                "write 'account NAME [rank=RANK] [rate_per_s=N burst=N]'",
            )
            return
        name = _read_account_name(line, words[1])
        options = _AccountOptions()
        read_options(line, words[2:], _OPTIONS, options)
        account = Account(
            line.number,
            name,
            options.rank,
            options.rate_per_s,
            options.burst,
            line.owner,
            line.reason,
        )
        draft.add(account)


class AccountKeyCompiler(LineCompiler):
    """Compiles ``key`` lines, which assign secret keys to accounts."""

    keyword = "key"

    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's key to the draft, and report the line's faults."""
        words = line.words
        if len(words) != 4 or words[2].text != "->":
            line.report(
                RuleFault.INCOMPLETE_KEY,
                words[0].column,
                "the key is incomplete",
                "write 'key DIGEST -> ACCOUNT'",
            )
            return
        digest = words[1].text
        if not _KEY_DIGEST.fullmatch(digest):
            # The text may be a secret key that was written by mistake, so
            # that the message must not repeat it.
            line.report(
                RuleFault.BAD_KEY_DIGEST,
                words[1].column,
                "invalid digest of a key",
                "give the BLAKE2b digest of the key as 32 lower-case hexadecimal "
                "digits, never the key",
            )
        account = _read_account_name(line, words[3])
        draft.add(
            AccountKey(line.number, KeyDigest(digest), account, line.owner, line.reason)
        )


class AccessCompiler(LineCompiler):
    """Compiles ``access`` lines, which say whether calls need a key."""

    keyword = "access"

    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's rule to the draft, and report the line's faults."""
        words = line.words
        text = words[1].text if len(words) == 2 else ""
        requires_keys = _ACCESS_TEXTS.get(text)
        if requires_keys is None:
            line.report(
                RuleFault.BAD_ACCESS,
                words[0].column,
                "the line does not say whether calls need a key",
                f"write 'access' and one of {', '.join(_ACCESS_TEXTS)}",
            )
            return
        draft.add(AccessRule(line.number, requires_keys, line.owner, line.reason))


def _read_account_name(line: RuleLine, word: Word) -> AccountName:
    if not _ACCOUNT_NAME.fullmatch(word.text):
        line.report(
            RuleFault.BAD_ACCOUNT_NAME,
            word.column,
            f"invalid account name {word.text!r}",
            "use 1 to 128 printable ASCII characters except '#'",
        )
    return AccountName(word.text)
