"""Specification of at-most-once execution under one idempotency key.

Two calls carry the same idempotency key, as when a caller repeats a charge
through another entry node. Either of two owner nodes may run an attempt, and
one owner node may restart. Offers can be duplicated and reordered; replies of
the store and answers of the owner nodes can be lost.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import NamedTuple

from papayapost_testing.model.checking import Spec

__all__ = ["AT_MOST_ONCE_FAULTS", "AtMostOnceSpec", "AtMostOnceState"]

_MAX_ATTEMPTS = 2


class CallState(Enum):
    """State of a call at its entry node."""

    NEW = "new"
    SENT = "sent"
    NOT_RUN = "refused-not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class ClaimState(Enum):
    """State of an owner node's claim on the idempotency key.

    WANTED means that the owner node has yet to write the claim. UNKNOWN means
    that the reply of the store was lost and the claim may be stored or not.
    """

    WANTED = "wanted"
    UNKNOWN = "unknown"


class Call(NamedTuple):
    """A call at its entry node, with the number of its latest attempt."""

    state: CallState = CallState.NEW
    attempt: int = 0


class Offer(NamedTuple):
    """An offer of one attempt to one process of an owner node.

    An entry node sends it only after all earlier attempts of the call were
    refused as not run.
    """

    call: int
    attempt: int
    owner: int
    process: int


class OwnerNode(NamedTuple):
    """One process of an owner node, with the offer that it is handling.

    ``accepted`` holds the offers that this process has accepted so far; the
    process ignores duplicates of them. A restart clears it.
    """

    process: int = 0
    offer: Offer | None = None
    claim: ClaimState = ClaimState.WANTED
    accepted: frozenset[Offer] = frozenset()


class AtMostOnceState(NamedTuple):
    """State of the whole model.

    ``claim`` is the offer that the store's claim on the key names.
    ``in_flight`` holds the offers that the network may still deliver.
    ``executions`` holds the number of the call of each execution, in order.
    """

    claim: Offer | None = None
    calls: tuple[Call, ...] = (Call(), Call())
    owners: tuple[OwnerNode, ...] = (OwnerNode(), OwnerNode())
    in_flight: frozenset[Offer] = frozenset()
    executions: tuple[int, ...] = ()


Steps = Iterator[tuple[str, AtMostOnceState]]


class AtMostOnceSpec(Spec):
    """The protocol that the nodes implement; a subclass breaks one guard."""

    def initial(self) -> AtMostOnceState:
        """Return the state before the first call is sent."""
        return AtMostOnceState()

    def steps(self, state: AtMostOnceState) -> list[tuple[str, AtMostOnceState]]:
        """Return the name and the next state of every possible step."""
        next_steps: list[tuple[str, AtMostOnceState]] = []
        for number in range(len(state.calls)):
            next_steps.extend(self._send(state, number))
        for number, owner in enumerate(state.owners):
            if owner.offer is None:
                next_steps.extend(self._deliver(state, number))
            else:
                next_steps.extend(self._decide(state, number, owner.offer))
        next_steps.extend(self._restart(state))
        return next_steps

    def invariants(self) -> Mapping[str, Callable[[AtMostOnceState], bool]]:
        """Return the guarantees that callers rely on for calls with a key."""
        return {
            "a charge runs at most once": _runs_at_most_once,
            "a call refused as not run has not run": _refused_calls_did_not_run,
        }

    def may_send_attempt(self, call: Call) -> bool:
        """Return whether the entry node may send another attempt of a call."""
        return call.state in (CallState.NEW, CallState.NOT_RUN)

    def has_accepted(self, owner: OwnerNode, offer: Offer) -> bool:
        """Return whether the process has already accepted the offer."""
        return offer in owner.accepted

    def is_for_process(self, owner: OwnerNode, offer: Offer) -> bool:
        """Return whether the offer names the owner node's current process."""
        return offer.process == owner.process

    def may_take_over(self, claim: Offer, wanted: Offer) -> bool:
        """Return whether an offer may replace the claim of another offer.

        It may if the claim belongs to an earlier attempt of the same call,
        since that attempt was refused as not run.
        """
        return claim.call == wanted.call and claim.attempt < wanted.attempt

    def may_run_unconfirmed(self) -> bool:
        """Return whether an attempt may run before its claim is confirmed."""
        return False

    def _send(self, state: AtMostOnceState, number: int) -> Steps:
        call = state.calls[number]
        if self.may_send_attempt(call) and call.attempt < _MAX_ATTEMPTS:
            attempt = call.attempt + 1
            sent = _with_call(state, number, Call(CallState.SENT, attempt))
            for owner, node in enumerate(state.owners):
                # The offer may name an earlier process of the owner node:
                # the entry node may not know yet that the node restarted.
                for process in range(node.process + 1):
                    offer = Offer(number, attempt, owner, process)
                    yield "send", sent._replace(in_flight=sent.in_flight | {offer})
        if call.state is CallState.SENT:
            yield (
                "time out",
                _with_call(state, number, call._replace(state=CallState.UNKNOWN)),
            )

    def _deliver(self, state: AtMostOnceState, number: int) -> Steps:
        # Delivery leaves the offer in flight, so that the network may deliver
        # a duplicate of it at any later time.
        owner = state.owners[number]
        for offer in state.in_flight:
            if offer.owner != number or self.has_accepted(owner, offer):
                continue
            if not self.is_for_process(owner, offer):
                continue
            busy = owner._replace(
                offer=offer,
                claim=ClaimState.WANTED,
                accepted=owner.accepted | {offer},
            )
            yield "deliver", _with_owner(state, number, busy)

    def _decide(self, state: AtMostOnceState, number: int, offer: Offer) -> Steps:
        owner = state.owners[number]
        idle = _with_owner(state, number, owner._replace(offer=None))
        if owner.claim is ClaimState.WANTED:
            yield from self._claim(state, idle, number, offer)
            return
        claim = state.claim
        if claim is None:
            unclaimed = owner._replace(claim=ClaimState.WANTED)
            yield "read no claim", _with_owner(state, number, unclaimed)
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
        if self.may_run_unconfirmed():
            yield from self._run(idle, offer)
        unknown = state.owners[number]._replace(claim=ClaimState.UNKNOWN)
        lost = _with_owner(state, number, unknown)
        yield "lose update", lost
        yield "lose reply of update", lost._replace(claim=offer)

    def _run(self, idle: AtMostOnceState, offer: Offer) -> Steps:
        ran = idle._replace(executions=(*idle.executions, offer.call))
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
    """Yield the step in which a reply arrives before the call's deadline."""
    call = state.calls[offer.call]
    if call == Call(CallState.SENT, offer.attempt):
        yield name, _with_call(state, offer.call, call._replace(state=result))


