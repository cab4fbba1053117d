"""An object store stand-in for a simulated mesh."""

from collections.abc import Callable

from papayapost.ids import Address
from papayapost.storage import (
    ObjectKey,
    ObjectRead,
    ObjectUpdated,
    ReadObject,
    StoreReadFailed,
    UpdateConflicted,
    UpdateObject,
    UpdateOutcomeUnknown,
    WatchObject,
)

__all__ = ["SimulatedStore"]


class SimulatedStore:
    """An object store in memory that answers effects with messages.

    Parameters
    ----------
    post
        Delivers an answer to the node at an address.

    Attributes
    ----------
    unreachable
        Addresses of nodes that cannot reach the store: their reads and
        updates fail, and their watches get no answer.
    loses_replies
        Whether the reply to an update that took effect is lost, so that the
        node gets an unknown outcome.
    writes
        Number of updates that took effect.
    """

    def __init__(self, post: Callable[[Address, object], None]):
        self._post = post
        self.objects: dict[ObjectKey, tuple[int, object]] = {}
        self.unreachable: set[Address] = set()
        self.loses_replies = False
        self.writes = 0
        self._watches: dict[tuple[Address, ObjectKey], int] = {}

    def apply_effect(self, address: Address, effect: object) -> None:
        """Process an effect of a node if it is a store call."""
        if isinstance(effect, WatchObject):
            self._watches[address, effect.key] = effect.after_version
            self._answer_watches()
        elif isinstance(effect, ReadObject):
            self._post(address, self._read(address, effect))
        elif isinstance(effect, UpdateObject):
            self._post(address, self._update(address, effect))
            self._answer_watches()

    def _read(self, address: Address, read: ReadObject) -> object:
        if address in self.unreachable:
            return StoreReadFailed(read.key, "no answer", read.request_id)
        version, value = self.objects.get(read.key, (0, None))
        return ObjectRead(read.key, version, value, read.request_id)

    def _update(self, address: Address, update: UpdateObject) -> object:
        key, request_id = update.key, update.request_id
        if address in self.unreachable:
            return UpdateOutcomeUnknown(key, request_id, "no answer")
        version = self.objects.get(key, (0, None))[0]
        if version != update.expected_version:
            return UpdateConflicted(key, request_id, version)
        self.writes += 1
        self.objects[key] = (version + 1, update.value)
        if self.loses_replies:
            return UpdateOutcomeUnknown(key, request_id, "the reply was lost")
        return ObjectUpdated(key, request_id, version + 1)

    def _answer_watches(self) -> None:
        for (address, key), known_version in list(self._watches.items()):
            version, value = self.objects.get(key, (0, None))
            if version != known_version and address not in self.unreachable:
                del self._watches[address, key]
                self._post(address, ObjectRead(key, version, value))
