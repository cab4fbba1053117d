"""Compiles ``share RANK floor=N% ceiling=N%`` lines."""

from papayapost.define import define
from papayapost.rules.faults import RuleFault
from papayapost.rules.line_compiler import LineCompiler, RulesDraft
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

_RANK_READER = RankReader()
_OPTIONS: dict[str, OptionReader] = {
    "floor": PercentReader(0, 100),
    "ceiling": PercentReader(1, 100),
}


@define
class _ShareOptions:
    floor: int = 0
    ceiling: int = 100


class ShareCompiler(LineCompiler):
    """Compiles ``share`` lines, which set a rank's part of the slots."""

    keyword = "share"

    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's share to the draft, and report the line's faults."""
        words = line.words
        rank = _RANK_READER.read(words[1].text) if len(words) > 1 else None
        if rank is None:
            line.report(
                RuleFault.INCOMPLETE_SHARE,
                words[min(1, len(words) - 1)].column,
                "the share does not name a known rank",
                f"write 'share RANK floor=N% ceiling=N%', RANK one of {rank_names()}",
            )
            return
        options = _ShareOptions()
        read_options(line, words[2:], _OPTIONS, options)
        if options.floor > options.ceiling:
            line.report(
                RuleFault.FLOOR_OVER_CEILING,
                words[0].column,
                f"floor {options.floor}% is above ceiling {options.ceiling}%",
                "give a ceiling that is not below the floor",
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
