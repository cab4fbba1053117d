"""Follows the eras of a store, which begin when it comes back from a copy."""

from abc import ABC, abstractmethod

from papayapost.ids import StoreEra

__all__ = ["NO_ERA", "EraListener", "EraTracker", "SilentEraListener"]

NO_ERA = StoreEra(0)

_MAX_ERA = (1 << 24) - 1
_MAX_SHOWN_CHARACTERS = 32
# Number of unusable headers that are told in an era.
_MAX_DOUBTS = 32


class EraListener(ABC):
    """Is told of changes of the store's era."""

    @abstractmethod
    def change_era(self, before: StoreEra, era: StoreEra) -> None:
        """Handle that an answer shows a later era than the ones before."""

    @abstractmethod
    def doubt_era(self, era: StoreEra, shown: str) -> None:
        """Handle an answer that shows no era or an earlier one."""


class SilentEraListener(EraListener):
    """Ignores all eras."""

    def change_era(self, before: StoreEra, era: StoreEra) -> None:
        """Do nothing."""

    def doubt_era(self, era: StoreEra, shown: str) -> None:
        """Do nothing."""


class EraTracker:
    """Keeps the newest era that the answers of a store have shown.

    A store that names no era has one era for ever. One that begins to name
    eras after other answers may have come back from a copy in between.

    Attributes
    ----------
    newest
        The newest era; `NO_ERA` before the first answer that names one.
    """

    def __init__(self) -> None:
        self.newest = NO_ERA
        self.listener: EraListener = SilentEraListener()
        self._doubted: set[str] = set()
        self._has_answered = False

    def track(self, header: bytes | None) -> StoreEra:
        """Return the era of an answer by its header; None if it has none.

        An answer without a usable header counts as one of the newest era.
        """
        era = _era_of(header)
        is_first, self._has_answered = not self._has_answered, True
        if era is None or era < self.newest:
            if header is not None or self.newest:
                self._doubt(header)
            return self.newest if era is None else era
        if era > self.newest:
            before, self.newest = self.newest, era
            self._doubted.clear()
            if not is_first:
                self.listener.change_era(before, era)
        return era

    def _doubt(self, header: bytes | None) -> None:
        text = "no era" if header is None else repr(header.decode("latin-1"))
        shown = text[:_MAX_SHOWN_CHARACTERS]
        if shown not in self._doubted and len(self._doubted) < _MAX_DOUBTS:
            self._doubted.add(shown)
            self.listener.doubt_era(self.newest, shown)


def _era_of(header: bytes | None) -> StoreEra | None:
    text = (header or b"").strip()
    if not text.isdigit() or len(text) > len(str(_MAX_ERA)):
        return None
    era = int(text)
    return StoreEra(era) if era <= _MAX_ERA else None
