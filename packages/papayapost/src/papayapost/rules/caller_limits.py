"""Compiles the ``limits`` line, which bounds what callers may send."""

from papayapost.rules.faults import RuleFault
from papayapost.rules.line_compiler import LineCompiler, RulesDraft
from papayapost.rules.model import CallerLimits
from papayapost.rules.options import NumberReader, OptionReader, read_options
from papayapost.rules.tokens import RuleLine

__all__ = ["CallerLimitsCompiler"]

_MAX_BODY_BYTES = 999_999_999
_MAX_TIMEOUT_MS = 3_600_000
_OPTIONS: dict[str, OptionReader] = {
    "head_bytes": NumberReader(1_024, 262_144),
    "body_bytes": NumberReader(0, _MAX_BODY_BYTES),
    "head_timeout_ms": NumberReader(10, _MAX_TIMEOUT_MS),
    "idle_timeout_ms": NumberReader(10, _MAX_TIMEOUT_MS),
}


class _Values:
    head_bytes: int | None = None
    body_bytes: int | None = None
    head_timeout_ms: int | None = None
    idle_timeout_ms: int | None = None


class CallerLimitsCompiler(LineCompiler):
    """Compiles ``limits`` lines."""

    keyword = "limits"

    def compile(self, line: RuleLine, draft: RulesDraft) -> None:
        """Add the line's limits to the draft, and report the line's faults."""
        values = _Values()
        read_options(line, line.words[1:], _OPTIONS, values)
        if draft.limits:
            line.report(
                RuleFault.DUPLICATE_LIMITS,
                line.words[0].column,
                f"line {draft.limits[0].line} gives the limits",
                "keep one of the two",
            )
        draft.add(
            CallerLimits(
                line.number,
                values.head_bytes,
                values.body_bytes,
                values.head_timeout_ms,
                values.idle_timeout_ms,
                line.owner,
                line.reason,
            )
        )
