"""Specification of how a rules version reaches a node.

A store whose reads may show any earlier value, a link relay, a second relay
that may be paused at any time, and a node that takes from either. Messages
are lost, repeated, delayed and reordered at will. Of the three versions the
first names a service that the node learns of at some time, or never, and the
second does not compile.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import NamedTuple

from papayapost_testing.model.checking import Spec

__all__ = [
    "SNAPSHOT",
    "Held",
    "LateService",
    "Message",
    "RulesSpec",
    "RulesState",
    "Steps",
    "knows_service",
]

LATE = 1
BAD = 2
NEWEST = 3
SNAPSHOT = -1
_CORRUPT = -1


class LateService(Enum):
    """Whether the node knows the service that the first version names."""

    UNKNOWN = "unknown"
    KNOWN = "known"
    NEVER = "never"


class Held(NamedTuple):
    """A version with the text that a node has for it."""

    version: int
    text: int


class Message(NamedTuple):
    """A delta from a base version, or a snapshot."""

    base: int
    version: int


class RulesState(NamedTuple):
    """State of the store, the two relays and the node.

    ``best`` and ``link_best`` are the highest versions ever in force there,
    over all processes; no step reads them. ``known`` is the record's version
    that the link relay would update, None before it has read one.
    ``remembered`` is what the relays know to have sent to the node, until
    they restart; ``floor`` is what they told it when it restarted itself.
    """

    stored: int = 0
    record: int = 0
    link: int = 0
    candidate: int = 0
    known: int | None = None
    link_best: int = 0
    relay: int = 0
    held: Held = Held(0, 0)
    in_force: Held = Held(0, 0)
    best: int = 0
    remembered: int = 0
    is_forgotten: bool = False
    floor: int = 0
    restarts: int = 0
    late: LateService = LateService.UNKNOWN
    wire: tuple[Message, ...] = ()


Steps = Iterator[tuple[str, RulesState]]


class RulesSpec(Spec):
    """The protocol as it is built; subclasses break one guard each.

    Parameters
    ----------
    wire_slots
        Messages to the node that are in flight at once, at most.
    restarts
        Restarts of the node and of the link relay, at most.
    """

    def __init__(self, wire_slots: int = 1, restarts: int = 1):
        self._wire_slots = wire_slots
        self._restarts = restarts

    def initial(self) -> RulesState:
        """Return the state before the first edit."""
        return RulesState(restarts=self._restarts)

    def steps(self, state: RulesState) -> list[tuple[str, RulesState]]:
        """Return every step that can be taken."""
        return [
            *self._edit(state),
            *self._read(state),
            *self._record(state),
            *self._relay(state),
            *self._send(state),
            *self._deliver(state),
            *self._swap(state),
            *self._heartbeat(state),
            *self._restart(state),
        ]

    def invariants(self) -> Mapping[str, Callable[[RulesState], bool]]:
        """Return the promises to the users that concern versions."""
        return {
            "a node never moves back": _never_moves_back,
            "a link relay never moves back": _link_never_moves_back,
            "a version is applied whole": _is_whole,
            "a bad version is never applied": _is_good,
            "every route's service is known": _knows_services,
            "what is in force is recorded as accepted": _is_recorded,
        }

    def goal(self, state: RulesState) -> bool:
        """Return whether the newest version is in force."""
        return state.in_force.version == NEWEST

    def compiles(self, version: int) -> bool:
        """Return whether a node takes the version's text."""
        return version != BAD

    def fits(self, held: Held, message: Message) -> bool:
        """Return whether a message may be applied to what is held."""
        if message.version <= held.version:
            return False
        return message.base in (SNAPSHOT, held.version)

    def may_swap(self, state: RulesState) -> bool:
        """Return whether the held version may be put in force."""
        is_known = knows_service(state, state.held.version)
        return is_known and state.held.version >= state.floor

    def may_stage(self, state: RulesState) -> bool:
        """Return whether a later version may replace the staged one."""
        return True

    def updates_record(self, state: RulesState) -> bool:
        """Return whether the record's condition lets the update through."""
        return state.known == state.record

    def remembers(self, state: RulesState, version: int) -> int:
        """Return what the relays remember after sending a version."""
        return max(state.remembered, version)

    def _edit(self, state: RulesState) -> Steps:
        if state.stored < NEWEST:
            yield "edit", state._replace(stored=state.stored + 1)
        if state.late is LateService.UNKNOWN:
            yield "learn service", state._replace(late=LateService.KNOWN)
            yield "lose service", state._replace(late=LateService.NEVER)

    def _read(self, state: RulesState) -> Steps:
        # A replica may show any earlier value at any time.
        for shown in range(state.stored + 1):
            if shown > max(state.link, state.candidate) and self.compiles(shown):
                yield "read rules", state._replace(candidate=shown)
        if state.known is None:
            for shown in {0, state.record}:
                yield "read record", state._replace(known=shown)

    def _record(self, state: RulesState) -> Steps:
        if not state.candidate or state.known is None:
            return
        if not self.updates_record(state):
            yield "conflict", state._replace(known=None)
            return
        version = max(state.candidate, state.known)
        written = state._replace(record=max(version, state.record))
        yield (
            "record",
            written._replace(
                link=version,
                candidate=0,
                known=written.record,
                link_best=max(version, state.link_best),
            ),
        )
        yield "lose reply", written._replace(known=None)

    def _relay(self, state: RulesState) -> Steps:
        if state.relay < state.link:
            yield "feed relay", state._replace(relay=state.link)

    def _send(self, state: RulesState) -> Steps:
        if len(state.wire) >= self._wire_slots:
            return
        for version in {state.link, state.relay} - {0}:
            bases = {SNAPSHOT, state.held.version, 1} - {0, version}
            for base in bases:
                yield (
                    "send",
                    state._replace(
                        wire=tuple(sorted({*state.wire, Message(base, version)})),
                        remembered=self.remembers(state, version),
                    ),
                )

    def _deliver(self, state: RulesState) -> Steps:
        for position, message in enumerate(state.wire):
            rest = state.wire[:position] + state.wire[position + 1 :]
            yield "lose", state._replace(wire=rest)
            is_staged = state.held.version > state.in_force.version
            if is_staged and not self.may_stage(state):
                continue
            if self.fits(state.held, message):
                is_right = message.base in (SNAPSHOT, state.held.version)
                text = message.version if is_right else _CORRUPT
                held = Held(message.version, text)
                yield "deliver", state._replace(held=held, wire=rest)
                yield "repeat", state._replace(held=held)

    def _heartbeat(self, state: RulesState) -> Steps:
        # Nothing that a former process sent arrives after the heartbeat that
        # its successor hears.
        if state.is_forgotten and not state.wire:
            remembered = max(state.remembered, state.held.version, state.floor)
            yield (
                "heartbeat",
                state._replace(remembered=remembered, is_forgotten=False),
            )

    def _swap(self, state: RulesState) -> Steps:
        if state.held != state.in_force and self.may_swap(state):
            best = max(state.best, state.held.version)
            yield "swap", state._replace(in_force=state.held, best=best)

    def _restart(self, state: RulesState) -> Steps:
        if not state.restarts:
            return
        left = state.restarts - 1
        if state.held.version and not state.is_forgotten:
            empty = Held(0, 0)
            yield (
                "restart node",
                state._replace(
                    held=empty,
                    in_force=empty,
                    floor=max(state.floor, state.remembered),
                    restarts=left,
                ),
            )
        if state.link:
            yield (
                "restart link relay",
                state._replace(
                    link=0,
                    candidate=0,
                    known=None,
                    remembered=0,
                    is_forgotten=True,
                    restarts=left,
                ),
            )


def _never_moves_back(state: RulesState) -> bool:
    return state.in_force.version in (0, state.best)


def _link_never_moves_back(state: RulesState) -> bool:
    return state.link in (0, state.link_best)


def _is_whole(state: RulesState) -> bool:
    return state.in_force.text == state.in_force.version


def _is_good(state: RulesState) -> bool:
    return BAD not in (state.in_force.version, state.link, state.relay)


def _knows_services(state: RulesState) -> bool:
    return knows_service(state, state.in_force.version)


def knows_service(state: RulesState, version: int) -> bool:
    """Return whether the node knows the service that a version names."""
    return version != LATE or state.late is LateService.KNOWN


def _is_recorded(state: RulesState) -> bool:
    return max(state.link, state.relay, state.held.version) <= state.record
