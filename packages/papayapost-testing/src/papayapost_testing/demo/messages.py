"""Messages between the demo's director and its systems."""

from dataclasses import dataclass

from papayapost.ids import Micros, NodeId, RuleVersion
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.demo.tables import ProcessState, StepRow

__all__ = [
    "ApplyUnderFaultsEnded",
    "NodeActivatedRules",
    "NodeChanged",
    "NodeJoined",
    "OfferedToDrainingNode",
    "PerformStep",
    "ReportProgress",
    "RulesApplied",
    "ScriptDone",
    "ScriptStarted",
    "StepPerformed",
    "StepTimedOut",
    "StepWaitElapsed",
    "StoredRulesRead",
]


@dataclass(slots=True)
class ScriptStarted:
    """Input: start the first step of the script."""


@dataclass(slots=True)
class StepPerformed:
    """Input: the handler of the current step has returned."""


@dataclass(slots=True)
class RulesApplied:
    """Input: the object store accepted a new rules version.

    Parameters
    ----------
    applied_us
        Monotonic time at which the store wrote the version, in µs.
    title
        Circumstances of the change, shown in the summary.
    """

    version: RuleVersion
    applied_us: Micros
    title: str


@dataclass(slots=True)
class NodeActivatedRules:
    """Input: a node logged that a rules version is active.

    Parameters
    ----------
    at_us
        Monotonic time at which the director read the log line, in µs.
    """

    node_id: NodeId
    version: RuleVersion
    at_us: Micros


@dataclass(slots=True)
class ApplyUnderFaultsEnded:
    """Input: ``papaya apply`` ended while the store had faults.

    Parameters
    ----------
    line
        Line that the command tried to add to the rules.
    outcome
        Outcome that the command reported.
    """

    line: str
    outcome: ApplyOutcome


@dataclass(slots=True)
class StoredRulesRead:
    """Input: the rules text was read from the store after its faults ended."""

    text: str


@dataclass(slots=True)
class NodeJoined:
    """Input: a node logged that it found a parent in the tree.

    Parameters
    ----------
    at_us
        Monotonic time at which the director read the log line, in µs.
    """

    node_id: NodeId
    at_us: Micros


@dataclass(slots=True)
class OfferedToDrainingNode:
    """Input: a node logged that it sent an offer to a draining owner node."""

    node_id: NodeId


@dataclass(slots=True)
class NodeChanged:
    """Input: a node's process was started, was signalled or has ended.

    Parameters
    ----------
    exit_code
        Exit code of a process that ended, else None.
    """

    node_id: NodeId
    process_state: ProcessState
    exit_code: int | None = None


@dataclass(slots=True)
class StepWaitElapsed:
    """Timer: the wait after the handler of the step is over."""


@dataclass(slots=True)
class StepTimedOut:
    """Timer: the effect of the step was not observed within its limit."""


@dataclass(slots=True)
class PerformStep:
    """Effect: run the handler of the step."""

    step: StepRow


@dataclass(slots=True)
class ReportProgress:
    """Effect: print a line of progress for the user."""

    text: str


@dataclass(slots=True)
class ScriptDone:
    """Effect: end the run, because the last step is over."""
