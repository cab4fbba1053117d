"""Specification of how a rules version reaches a node.

The model has a store whose reads may return any earlier value, a link relay,
a second relay that may pause at any time, and a node that accepts versions
from both relays. Messages can be lost, duplicated, delayed and reordered.
There are three versions: the first routes to a service that the node
discovers late or never, the second does not compile, and the third is valid.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import NamedTuple

from papayapost_testing.model.checking import Spec

__all__ = [
    "SNAPSHOT",
    "HeldVersion",
    "LateService",
    "Message",
    "RulesSpec",
    "RulesState",
    "Steps",
    "is_service_known",
]

LATE_SERVICE_VERSION = 1
INVALID_VERSION = 2
NEWEST_VERSION = 3
SNAPSHOT = -1
_CORRUPT = -1


class LateService(Enum):
    """Whether the node knows the service that the first version routes to.

    NEVER means that the node will not discover the service any more.
    """

    UNKNOWN = "unknown"
    KNOWN = "known"
    NEVER = "never"


class HeldVersion(NamedTuple):
    """A version that the node holds, with the text that it has for it.

    ``text`` equals ``version`` if the text is complete. It is ``_CORRUPT`` if
    the node applied a delta to the wrong base version.
    """

    version: int
    text: int


class Message(NamedTuple):
    """A delta from a base version; a snapshot if the base is ``SNAPSHOT``."""

    base: int
    version: int


class RulesState(NamedTuple):
    """State of the store, the two relays and the node.

    ``stored`` is the newest version in the store; ``link`` and ``relay`` are
    the versions that the link relay and the second relay hold, 0 for none.
    ``highest_active`` is the highest version that was ever active on the
    node, and ``highest_link`` the highest that the link relay ever held;
    restarts don't reset them, and only invariants read them. ``record`` is
    the version that the store's record names as accepted. ``known_record`` is
    the version that the link relay has last read from this record, None
    before the first read. ``candidate`` is a version that the link relay has
    read but not recorded yet, 0 for none. ``highest_sent`` is the highest
    version that the relays know they sent to the node; a restart of the link
    relay clears it and sets ``is_sent_unknown``. ``floor`` is the lowest
    version that the node may activate; after a restart of the node it becomes
    the highest version that the relays know they sent. ``restarts_left`` is
    the number of restarts that may still happen.
    """

    stored: int = 0
    record: int = 0
    link: int = 0
    candidate: int = 0
    known_record: int | None = None
    highest_link: int = 0
    relay: int = 0
    held: HeldVersion = HeldVersion(0, 0)
    active: HeldVersion = HeldVersion(0, 0)
    highest_active: int = 0
    highest_sent: int = 0
    is_sent_unknown: bool = False
    floor: int = 0
    restarts_left: int = 0
    late_service: LateService = LateService.UNKNOWN
    in_flight: tuple[Message, ...] = ()


Steps = Iterator[tuple[str, RulesState]]


class RulesSpec(Spec):
    """The protocol that the nodes implement; a subclass breaks one guard.

    Parameters
    ----------
    max_in_flight
        Limit on the number of messages in flight to the node at once.
    restarts
        Limit on the number of restarts, of the node and the link relay
        together.
    """

    def __init__(self, max_in_flight: int = 1, restarts: int = 1):
        self._max_in_flight = max_in_flight
        self._restarts = restarts

    def initial(self) -> RulesState:
        """Return the state before the rules are edited for the first time."""
        return RulesState(restarts_left=self._restarts)

    def steps(self, state: RulesState) -> list[tuple[str, RulesState]]:
        """Return the name and the next state of every possible step."""
        return [
            *self._edit(state),
            *self._read(state),
            *self._record(state),
            *self._feed_relay(state),
            *self._send(state),
            *self._deliver(state),
            *self._activate(state),
            *self._heartbeat(state),
            *self._restart(state),
        ]

    def invariants(self) -> Mapping[str, Callable[[RulesState], bool]]:
        """Return the guarantees that users rely on for rules versions."""
        return {
            "a node's active version never decreases": _active_never_decreases,
            "a link relay's version never decreases": _link_never_decreases,
            "a version is applied completely": _is_complete,
            "an invalid version is never applied": _is_valid,
            "the service of every active route is known": _are_services_known,
            "every held version is recorded as accepted": _is_recorded,
        }

    def goal(self, state: RulesState) -> bool:
        """Return whether the newest version is active on the node."""
        return state.active.version == NEWEST_VERSION

    def compiles(self, version: int) -> bool:
        """Return whether the text of a version compiles."""
        return version != INVALID_VERSION

    def may_apply(self, held: HeldVersion, message: Message) -> bool:
        """Return whether the node may apply a message to its held version.

        The message must be newer than the held version, and be a snapshot or
        a delta from exactly the held version.
        """
        if message.version <= held.version:
            return False
        return message.base in (SNAPSHOT, held.version)

    def may_activate(self, state: RulesState) -> bool:
        """Return whether the node may activate its held version.

        The node must know the services that the version routes to, and the
        version must not be lower than ``floor``.
        """
        is_known = is_service_known(state, state.held.version)
        return is_known and state.held.version >= state.floor

    def may_stage(self, state: RulesState) -> bool:
        """Return whether a newer version may replace the staged version.

        A staged version is held by the node but not active yet.
        """
        return True

    def may_update_record(self, state: RulesState) -> bool:
        """Return whether the conditional update of the record succeeds.

        It succeeds if the record still has the version that the link relay
        read.
        """
        return state.known_record == state.record

    def highest_sent_after(self, state: RulesState, version: int) -> int:
        """Return ``highest_sent`` after a relay has sent a version."""
        return max(state.highest_sent, version)

    def _edit(self, state: RulesState) -> Steps:
        if state.stored < NEWEST_VERSION:
            yield "edit", state._replace(stored=state.stored + 1)
        if state.late_service is LateService.UNKNOWN:
            yield "learn service", state._replace(late_service=LateService.KNOWN)
            yield "lose service", state._replace(late_service=LateService.NEVER)

    def _read(self, state: RulesState) -> Steps:
        # A read from a replica of the store may return any earlier value.
        for version_read in range(state.stored + 1):
            if version_read > max(state.link, state.candidate) and self.compiles(
                version_read
            ):
                yield "read rules", state._replace(candidate=version_read)
        if state.known_record is None:
            for version_read in {0, state.record}:
                yield "read record", state._replace(known_record=version_read)

    def _record(self, state: RulesState) -> Steps:
        if not state.candidate or state.known_record is None:
            return
        if not self.may_update_record(state):
            yield "conflict", state._replace(known_record=None)
            return
        version = max(state.candidate, state.known_record)
        recorded = state._replace(record=max(version, state.record))
        yield (
            "record",
            recorded._replace(
                link=version,
                candidate=0,
                known_record=recorded.record,
                highest_link=max(version, state.highest_link),
            ),
        )
        yield "lose reply", recorded._replace(known_record=None)

    def _feed_relay(self, state: RulesState) -> Steps:
        if state.relay < state.link:
            yield "feed relay", state._replace(relay=state.link)

    def _send(self, state: RulesState) -> Steps:
        if len(state.in_flight) >= self._max_in_flight:
            return
        for version in {state.link, state.relay} - {0}:
            bases = {SNAPSHOT, state.held.version, 1} - {0, version}
            for base in bases:
                yield (
                    "send",
                    state._replace(
                        in_flight=tuple(
                            sorted({*state.in_flight, Message(base, version)})
                        ),
                        highest_sent=self.highest_sent_after(state, version),
                    ),
                )

    def _deliver(self, state: RulesState) -> Steps:
        for position, message in enumerate(state.in_flight):
            rest = state.in_flight[:position] + state.in_flight[position + 1 :]
            yield "lose", state._replace(in_flight=rest)
            is_staged = state.held.version > state.active.version
            if is_staged and not self.may_stage(state):
                continue
            if self.may_apply(state.held, message):
                is_base_held = message.base in (SNAPSHOT, state.held.version)
                text = message.version if is_base_held else _CORRUPT
                held = HeldVersion(message.version, text)
                yield "deliver", state._replace(held=held, in_flight=rest)
                yield "repeat", state._replace(held=held)

    def _heartbeat(self, state: RulesState) -> Steps:
        # The heartbeat is possible only while no message is in flight, since
        # messages from the relay's old process never arrive after the first
        # heartbeat to its new process.
        if state.is_sent_unknown and not state.in_flight:
            highest_sent = max(state.highest_sent, state.held.version, state.floor)
            yield (
                "heartbeat",
                state._replace(highest_sent=highest_sent, is_sent_unknown=False),
            )

    def _activate(self, state: RulesState) -> Steps:
        if state.held != state.active and self.may_activate(state):
            highest_active = max(state.highest_active, state.held.version)
            yield (
                "swap",
                state._replace(active=state.held, highest_active=highest_active),
            )

    def _restart(self, state: RulesState) -> Steps:
        if not state.restarts_left:
            return
        left = state.restarts_left - 1
        if state.held.version and not state.is_sent_unknown:
            empty = HeldVersion(0, 0)
            yield (
                "restart node",
                state._replace(
                    held=empty,
                    active=empty,
                    floor=max(state.floor, state.highest_sent),
                    restarts_left=left,
                ),
            )
        if state.link:
            yield (
                "restart link relay",
                state._replace(
                    link=0,
                    candidate=0,
                    known_record=None,
                    highest_sent=0,
                    is_sent_unknown=True,
                    restarts_left=left,
                ),
            )


def _active_never_decreases(state: RulesState) -> bool:
    return state.active.version in (0, state.highest_active)


def _link_never_decreases(state: RulesState) -> bool:
    return state.link in (0, state.highest_link)


def _is_complete(state: RulesState) -> bool:
    return state.active.text == state.active.version


def _is_valid(state: RulesState) -> bool:
    return INVALID_VERSION not in (state.active.version, state.link, state.relay)


def _are_services_known(state: RulesState) -> bool:
    return is_service_known(state, state.active.version)


def is_service_known(state: RulesState, version: int) -> bool:
    """Return whether the node knows the service that a version routes to."""
    return version != LATE_SERVICE_VERSION or state.late_service is LateService.KNOWN


def _is_recorded(state: RulesState) -> bool:
    return max(state.link, state.relay, state.held.version) <= state.record
