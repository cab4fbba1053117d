"""The specification of the rules' way with one guard broken at a time."""

from collections.abc import Mapping

from papayapost_testing.model.rules_protocol import (
    SNAPSHOT,
    Held,
    Message,
    RulesSpec,
    RulesState,
    Steps,
    knows_service,
)

__all__ = ["BLOCKED_VARIANT", "RULES_FAULTS"]


class _TakesOlder(RulesSpec):
    def fits(self, held: Held, message: Message) -> bool:
        return message.base in (SNAPSHOT, held.version)


class _ForgetsFloor(RulesSpec):
    def may_swap(self, state: RulesState) -> bool:
        return knows_service(state, state.held.version)


class _RemembersNothingSent(RulesSpec):
    def remembers(self, state: RulesState, version: int) -> int:
        return max(state.remembered, state.in_force.version)


class _TrustsReads(RulesSpec):
    def updates_record(self, state: RulesState) -> bool:
        return True


class _IgnoresBase(RulesSpec):
    def fits(self, held: Held, message: Message) -> bool:
        return message.version > held.version


class _AppliesBad(RulesSpec):
    def compiles(self, version: int) -> bool:
        return True


class _SwapsEarly(RulesSpec):
    def may_swap(self, state: RulesState) -> bool:
        return state.held.version >= state.floor


class _SkipsRecord(RulesSpec):
    def _read(self, state: RulesState) -> Steps:
        yield from super()._read(state)
        if state.candidate:
            best = max(state.candidate, state.link_best)
            yield (
                "hold unrecorded",
                state._replace(link=state.candidate, candidate=0, link_best=best),
            )


class _BlocksBehindStaged(RulesSpec):
    def may_stage(self, state: RulesState) -> bool:
        return state.in_force == state.held


RULES_FAULTS: Mapping[type[RulesSpec], str] = {
    _TakesOlder: "a node never moves back",
    _ForgetsFloor: "a node never moves back",
    _RemembersNothingSent: "a node never moves back",
    _TrustsReads: "a link relay never moves back",
    _IgnoresBase: "a version is applied whole",
    _AppliesBad: "a bad version is never applied",
    _SwapsEarly: "every route's service is known",
    _SkipsRecord: "what is in force is recorded as accepted",
}
"""Variants with one guard broken, and the invariant that must tell."""

BLOCKED_VARIANT: type[RulesSpec] = _BlocksBehindStaged
"""Variant in which the newest version can become out of reach."""
