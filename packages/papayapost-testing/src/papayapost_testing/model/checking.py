"""Runs the model checker ``minicheck`` on a specification."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from minicheck import Protocol, check_liveness, check_safety

__all__ = ["CheckResult", "Spec", "check"]

MAX_STATES = 200_000
"""Default limit on the number of states that one check visits."""

Invariant = Callable[[Any], bool]


class Spec(ABC):
    """A state machine with named invariants.

    States are named tuples. A subclass that overrides one guard is a faulty
    variant; a check of it must report a broken invariant.
    """

    @abstractmethod
    def initial(self) -> Any:
        """Return the initial state."""

    @abstractmethod
    def steps(self, state: Any) -> list[tuple[str, Any]]:
        """Return the name and the next state of every step from a state."""

    @abstractmethod
    def invariants(self) -> Mapping[str, Invariant]:
        """Return, by name, the predicates that must hold in every state."""

    def goal(self, state: Any) -> bool:
        """Return whether a state is a goal of the liveness check.

        The check requires that a goal is reachable from every state.
        """
        return True


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of checking one specification.

    Parameters
    ----------
    states
        Number of reachable states that the checker visited.
    is_exhaustive
        Whether the checker visited all reachable states.
    broken
        Names of the invariants that do not hold in some visited state.
    is_goal_reachable
        Whether a goal state can be reached from every state; None if the
        liveness check was not requested.
    """

    states: int
    is_exhaustive: bool
    broken: frozenset[str]
    is_goal_reachable: bool | None

    @property
    def holds(self) -> bool:
        """Whether the search was exhaustive and every invariant holds."""
        return self.is_exhaustive and not self.broken


def check(
    spec: Spec, checks_goal: bool = False, max_states: int = MAX_STATES
) -> CheckResult:
    """Search the states of a specification breadth-first.

    Parameters
    ----------
    checks_goal
        Whether to check as well that a goal state is reachable from every
        state.
    max_states
        Number of states after which the search stops. An invariant that was
        found broken by then is reported even if the search is incomplete.
    """
    initial = spec.initial()
    state_type = type(initial)
    builder = _StateBuilder(state_type)
    protocol = Protocol(
        name=type(spec).__name__,
        candidate=False,
        fields=state_type._fields,
        initial=initial,
        transitions=spec.steps,
        invariants={
            name: builder.wrap(predicate)
            for name, predicate in spec.invariants().items()
        },
        goal=builder.wrap(spec.goal),
    )
    safety = check_safety(protocol, max_states)
    broken = frozenset(
        name
        for name, result in safety["properties"].items()
        if result["holds"] is False
    )
    reachable = check_liveness(protocol)["holds"] if checks_goal else None
    return CheckResult(
        safety["reachable_states"], safety["exhaustive"], broken, reachable
    )


class _StateBuilder:
    """Builds the state tuple from the mapping of fields that minicheck passes.

    The last state is cached, since every invariant is called with the same
    mapping object.
    """

    def __init__(self, state_type: Any):
        self._state_type = state_type
        self._fields: dict | None = None
        self._state: Any = None

    def wrap(self, predicate: Invariant) -> Callable[[dict], bool]:
        """Wrap a predicate on states so that it takes a mapping of fields."""
        return lambda fields: predicate(self._build(fields))

    def _build(self, fields: dict) -> Any:
        if fields is not self._fields:
            self._fields = fields
            self._state = self._state_type(**fields)
        return self._state