def _runs_at_most_once(state: AtMostOnceState) -> bool:
    return len(state.executions) <= 1


def _refused_calls_did_not_run(state: AtMostOnceState) -> bool:
    return not any(
        call.state is CallState.NOT_RUN and number in state.executions
        for number, call in enumerate(state.calls)
    )


class _RetriesUnknownOutcome(AtMostOnceSpec):
    def may_send_attempt(self, call: Call) -> bool:
        return call.state not in (CallState.SENT, CallState.ANSWERED)


class _RunsWithoutConfirmedClaim(AtMostOnceSpec):
    def may_run_unconfirmed(self) -> bool:
        return True


class _TakesOverAnyClaim(AtMostOnceSpec):
    def may_take_over(self, claim: Offer, wanted: Offer) -> bool:
        return True


class _ForgetsAcceptedOffers(AtMostOnceSpec):
    def has_accepted(self, owner: OwnerNode, offer: Offer) -> bool:
        return False


class _AcceptsOffersToOldProcess(AtMostOnceSpec):
    def is_for_process(self, owner: OwnerNode, offer: Offer) -> bool:
        return True


AT_MOST_ONCE_FAULTS: Mapping[type[AtMostOnceSpec], str] = {
    _RetriesUnknownOutcome: "a charge runs at most once",
    _RunsWithoutConfirmedClaim: "a charge runs at most once",
    _TakesOverAnyClaim: "a charge runs at most once",
    _ForgetsAcceptedOffers: "a call refused as not run has not run",
    _AcceptsOffersToOldProcess: "a call refused as not run has not run",
}
"""Maps each faulty variant to the invariant that its check must break."""
