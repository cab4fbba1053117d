"""Specification of at-most-once calls under one idempotency key.

Two calls carry the same key, as when a caller repeats a charge through
another entry node. Two owner nodes may take their attempts, one of them may
restart. Offers are repeated and reordered, replies of the store and of the
owners are lost.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import NamedTuple

from papayapost_testing.model.checking import Spec

__all__ = ["AT_MOST_ONCE_FAULTS", "AtMostOnceSpec", "AtMostOnceState"]

_MAX_ATTEMPTS = 2


class CallState(Enum):
    """What the entry node knows of a call."""

    NEW = "new"
    SENT = "sent"
    NOT_RUN = "refused-not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class ClaimState(Enum):
    """Progress of an owner's claim."""

    WANTED = "wanted"
    UNKNOWN = "unknown"


class Call(NamedTuple):
    """A call with the number of its newest attempt."""

    state: CallState = CallState.NEW
    attempt: int = 0


class Offer(NamedTuple):
    """An attempt at one owner's process.

    All earlier attempts of its call were refused as not run.
    """

    call: int
    attempt: int
    owner: int
    process: int


class OwnerNode(NamedTuple):
    """An owner's process with the offer that it is deciding."""

    process: int = 0
    offer: Offer | None = None
    claim: ClaimState = ClaimState.WANTED
    decided: frozenset[Offer] = frozenset()


class AtMostOnceState(NamedTuple):
    """State of the store's claim, the calls, the owners and the wire."""

    claim: Offer | None = None
    calls: tuple[Call, ...] = (Call(), Call())
    owners: tuple[OwnerNode, ...] = (OwnerNode(), OwnerNode())
    wire: frozenset[Offer] = frozenset()
    ran: tuple[int, ...] = ()


Steps = Iterator[tuple[str, AtMostOnceState]]


class AtMostOnceSpec(Spec):
    """The protocol as it is built; subclasses break one guard each."""

    def initial(self) -> AtMostOnceState:
        """Return the state before the first call."""
        return AtMostOnceState()

    def steps(self, state: AtMostOnceState) -> list[tuple[str, AtMostOnceState]]:
        """Return every step that can be taken."""
        found: list[tuple[str, AtMostOnceState]] = []
        for number in range(len(state.calls)):
            found.extend(self._send(state, number))
        for number, owner in enumerate(state.owners):
            if owner.offer is None:
                found.extend(self._deliver(state, number))
            else:
                found.extend(self._decide(state, number, owner.offer))
        found.extend(self._restart(state))
        return found

    def invariants(self) -> Mapping[str, Callable[[AtMostOnceState], bool]]:
        """Return the promises to the users that concern charges."""
        return {
            "a charge runs at most once": _runs_once,
            "a refusal as not run is true": _refusals_are_true,
        }

    def may_resend(self, call: Call) -> bool:
        """Return whether a further attempt may follow."""
        return call.state in (CallState.NEW, CallState.NOT_RUN)

    def is_decided(self, owner: OwnerNode, offer: Offer) -> bool:
        """Return whether this process has decided on the attempt."""
        return offer in owner.decided

    def is_addressed(self, owner: OwnerNode, offer: Offer) -> bool:
        """Return whether the offer is meant for this process."""
        return offer.process == owner.process

    def may_take_over(self, claim: Offer, wanted: Offer) -> bool:
        """Return whether a claim of the same call counts as free."""
        return claim.call == wanted.call and claim.attempt < wanted.attempt

    def runs_unconfirmed(self) -> bool:
        """Return whether a lost reply of the store counts as a claim."""
        return False

    def _send(self, state: AtMostOnceState, number: int) -> Steps:
        call = state.calls[number]
        if self.may_resend(call) and call.attempt < _MAX_ATTEMPTS:
            attempt = call.attempt + 1
            sent = _with_call(state, number, Call(CallState.SENT, attempt))
            for owner, node in enumerate(state.owners):
                # The entry node may not know yet that the owner restarted.
                for process in range(node.process + 1):
                    offer = Offer(number, attempt, owner, process)
                    yield "send", sent._replace(wire=sent.wire | {offer})
        if call.state is CallState.SENT:
            yield (
                "time out",
                _with_call(state, number, call._replace(state=CallState.UNKNOWN)),
            )

    def _deliver(self, state: AtMostOnceState, number: int) -> Steps:
        # An offer stays on the wire: it may be repeated at any later time.
        owner = state.owners[number]
        for offer in state.wire:
            if offer.owner != number or self.is_decided(owner, offer):
                continue
            if not self.is_addressed(owner, offer):
                continue
            taken = owner._replace(
                offer=offer,
                claim=ClaimState.WANTED,
                decided=owner.decided | {offer},
            )
            yield "deliver", _with_owner(state, number, taken)

    def _decide(self, state: AtMostOnceState, number: int, offer: Offer) -> Steps:
        owner = state.owners[number]
        idle = _with_owner(state, number, owner._replace(offer=None))
        if owner.claim is ClaimState.WANTED:
            yield from self._claim(state, idle, number, offer)
            return
        claim = state.claim
        if claim is None:
            again = owner._replace(claim=ClaimState.WANTED)
            yield "read no claim", _with_owner(state, number, again)
        elif claim == offer:
            yield from self._run(idle, offer)
        else:
            yield from self._refuse_claimed(idle, offer)

    def _claim(
        self, state: AtMostOnceState, idle: AtMostOnceState, number: int, offer: Offer
    ) -> Steps:
        claim = state.claim
        yield from _answer(idle, offer, CallState.NOT_RUN, "shed")
        if claim is not None and not self.may_take_over(claim, offer):
            yield from self._refuse_claimed(idle, offer)
            return
        yield from self._run(idle._replace(claim=offer), offer)
        if self.runs_unconfirmed():
            yield from self._run(idle, offer)
        unknown = state.owners[number]._replace(claim=ClaimState.UNKNOWN)
        lost = _with_owner(state, number, unknown)
        yield "lose update", lost
        yield "lose reply of update", lost._replace(claim=offer)

    def _run(self, idle: AtMostOnceState, offer: Offer) -> Steps:
        ran = idle._replace(ran=(*idle.ran, offer.call))
        yield "run, lose answer", ran
        yield from _answer(ran, offer, CallState.ANSWERED, "run")

    def _refuse_claimed(self, idle: AtMostOnceState, offer: Offer) -> Steps:
        yield "lose refusal", idle
        yield from _answer(idle, offer, CallState.NOT_RUN, "duplicate")

    def _restart(self, state: AtMostOnceState) -> Steps:
        owner = state.owners[0]
        if owner.process == 0:
            yield "restart owner", _with_owner(state, 0, OwnerNode(process=1))


