"""Compiles ``share RANK floor=N% ceiling=N%`` lines."""

from dataclasses import dataclass

from papayapost.rules.compilers import LineCompiler, RulesDraft
from papayapost.rules.faults import RuleFault
from papayapost.rules.model import Share
from papayapost.rules.options import (
    OptionReader,
    PercentReader,
    RankReader,
    rank_names,
    read_options,
)
from papayapost.rules.tokens import RuleLine

__all__ = ["ShareCompiler"]

_RANK = RankReader()
_OPTIONS: dict[str, OptionReader] = {
    "floor": PercentReader(0, 100),
    "ceiling": PercentReader(1, 100),
}


@dataclass(slots=True)
class _ShareOptions:
    floor: int = 0
    ceiling: int = 100


class ShareCompiler(LineCompiler):
    """What each rank keeps of a backend server's slots."""

    keyword = "share"

    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's row to the draft and report what is wrong with it."""
        words = line.words
        rank = _RANK.read(words[1].text) if len(words) > 1 else None
        if rank is None:
            line.report(
                RuleFault.INCOMPLETE_SHARE,
                words[min(1, len(words) - 1)].column,
                "the share names no rank",
                f"write 'share RANK floor=N% ceiling=N%', RANK one of {rank_names()}",
            )
            return
        options = _ShareOptions()
        read_options(line, words[2:], _OPTIONS, options)
        if options.floor > options.ceiling:
            line.report(
                RuleFault.FLOOR_OVER_CEILING,
                words[0].column,
                f"floor {options.floor}% is over ceiling {options.ceiling}%",
                "give a ceiling of at least the floor",
            )
        draft.add(
            Share(
                line.number,
                rank,
                options.floor,
                options.ceiling,
                line.owner,
                line.reason,
            )
        )
