"""Tables of the systems that write the change record."""

from dataclasses import field
from enum import Enum

from papayapost.define import define
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.kernel import Table
from papayapost.record.changeset import RulesText
from papayapost.record.messages import OperationId
from papayapost.record.model import RecordPage
from papayapost.record.page_operations import ObservedVersion, PageDraft, PageOperation
from papayapost.storage import ObjectKey

__all__ = [
    "OperationRow",
    "PageUpdateRow",
    "PageUpdateState",
    "RecordTables",
    "VersionTables",
]


class PageUpdateState(Enum):
    """States of an update of the newest page.

    Attributes
    ----------
    IDLE
        No operation is in progress.
    READING
        The page is being read.
    STORING_PARTS
        The objects that the draft refers to are being stored.
    UPDATING
        The conditional update of the page was sent.
    PAUSED
        A timer is set to start again after a failure or a conflict.
    """

    IDLE = "idle"
    READING = "reading"
    STORING_PARTS = "storing-parts"
    UPDATING = "updating"
    PAUSED = "paused"


@define
class PageUpdateRow:
    """Update of the newest page in progress.

    Parameters
    ----------
    state
        State of the update.
    version
        The store's version of the page that `draft` was made from.
    draft
        Page with the operations applied.
    operation_ids
        Ids of the operations that were applied to the draft.
    parts
        Details and archived pages that must be stored before the draft, and
        are not stored yet.
    failures
        Number of failures and conflicts since the last finished update.
    """

    state: PageUpdateState = PageUpdateState.IDLE
    version: int = 0
    draft: PageDraft = field(default_factory=lambda: PageDraft(RecordPage()))
    operation_ids: tuple[OperationId, ...] = ()
    parts: dict[ObjectKey, object] = field(default_factory=dict)
    failures: int = 0


@define
class OperationRow:
    """An operation that waits for the update of the newest page."""

    operation_id: OperationId
    operation: PageOperation


class RecordTables:
    """Tables of the systems that apply operations to the newest page.

    Parameters
    ----------
    max_failures
        Number of failures and conflicts in a row after which the waiting
        operations fail; None to retry without end.

    Attributes
    ----------
    operations
        Operations that are waiting or in progress, by id.
    page
        Update of the newest page in progress.
    """

    def __init__(self, max_failures: int | None):
        self.operations: Table[OperationId, OperationRow] = Table("operations")
        self.page = PageUpdateRow()
        self.max_failures = max_failures


class VersionTables:
    """Versions of the rules object that a link relay has observed.

    Attributes
    ----------
    unrecorded
        Observed versions that may have no record entry yet, by version.
    recent_texts
        Texts of the newest versions, with which later ones are compared.
    newest_version
        Highest version observed so far; 0 if none was.
    is_grace_timer_set
        Whether the timer that ends the grace period is set.
    """

    def __init__(self):
        self.unrecorded: Table[RuleVersion, ObservedVersion] = Table("unrecorded")
        self.recent_texts: tuple[RulesText, ...] = ()
        self.newest_version = NO_VERSION
        self.is_grace_timer_set = False