def _with_call(state: AtMostOnceState, number: int, call: Call) -> AtMostOnceState:
    calls = (*state.calls[:number], call, *state.calls[number + 1 :])
    return state._replace(calls=calls)


def _with_owner(
    state: AtMostOnceState, number: int, owner: OwnerNode
) -> AtMostOnceState:
    owners = (*state.owners[:number], owner, *state.owners[number + 1 :])
    return state._replace(owners=owners)


def _answer(
    state: AtMostOnceState, offer: Offer, result: CallState, name: str
) -> Steps:
    """Yield the step in which an answer reaches the entry node in time."""
    call = state.calls[offer.call]
    if call == Call(CallState.SENT, offer.attempt):
        yield name, _with_call(state, offer.call, call._replace(state=result))


def _runs_once(state: AtMostOnceState) -> bool:
    return len(state.ran) <= 1


def _refusals_are_true(state: AtMostOnceState) -> bool:
    return not any(
        call.state is CallState.NOT_RUN and number in state.ran
        for number, call in enumerate(state.calls)
    )


class _ResendsUnknown(AtMostOnceSpec):
    def may_resend(self, call: Call) -> bool:
        return call.state not in (CallState.SENT, CallState.ANSWERED)


class _RunsOnLostReply(AtMostOnceSpec):
    def runs_unconfirmed(self) -> bool:
        return True


class _IgnoresClaims(AtMostOnceSpec):
    def may_take_over(self, claim: Offer, wanted: Offer) -> bool:
        return True


class _ForgetsAttempts(AtMostOnceSpec):
    def is_decided(self, owner: OwnerNode, offer: Offer) -> bool:
        return False


class _TakesReplays(AtMostOnceSpec):
    def is_addressed(self, owner: OwnerNode, offer: Offer) -> bool:
        return True


AT_MOST_ONCE_FAULTS: Mapping[type[AtMostOnceSpec], str] = {
    _ResendsUnknown: "a charge runs at most once",
    _RunsOnLostReply: "a charge runs at most once",
    _IgnoresClaims: "a charge runs at most once",
    _ForgetsAttempts: "a refusal as not run is true",
    _TakesReplays: "a refusal as not run is true",
}
"""Variants with one guard broken, and the invariant that must tell."""
