"""The lasting record of who changed which rule when."""

from papayapost.record.changeset import (
    RulesText,
    SizedChanges,
    changes_between,
)
from papayapost.record.messages import StepDone, StepFailed, StepId, StepWanted
from papayapost.record.model import (
    RECORD_KEY,
    Attribution,
    ChangeDetail,
    ChangeEntry,
    ChangeSet,
    Operator,
    Proposal,
    ProposalId,
    RecordPage,
    detail_key,
    page_key,
)
from papayapost.record.part import RecordPart, build_record, keeper_systems
from papayapost.record.steps import (
    PageDraft,
    PageStep,
    ProposeVersion,
    RecordVersion,
    SeenVersion,
)
from papayapost.record.tables import RecordTables, VersionsSeen

__all__ = [
    "RECORD_KEY",
    "Attribution",
    "ChangeDetail",
    "ChangeEntry",
    "ChangeSet",
    "Operator",
    "PageDraft",
    "PageStep",
    "Proposal",
    "ProposalId",
    "ProposeVersion",
    "RecordPage",
    "RecordPart",
    "RecordTables",
    "RecordVersion",
    "RulesText",
    "SeenVersion",
    "SizedChanges",
    "StepDone",
    "StepFailed",
    "StepId",
    "StepWanted",
    "VersionsSeen",
    "build_record",
    "changes_between",
    "detail_key",
    "keeper_systems",
    "page_key",
]
