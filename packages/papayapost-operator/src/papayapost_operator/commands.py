"""The commands of papaya."""

import asyncio
import sys
from pathlib import Path

from papayapost.distribution import RULES_KEY
from papayapost.errors import PapayapostError, RulesRefused
from papayapost.ids import Address
from papayapost.rules import compile_rules
from papayapost_node.store import HttpStoreClient

__all__ = ["Papaya"]

_EXIT_FAILURE = 1
_EXIT_REFUSED = 2


class Papaya:
    """Checks and applies the rules file."""

    def check(self, file: str) -> None:
        """Report every finding of a rules file; exit with 2 if there is one.

        Parameters
        ----------
        file
            Path of the rules file.
        """
        try:
            rules = compile_rules(Path(file).read_text())
        except RulesRefused as refused:
            for finding in refused.findings:
                print(f"{file}:{finding}", file=sys.stderr)
            sys.exit(_EXIT_REFUSED)
        print(f"{file}: {len(rules.routes)} routes, {len(rules.shares)} shares")

    def apply(self, file: str, store: str) -> None:
        """Make a rules file the store's current version.

        Parameters
        ----------
        file
            Path of the rules file.
        store
            Address of the object store.
        """
        self.check(file)
        try:
            version = asyncio.run(_apply(Path(file).read_text(), Address(store)))
        except PapayapostError as error:
            print(error, file=sys.stderr)
            sys.exit(_EXIT_FAILURE)
        print(f"version {version}")


async def _apply(text: str, address: Address) -> int:
    client = HttpStoreClient(address)
    current = await client.read(RULES_KEY.kind.value, RULES_KEY.name)
    return await client.update(
        RULES_KEY.kind.value, RULES_KEY.name, text.encode(), current.version
    )
