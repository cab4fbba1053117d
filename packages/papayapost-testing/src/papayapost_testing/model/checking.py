"""Runs the model checker on a specification."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from minicheck import Protocol, check_liveness, check_safety

__all__ = ["Spec", "Verdict", "check"]

MAX_STATES = 200_000
"""Largest search, of all specifications."""

Invariant = Callable[[Any], bool]


class Spec(ABC):
    """A state machine with named invariants.

    States are named tuples. A faulty variant is a subclass that overrides
    one guard.
    """

    @abstractmethod
    def initial(self) -> Any:
        """Return the first state."""

    @abstractmethod
    def steps(self, state: Any) -> list[tuple[str, Any]]:
        """Return every step that can be taken, by name, with its result."""

    @abstractmethod
    def invariants(self) -> Mapping[str, Invariant]:
        """Return what must hold in every state, by name."""

    def goal(self, state: Any) -> bool:
        """Return whether this is a state that must stay within reach."""
        return True


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the checker found.

    Parameters
    ----------
    states
        Reachable states that were visited.
    is_exhaustive
        Whether these were all.
    broken
        Names of the invariants that some state breaks.
    is_goal_reachable
        Whether the goal can be reached from every state; None if that was
        not asked.
    """

    states: int
    is_exhaustive: bool
    broken: frozenset[str]
    is_goal_reachable: bool | None

    @property
    def holds(self) -> bool:
        """Whether all was searched and nothing is broken."""
        return self.is_exhaustive and not self.broken


def check(spec: Spec, asks_goal: bool = False, max_states: int = MAX_STATES) -> Verdict:
    """Search the states of a specification, nearest first.

    Parameters
    ----------
    asks_goal
        Whether to check that the goal stays within reach as well.
    max_states
        Where to stop; what is found broken until then is broken.
    """
    initial = spec.initial()
    state_type = type(initial)
    state = _StateOfFields(state_type)
    protocol = Protocol(
        name=type(spec).__name__,
        candidate=False,
        fields=state_type._fields,
        initial=initial,
        transitions=spec.steps,
        invariants={
            name: state.reads(holds) for name, holds in spec.invariants().items()
        },
        goal=state.reads(spec.goal),
    )
    found = check_safety(protocol, max_states)
    broken = frozenset(
        name for name, result in found["properties"].items() if result["holds"] is False
    )
    reachable = check_liveness(protocol)["holds"] if asks_goal else None
    return Verdict(found["reachable_states"], found["exhaustive"], broken, reachable)


class _StateOfFields:
    """Turns the checker's mapping back into a state, once per mapping."""

    def __init__(self, state_type: Any):
        self._state_type = state_type
        self._fields: dict | None = None
        self._state: Any = None

    def reads(self, holds: Invariant) -> Callable[[dict], bool]:
        """Return the invariant as the checker calls it."""
        return lambda fields: holds(self._of(fields))

    def _of(self, fields: dict) -> Any:
        if fields is not self._fields:
            self._fields = fields
            self._state = self._state_type(**fields)
        return self._state
