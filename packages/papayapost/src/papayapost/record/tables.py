"""Tables of the record of changes."""

from dataclasses import dataclass, field
from enum import Enum

from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.kernel import Table
from papayapost.record.changeset import RulesText
from papayapost.record.messages import OperationId
from papayapost.record.model import RecordPage
from papayapost.record.steps import ObservedVersion, PageDraft, PageOperation
from papayapost.storage import ObjectKey

__all__ = ["OperationRow", "PageRow", "PageState", "RecordTables", "VersionTables"]


class PageState(Enum):
    """Where a change of the newest page stands."""

    IDLE = "idle"
    READING = "reading"
    STORING_PARTS = "storing-parts"
    UPDATING = "updating"
    PAUSED = "paused"


@dataclass(slots=True)
class PageRow:
    """The newest page, while steps are brought into it.

    Parameters
    ----------
    version
        The store's version of the page that `draft` was made from.
    taken
        Steps that the draft holds.
    parts
        Details and archived pages that have to be stored before the draft.
    failures
        Failures of the store since it last answered.
    """

    state: PageState = PageState.IDLE
    version: int = 0
    draft: PageDraft = field(default_factory=lambda: PageDraft(RecordPage()))
    operation_ids: tuple[OperationId, ...] = ()
    parts: dict[ObjectKey, object] = field(default_factory=dict)
    failures: int = 0


@dataclass(slots=True)
class OperationRow:
    """A step that waits to be brought into the record."""

    operation_id: OperationId
    operation: PageOperation


class RecordTables:
    """What the keeper of the record works on.

    Attributes
    ----------
    max_failures
        Failures of the store in a row after which the steps are given up,
        or None to go on for ever.
    """

    def __init__(self, max_failures: int | None):
        self.operations: Table[OperationId, OperationRow] = Table("steps")
        self.page = PageRow()
        self.max_failures = max_failures


class VersionTables:
    """Versions of the rules object that a link relay has seen.

    Attributes
    ----------
    unrecorded
        Those that may still lack their entry, by version.
    is_due_set
        Whether a timer is set to record them.
    texts
        The newest valid texts, to compare later versions with.
    """

    def __init__(self):
        self.unrecorded: Table[RuleVersion, ObservedVersion] = Table("unrecorded")
        self.recent_texts: tuple[RulesText, ...] = ()
        self.newest_version = NO_VERSION
        self.is_grace_timer_set = False
