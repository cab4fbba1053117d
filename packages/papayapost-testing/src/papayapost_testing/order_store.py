"""Roll-out orders of a simulated store, with the calls that nodes make."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from papayapost.define import define
from papayapost.ids import Address, Micros, StoreEra
from papayapost.storage import (
    OrderObject,
    OrderSpec,
    OrdersRead,
    OrderStatus,
    OrdersUnread,
    StatusConflicted,
    StatusUncertain,
    StatusWritten,
    StoreEraChanged,
    StoreVersion,
    UnwatchOrders,
    WatchOrders,
    WriteOrderStatus,
    era_of,
    revision_of,
    version_at,
)
from papayapost_testing.roster_store import StorePath

__all__ = ["OrderStore", "OrdersCopy"]

_DELAY_US = 4_000
_TIMEOUT_US = 700_000
_WAIT_US = 700_000
_RELIST_PAUSE_US = 100_000
_NO_ERA = StoreEra(0)


@define(frozen=True)
class OrdersCopy:
    """What a store held at a time, to come back from."""

    orders: dict[str, OrderObject]
    revision: int


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
    era
        Era of the store; 0 if it names none.
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
    era: StoreEra = _NO_ERA
    heard_eras: dict[Address, StoreEra] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version of the newest change."""
        return version_at(self.era, self.revision)

    def copy(self) -> OrdersCopy:
        """Return what the store holds now."""
        return OrdersCopy(dict(self.orders), self.revision)

    def come_back_from(self, copy: OrdersCopy, revision: int | None = None) -> None:
        """Go back to a copy, in a new era.

        Parameters
        ----------
        revision
            Revision from which the store goes on; that of the copy if None.
        """
        self.era = StoreEra(self.era + 1)
        self.revision = copy.revision if revision is None else revision
        self.removed.clear()
        self.orders = {
            name: replace(
                found,
                revision=version_at(
                    self.era, revision_of(StoreVersion(found.revision))
                ),
            )
            for name, found in copy.orders.items()
        }
        for address, watch in self.watches.items():
            if watch.is_waiting:
                watch.is_waiting = False
                self._list_later(address, watch)

    def _list_later(self, address: Address, watch: _WatchRow) -> None:
        """List the orders after a pause, as the history of a watch is gone."""

        def list_orders() -> None:
            if self.watches.get(address) is watch:
                self._list(address, watch)

        self.call_later(_RELIST_PAUSE_US, list_orders)

    def put(
        self, name: str, spec: OrderSpec | None, status: OrderStatus | None = None
    ) -> OrderObject:
        """Write an order as the operator does."""
        self.revision += 1
        fault = "" if spec else "it does not decode"
        found = OrderObject(name, self.version, spec, status, fault)
        self.orders[name] = found
        self._tell_watches()
        return found

    def remove(self, name: str) -> None:
        """Remove an order."""
        del self.orders[name]
        self.revision += 1
        self.removed[name] = self.version
        self._tell_watches()

    def forget(self, address: Address) -> None:
        """End the watch of a process that is gone."""
        self.watches.pop(address, None)
        self.heard_eras.pop(address, None)

    def apply_effect(self, address: Address, effect: object) -> bool:
        """Process an effect of a node if it concerns orders."""
        if isinstance(effect, WatchOrders):
            self.watchers.add(address)
            watch = self.watches[address] = _WatchRow()
            self._list(address, watch)
        elif isinstance(effect, UnwatchOrders):
            self.watches.pop(address, None)
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
        watch.known_revision = self.version
        orders = tuple(self.orders.values())
        read = OrdersRead(orders, (), True, Micros(watch.asked_us))
        self._answer(address, watch, read)

    def _answer(self, address: Address, watch: _WatchRow, read: OrdersRead) -> None:
        era = self.era

        def answer() -> None:
            if self.watches.get(address) is watch:
                self._tell_era(address, era)
            if self.watches.get(address) is watch:
                self.deliver(address, read)
            if self.watches.get(address) is watch:
                self._poll(address, watch)

        self.call_later(_DELAY_US, answer)

    def _tell_era(self, address: Address, era: StoreEra) -> None:
        """Tell a node of an era before the first answer of that era."""
        heard = self.heard_eras.get(address)
        if heard is None or era > heard:
            self.heard_eras[address] = era
            if heard is not None:
                self.deliver(address, StoreEraChanged(heard, era))

    def _poll(self, address: Address, watch: _WatchRow) -> None:
        watch.asked_us = self.clock()
        if self._path(address) is not StorePath.OPEN:
            self._end(address, watch)
        elif era_of(StoreVersion(watch.known_revision)) != self.era:
            self._list_later(address, watch)
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
        watch.known_revision = self.version
        read = OrdersRead(changed, removed, False, Micros(watch.asked_us))
        self._answer(address, watch, read)
        return True

    def _write(self, address: Address, write: WriteOrderStatus) -> None:
        name = write.name
        if self._path(address) is not StorePath.OPEN:
            self._fail(address, StatusUncertain(name, "no answer"))
            return
        found = self.orders.get(name)
        era, heard = self.era, self.heard_eras.get(address, self.era)
        current = 0 if found is None else found.revision
        expected = StoreVersion(write.revision)
        answer: object = StatusConflicted(name, current)
        # A client that has not heard of the era sends the revision alone.
        is_sent = era_of(expected) == heard
        is_met = revision_of(StoreVersion(current)) == revision_of(expected)
        if found is not None and is_sent and is_met:
            self.revision += 1
            found = replace(found, revision=self.version, status=write.status)
            self.orders[name] = found
            self._tell_watches()
            self.on_status(found)
            answer = StatusWritten(name, self.version)
        if is_sent and heard != era:
            answer = StatusUncertain(name, "the store came back from a copy")
        if self.loses_answers:
            lost = StatusUncertain(name, "no answer")
            self.call_later(_TIMEOUT_US, lambda: self.deliver(address, lost))
        else:

            def tell() -> None:
                self._tell_era(address, era)
                self.deliver(address, answer)

            self.call_later(_DELAY_US, tell)
