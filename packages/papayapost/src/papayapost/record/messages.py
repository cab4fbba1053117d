"""Messages between the systems that write the change record."""

from typing import NewType

from papayapost.define import define
from papayapost.record.model import RecordPage
from papayapost.record.page_operations import PageOperation

__all__ = [
    "GracePeriodEnded",
    "OperationDone",
    "OperationFailed",
    "OperationId",
    "OperationRequested",
    "PageReadDue",
    "RulesReadDue",
]

OperationId = NewType("OperationId", str)
"""Id of an operation, by which the requesting system finds the result."""


@define
class OperationRequested:
    """Internal: request to apply an operation to the newest record page.

    Parameters
    ----------
    operation_id
        Id that the result will carry; a waiting operation with the same id is
        replaced.
    operation
        Operation to apply.
    """

    operation_id: OperationId
    operation: PageOperation


@define
class OperationDone:
    """Internal: the record in the store holds the operation's result.

    Parameters
    ----------
    operation_id
        Id of the operation, as its request gave it.
    page
        Newest page of the record after the operation.
    has_changed
        Whether the page was updated in the store; False if the page already
        held the results of all operations of the batch.
    """

    operation_id: OperationId
    page: RecordPage
    has_changed: bool


@define
class OperationFailed:
    """Internal: the store failed too often for the operation to complete.

    The record may hold the operation's result all the same, since an update
    that was not answered may have taken effect.

    Parameters
    ----------
    operation_id
        Id of the operation, as its request gave it.
    reason
        Reason of the store's last failure.
    """

    operation_id: OperationId
    reason: str


@define
class PageReadDue:
    """Timer: read the newest page, to apply the waiting operations to it."""


@define
class RulesReadDue:
    """Timer: read the rules object again after a failed read."""


@define
class GracePeriodEnded:
    """Timer: the grace period is over; record the observed versions."""
