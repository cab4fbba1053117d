"""Faulty variants of the rules specification, each with one broken guard."""

from collections.abc import Mapping

from papayapost_testing.model.rules_protocol import (
    SNAPSHOT,
    HeldVersion,
    Message,
    RulesSpec,
    RulesState,
    Steps,
    is_service_known,
)

__all__ = ["BLOCKED_VARIANT", "RULES_FAULTS"]


class _AcceptsOlderVersions(RulesSpec):
    def may_apply(self, held: HeldVersion, message: Message) -> bool:
        return message.base in (SNAPSHOT, held.version)


class _IgnoresFloor(RulesSpec):
    def may_activate(self, state: RulesState) -> bool:
        return is_service_known(state, state.held.version)


class _ForgetsSentVersions(RulesSpec):
    def highest_sent_after(self, state: RulesState, version: int) -> int:
        return max(state.highest_sent, state.active.version)


class _UpdatesUnconditionally(RulesSpec):
    def may_update_record(self, state: RulesState) -> bool:
        return True


class _IgnoresBaseVersion(RulesSpec):
    def may_apply(self, held: HeldVersion, message: Message) -> bool:
        return message.version > held.version


class _AcceptsInvalidText(RulesSpec):
    def compiles(self, version: int) -> bool:
        return True


class _ActivatesUnknownService(RulesSpec):
    def may_activate(self, state: RulesState) -> bool:
        return state.held.version >= state.floor


class _HoldsUnrecordedVersion(RulesSpec):
    def _read(self, state: RulesState) -> Steps:
        yield from super()._read(state)
        if state.candidate:
            highest = max(state.candidate, state.highest_link)
            yield (
                "hold unrecorded",
                state._replace(link=state.candidate, candidate=0, highest_link=highest),
            )


class _KeepsStagedVersion(RulesSpec):
    def may_stage(self, state: RulesState) -> bool:
        return state.active == state.held


RULES_FAULTS: Mapping[type[RulesSpec], str] = {
    _AcceptsOlderVersions: "a node's active version never decreases",
    _IgnoresFloor: "a node's active version never decreases",
    _ForgetsSentVersions: "a node's active version never decreases",
    _UpdatesUnconditionally: "a link relay's version never decreases",
    _IgnoresBaseVersion: "a version is applied completely",
    _AcceptsInvalidText: "an invalid version is never applied",
    _ActivatesUnknownService: "the service of every active route is known",
    _HoldsUnrecordedVersion: "every held version is recorded as accepted",
}
"""Maps each faulty variant to the invariant that its check must break."""

BLOCKED_VARIANT: type[RulesSpec] = _KeepsStagedVersion
"""Variant in which the newest version may never become active.

A staged version that the node cannot activate blocks all newer versions.
"""
