"""Specification of how one node at a time holds the lease of a partition.

Two candidates compete for a lease in the store. Their writes are conditional,
may be delayed for any time, or be lost before or after the store has made
them, as in a cut. Each process may restart. Time passes in steps. The clocks
of the candidates count the same steps, however late a message arrives.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from papayapost_testing.model.checking import Spec

__all__ = ["Candidate", "LeaseSpec", "LeaseState", "Request"]

VALID_STEPS = 2
"""Steps for which a lease is valid after its write was sent."""

TAKEOVER_STEPS = 3
"""Steps after which a lease that was seen unchanged is taken over."""


class Request(NamedTuple):
    """A conditional write of the lease that is not answered yet.

    ``age`` counts the steps since it was sent, up to ``VALID_STEPS``.
    ``is_current`` tells whether the version that it expects is still the
    newest, and ``is_applied`` whether the store has made the write.
    """

    age: int = 0
    is_current: bool = True
    is_applied: bool = False


class Candidate(NamedTuple):
    """A node that may hold the lease.

    ``valid`` is the number of steps for which it may still lend, and ``seen``
    the number of steps since it saw the newest version; None if it has not.
    """

    valid: int = 0
    seen: int | None = None
    request: Request | None = None


class LeaseState(NamedTuple):
    """State of the store and the candidates.

    ``holder`` is the candidate that the lease in the store names.
    """

    holder: int | None = None
    candidates: tuple[Candidate, Candidate] = (Candidate(), Candidate())
    restarts_left: int = 0


Steps = Iterator[tuple[str, LeaseState]]


class LeaseSpec(Spec):
    """The protocol that the candidates follow; a subclass breaks one guard.

    Parameters
    ----------
    restarts
        Limit on the number of restarts, of both candidates together.
    """

    def __init__(self, restarts: int = 2):
        self._restarts = restarts

    def initial(self) -> LeaseState:
        """Return the state before any node has the lease."""
        return LeaseState(restarts_left=self._restarts)

    def steps(self, state: LeaseState) -> list[tuple[str, LeaseState]]:
        """Return the name and the next state of every possible step."""
        return [
            *self._pass_time(state),
            *self._read(state),
            *self._write(state),
            *self._answer(state),
            *self._restart(state),
        ]

    def invariants(self) -> Mapping[str, Callable[[LeaseState], bool]]:
        """Return the guarantee that the quotas rest on."""
        return {"one node lends under a lease": _is_lender_single}

    def goal(self, state: LeaseState) -> bool:
        """Return whether a candidate may lend."""
        return any(candidate.valid for candidate in state.candidates)

    def valid_steps(self, request: Request) -> int:
        """Return how long a lease is valid once its write is answered."""
        return VALID_STEPS - request.age

    def may_take_over(self, seen: int) -> bool:
        """Return whether a lease of the other candidate is taken over."""
        return seen >= TAKEOVER_STEPS

    def is_written(self, request: Request) -> bool:
        """Return whether the store makes a write that has reached it."""
        return request.is_current

    def seen_after_change(self, candidate: Candidate) -> int | None:
        """Return ``seen`` of a candidate after the other one has written."""
        return None

    def _pass_time(self, state: LeaseState) -> Steps:
        first, second = state.candidates
        yield "pass time", state._replace(candidates=(_older(first), _older(second)))

    def _read(self, state: LeaseState) -> Steps:
        for at, candidate in enumerate(state.candidates):
            if candidate.seen is None and candidate.request is None:
                yield "read", _with(state, at, candidate._replace(seen=0))

    def _write(self, state: LeaseState) -> Steps:
        for at, candidate in enumerate(state.candidates):
            if candidate.request is not None or candidate.seen is None:
                continue
            is_free = state.holder in (None, at)
            if is_free or self.may_take_over(candidate.seen):
                sent = candidate._replace(request=Request())
                yield "send write", _with(state, at, sent)

    def _answer(self, state: LeaseState) -> Steps:
        for at, candidate in enumerate(state.candidates):
            request = candidate.request
            if request is None:
                continue
            unknown = candidate._replace(request=None, seen=None)
            yield "lose request or answer", _with(state, at, unknown)
            if request.is_applied:
                valid = max(0, self.valid_steps(request))
                seen = 0 if state.holder == at else None
                answered = candidate._replace(valid=valid, request=None, seen=seen)
                yield "answer", _with(state, at, answered)
            elif self.is_written(request):
                yield "apply write", self._written(state, at, request)
            else:
                refused = unknown._replace(valid=0)
                yield "refuse write", _with(state, at, refused)

    def _written(self, state: LeaseState, at: int, request: Request) -> LeaseState:
        """Return the state after the store has made a candidate's write."""
        own, other = state.candidates[at], state.candidates[1 - at]
        own = own._replace(request=request._replace(is_applied=True))
        late = other.request
        if late is not None:
            late = late._replace(is_current=False)
        other = other._replace(seen=self.seen_after_change(other), request=late)
        pair = (own, other) if at == 0 else (other, own)
        return state._replace(candidates=pair, holder=at)

    def _restart(self, state: LeaseState) -> Steps:
        if state.restarts_left:
            for at in (0, 1):
                left = state._replace(restarts_left=state.restarts_left - 1)
                yield "restart", _with(left, at, Candidate())


def _older(candidate: Candidate) -> Candidate:
    request, seen = candidate.request, candidate.seen
    if request is not None:
        request = request._replace(age=min(request.age + 1, VALID_STEPS))
    return Candidate(
        max(0, candidate.valid - 1),
        None if seen is None else min(seen + 1, TAKEOVER_STEPS),
        request,
    )


def _with(state: LeaseState, at: int, candidate: Candidate) -> LeaseState:
    first, second = state.candidates
    pair = (candidate, second) if at == 0 else (first, candidate)
    return state._replace(candidates=pair)


def _is_lender_single(state: LeaseState) -> bool:
    return not all(candidate.valid for candidate in state.candidates)
