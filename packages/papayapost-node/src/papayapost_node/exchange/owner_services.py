"""Functions and settings that the backend calls of an owner node share."""

import sys
from collections.abc import Callable
from dataclasses import field

from papayapost.define import define
from papayapost.ids import AttemptId, InstanceId, NodeId
from papayapost_node.exchange.carrier_delivery import CarrierDelivery
from papayapost_node.exchange.dialect import Dialect, NativeDialect
from papayapost_node.exchange.pacing import BulkPacer
from papayapost_node.exchange.unsent_answers import UnsentAnswers
from papayapost_node.exchange.windows import WindowBudget

__all__ = ["OwnerServices"]


def _any_instance() -> InstanceId | None:
    return None


@define
class OwnerServices:
    """Functions and settings that every backend call of an owner node uses.

    Parameters
    ----------
    carrier_delivery
        Delivers messages to this node or to a peer.
    post
        Queues an input message for the next tick.
    free_slots
        Returns the number of free slots of the backend server.
    budget
        Memory budget that all flow-control windows of this node share.
    remove_call
        Removes a finished call from the table of running calls.
    dialect
        Reads and writes the headers of requests and answers.
    instance
        Returns the name of the only backend server process that may run a
        request; None for any.
    hold_bytes
        Largest answer, in bytes, that is held until it is whole before it is
        sent to the entry node; 0 if no answer is held.
    pacer
        Limits the rate of large answers on the link of this VM.
    unsent
        Bounds the memory for answers that their callers do not read.
    """

    node_id: NodeId
    carrier_delivery: CarrierDelivery
    post: Callable[[object], None]
    free_slots: Callable[[], int]
    budget: WindowBudget
    remove_call: Callable[[AttemptId], None]
    dialect: Dialect = field(default_factory=NativeDialect)
    instance: Callable[[], InstanceId | None] = _any_instance
    hold_bytes: int = 0
    pacer: BulkPacer = field(default_factory=lambda: BulkPacer(0))
    unsent: UnsentAnswers = field(default_factory=lambda: UnsentAnswers(sys.maxsize))
