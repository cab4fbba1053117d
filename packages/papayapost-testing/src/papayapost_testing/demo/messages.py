"""Messages of the demo's director."""

from dataclasses import dataclass

from papayapost.ids import Micros, NodeId, RuleVersion
from papayapost.record.apply import ApplyOutcome
from papayapost_testing.demo.tables import NodeRun, StepRow

__all__ = [
    "NodeChanged",
    "NodeInForce",
    "NodeJoined",
    "OfferedToLeaver",
    "Perform",
    "Progress",
    "RestOver",
    "RulesApplied",
    "RulesStored",
    "RulesTried",
    "ScriptDone",
    "ScriptStarted",
    "StepLate",
    "StepPerformed",
]


@dataclass(slots=True)
class ScriptStarted:
    """Input: begin with the first step."""


@dataclass(slots=True)
class StepPerformed:
    """Input: the shell has carried the step out."""


@dataclass(slots=True)
class RulesApplied:
    """Input: the store took a new version."""

    version: RuleVersion
    applied_us: Micros
    title: str


@dataclass(slots=True)
class NodeInForce:
    """Input: a node logged that a version is in force."""

    node_id: NodeId
    version: RuleVersion
    at_us: Micros


@dataclass(slots=True)
class RulesTried:
    """Input: ``papaya apply`` ended while the store had faults."""

    line: str
    outcome: ApplyOutcome


@dataclass(slots=True)
class RulesStored:
    """Input: the text that a healthy store holds."""

    text: str


@dataclass(slots=True)
class NodeJoined:
    """Input: a node logged that it has a parent."""

    node_id: NodeId
    at_us: Micros


@dataclass(slots=True)
class OfferedToLeaver:
    """Input: a node logged that it offered work to a leaving owner."""

    node_id: NodeId


@dataclass(slots=True)
class NodeChanged:
    """Input: a node's process was started, signalled or has ended."""

    node_id: NodeId
    run: NodeRun
    exit_code: int | None = None


@dataclass(slots=True)
class RestOver:
    """Timer: the step has gone on long enough."""


@dataclass(slots=True)
class StepLate:
    """Timer: the step's effect was not seen in time."""


@dataclass(slots=True)
class Perform:
    """Effect: carry the step out."""

    step: StepRow


@dataclass(slots=True)
class Progress:
    """Effect: tell the user."""

    text: str


@dataclass(slots=True)
class ScriptDone:
    """Effect: all steps are over."""
