"""Roll-out orders of a simulated store, with the calls that nodes make."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from papayapost.ids import Address, Micros
from papayapost.storage import (
    OrderObject,
    OrderSpec,
    OrdersRead,
    OrderStatus,
    OrdersUnread,
    StatusConflicted,
    StatusUncertain,
    StatusWritten,
    UnwatchOrders,
    WatchOrders,
    WriteOrderStatus,
)
from papayapost_testing.roster_store import StorePath

__all__ = ["OrderStore"]

_DELAY_US = 4_000
_TIMEOUT_US = 700_000
_WAIT_US = 700_000


@dataclass(slots=True)
class _WatchRow:
    """A node's watch of the orders."""

    known_revision: int = 0
    asked_us: int = 0
    is_waiting: bool = False


@dataclass(slots=True)
class OrderStore:
    """Answers the effects of all nodes on orders.

    Attributes
    ----------
    paths
        State of the way to the store by node; open if absent.
    loses_answers
        Whether writes take effect, but get no answer.
    on_status
        Called with each order whose status was written.
    """

    clock: Callable[[], int]
    call_later: Callable[[int, Callable[[], None]], None]
    deliver: Callable[[Address, object], None]
    on_status: Callable[[OrderObject], None]
    paths: dict[Address, StorePath] = field(default_factory=dict)
    loses_answers: bool = False
    orders: dict[str, OrderObject] = field(default_factory=dict)
    revision: int = 100
    watches: dict[Address, _WatchRow] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    watchers: set[Address] = field(default_factory=set)

    def put(
        self, name: str, spec: OrderSpec | None, status: OrderStatus | None = None
    ) -> OrderObject:
        """Write an order as the operator does."""
        self.revision += 1
        fault = "" if spec else "it does not decode"
        found = OrderObject(name, self.revision, spec, status, fault)
        self.orders[name] = found
        self._tell_watches()
        return found

    def remove(self, name: str) -> None:
        """Remove an order."""
        del self.orders[name]
        self.revision += 1
        self.removed[name] = self.revision
        self._tell_watches()

    def forget(self, address: Address) -> None:
        """End the watch of a process that is gone."""
        self.watches.pop(address, None)

    def apply_effect(self, address: Address, effect: object) -> bool:
        """Process an effect of a node if it concerns orders."""
        if isinstance(effect, WatchOrders):
            self.watchers.add(address)
            watch = self.watches[address] = _WatchRow()
            self._list(address, watch)
        elif isinstance(effect, UnwatchOrders):
            self.forget(address)
        elif isinstance(effect, WriteOrderStatus):
            self._write(address, effect)
        else:
            return False
        return True

    def _path(self, address: Address) -> StorePath:
        return self.paths.get(address, StorePath.OPEN)

    def _fail(self, address: Address, failure: object) -> None:
        is_silent = self._path(address) is StorePath.SILENT
        delay_us = _TIMEOUT_US if is_silent else _DELAY_US
        self.call_later(delay_us, lambda: self.deliver(address, failure))

    def _list(self, address: Address, watch: _WatchRow) -> None:
        watch.asked_us = self.clock()
        if self._path(address) is not StorePath.OPEN:
            self._end(address, watch)
            return
        watch.known_revision = self.revision
        orders = tuple(self.orders.values())
        read = OrdersRead(orders, (), True, Micros(watch.asked_us))
        self._answer(address, watch, read)

    def _answer(self, address: Address, watch: _WatchRow, read: OrdersRead) -> None:
        def answer() -> None:
            if self.watches.get(address) is watch:
                self.deliver(address, read)
            if self.watches.get(address) is watch:
                self._poll(address, watch)

        self.call_later(_DELAY_US, answer)

    def _poll(self, address: Address, watch: _WatchRow) -> None:
        watch.asked_us = self.clock()
        if self._path(address) is not StorePath.OPEN:
            self._end(address, watch)
        elif not self._tell(address, watch):
            watch.is_waiting = True
            asked_us = watch.asked_us
            self.call_later(_WAIT_US, lambda: self._end_wait(address, watch, asked_us))

    def _end_wait(self, address: Address, watch: _WatchRow, asked_us: int) -> None:
        if not watch.is_waiting or watch.asked_us != asked_us:
            return
        if self.watches.get(address) is not watch:
            return
        watch.is_waiting = False
        if self._path(address) is not StorePath.OPEN:
            self._end(address, watch)
        else:
            read = OrdersRead((), (), False, Micros(watch.asked_us))
            self._answer(address, watch, read)

    def _end(self, address: Address, watch: _WatchRow) -> None:
        if self.watches.get(address) is watch:
            del self.watches[address]
        self._fail(address, OrdersUnread("no answer"))

    def _tell_watches(self) -> None:
        for address, watch in list(self.watches.items()):
            if watch.is_waiting and self._path(address) is StorePath.OPEN:
                self._tell(address, watch)

    def _tell(self, address: Address, watch: _WatchRow) -> bool:
        """Answer a watch if there are changes; return whether there are."""
        known = watch.known_revision
        changed = tuple(o for o in self.orders.values() if o.revision > known)
        removed = tuple(name for name, at in self.removed.items() if at > known)
        if not changed and not removed:
            return False
        watch.is_waiting = False
        watch.known_revision = self.revision
        read = OrdersRead(changed, removed, False, Micros(watch.asked_us))
        self._answer(address, watch, read)
        return True

    def _write(self, address: Address, write: WriteOrderStatus) -> None:
        name = write.name
        if self._path(address) is not StorePath.OPEN:
            self._fail(address, StatusUncertain(name, "no answer"))
            return
        found = self.orders.get(name)
        if found is None or found.revision != write.revision:
            current = 0 if found is None else found.revision
            answer: object = StatusConflicted(name, current)
        else:
            self.revision += 1
            found = replace(found, revision=self.revision, status=write.status)
            self.orders[name] = found
            self._tell_watches()
            self.on_status(found)
            answer = StatusWritten(name, self.revision)
        if self.loses_answers:
            lost = StatusUncertain(name, "no answer")
            self.call_later(_TIMEOUT_US, lambda: self.deliver(address, lost))
        else:
            self.call_later(_DELAY_US, lambda: self.deliver(address, answer))
