"""The change record: who changed which rule of the mesh, and when.

The record is kept in the object store. The operators' tool writes an entry
for each rules text that it applies; a link relay adds the entries that are
still missing.
"""

from papayapost.record.changeset import (
    RulesText,
    StoredChanges,
    changes_between,
)
from papayapost.record.messages import (
    OperationDone,
    OperationFailed,
    OperationId,
    OperationRequested,
)
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
from papayapost.record.page_operations import (
    ObservedVersion,
    PageDraft,
    PageOperation,
    ProposeVersion,
    RecordVersion,
)
from papayapost.record.part import RecordPart, build_record, page_systems
from papayapost.record.tables import RecordTables, VersionTables

__all__ = [
    "RECORD_KEY",
    "Attribution",
    "ChangeDetail",
    "ChangeEntry",
    "ChangeSet",
    "ObservedVersion",
    "OperationDone",
    "OperationFailed",
    "OperationId",
    "OperationRequested",
    "Operator",
    "PageDraft",
    "PageOperation",
    "Proposal",
    "ProposalId",
    "ProposeVersion",
    "RecordPage",
    "RecordPart",
    "RecordTables",
    "RecordVersion",
    "RulesText",
    "StoredChanges",
    "VersionTables",
    "build_record",
    "changes_between",
    "detail_key",
    "page_key",
    "page_systems",
]
