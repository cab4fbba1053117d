"""The promises that the soak checks while it runs."""

from papayapost_testing.soak.checks.accounts import AccountsAreTrue, RemovedKeysStop
from papayapost_testing.soak.checks.base import Check
from papayapost_testing.soak.checks.calls import (
    AnswersAreWhole,
    ProperCallsAreTaken,
    RefusedNeverRuns,
    RunsAreAsSent,
    UnsafeRunsOnce,
)
from papayapost_testing.soak.checks.nodes import (
    MemoryIsBounded,
    NodesRecover,
    OutputHasNoTraceback,
)
from papayapost_testing.soak.checks.planned import (
    DrainedServersRest,
    PlannedWorkCutsNothing,
    ProcessesEndInTime,
)
from papayapost_testing.soak.checks.rules import RulesAreFollowed, RulesNeverGoBack

__all__ = [
    "CHECKS",
    "AccountsAreTrue",
    "AnswersAreWhole",
    "Check",
    "DrainedServersRest",
    "MemoryIsBounded",
    "NodesRecover",
    "OutputHasNoTraceback",
    "PlannedWorkCutsNothing",
    "ProcessesEndInTime",
    "ProperCallsAreTaken",
    "RefusedNeverRuns",
    "RemovedKeysStop",
    "RulesAreFollowed",
    "RulesNeverGoBack",
    "RunsAreAsSent",
    "UnsafeRunsOnce",
]

CHECKS: tuple[type[Check], ...] = (
    AnswersAreWhole,
    UnsafeRunsOnce,
    RefusedNeverRuns,
    RunsAreAsSent,
    ProperCallsAreTaken,
    PlannedWorkCutsNothing,
    DrainedServersRest,
    ProcessesEndInTime,
    RulesAreFollowed,
    RulesNeverGoBack,
    AccountsAreTrue,
    RemovedKeysStop,
    NodesRecover,
    OutputHasNoTraceback,
    MemoryIsBounded,
)
"""The classes of all checks."""
