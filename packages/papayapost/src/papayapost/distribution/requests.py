"""Systems that request rules from the parent and fetch snapshots."""

from papayapost.distribution.backoff import jittered_backoff_us
from papayapost.distribution.messages import (
    CatchUpDue,
    FetchDue,
    RequestDue,
    TextOffered,
)
from papayapost.distribution.peer_messages import (
    ChunkRequest,
    RulesBusy,
    RulesChunk,
    RulesDelta,
    RulesGone,
    RulesNotice,
    RulesRequest,
)
from papayapost.distribution.rules_table import RulesTable
from papayapost.distribution.tables import FetchRow, RulesRequestTable
from papayapost.errors import SnapshotRefused
from papayapost.ids import Address, Micros
from papayapost.kernel import System, Tick
from papayapost.membership import ParentChanged, ParentVersionChanged, TreeTables
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.rules import rules_digest

__all__ = ["FetchSnapshots", "RequestFromParent"]

_REQUEST_RETRY_US = 1_000_000
_REQUEST_RETRY_MAX_US = 8_000_000
_CATCH_UP_US = 800_000
"""Longest wait for a push after a heartbeat shows a newer version."""

_RECHECK_US = 40_000_000
"""Bound of the pause between an answer and the next routine request."""

_CHUNK_RETRY_US = 2_000_000
_CHUNK_RETRY_MAX_US = 16_000_000
_MAX_CHUNK_FAILURES = 4
_MAX_RETRY_AFTER_US = 600_000_000


_PARENT_ANSWERS: tuple[type, ...] = (RulesNotice, RulesDelta)


class RequestFromParent(System):
    """Requests from the parent any version newer than the held one.

    The node sends a request on every change of parent and repeats it with a
    back-off until an answer arrives. Afterwards it sends a request every 20 s
    to 40 s, so that a lost message delays a version for a bounded time.
    """

    consumes = (
        ParentChanged,
        ParentVersionChanged,
        CatchUpDue,
        RequestDue,
        RulesNotice,
        RulesDelta,
    )

    def __init__(
        self,
        me: SelfRow,
        rules: RulesTable,
        requests: RulesRequestTable,
        tree: TreeTables,
    ):
        self._me = me
        self._rules = rules
        self._requests = requests
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Reset the back-off after an answer; send requests that are due."""
        if any(tick.take(kind) for kind in _PARENT_ANSWERS):
            self._requests.failures = 0
            self._schedule(tick, _RECHECK_US, _RECHECK_US)
        for seen in tick.take(ParentVersionChanged):
            self._schedule_catch_up(tick, seen)
        if tick.take(ParentChanged):
            self._requests.failures = 0
            self._send_request(tick)
        elif tick.take(RequestDue) or self._is_catch_up_due(tick):
            self._send_request(tick)

    def _schedule_catch_up(self, tick: Tick, seen: ParentVersionChanged) -> None:
        # The parent usually has already pushed the version that its heartbeat
        # shows. The node waits for the push before it sends a request.
        if seen.version > self._rules.held_version:
            pause_us = tick.random.randint(_CATCH_UP_US // 2, _CATCH_UP_US)
            due_us = Micros(tick.now_us + pause_us)
            tick.set_timer(CatchUpDue, due_us, CatchUpDue())

    def _is_catch_up_due(self, tick: Tick) -> bool:
        parent, fetch = self._tree.parent, self._requests.fetch
        if not tick.take(CatchUpDue) or parent is None or fetch is not None:
            return False
        return parent.version > self._rules.held_version

    def _send_request(self, tick: Tick) -> None:
        parent = self._tree.parent
        if parent is None:
            tick.cancel_timer(RequestDue)
            return
        rules = self._rules
        request = RulesRequest(
            self._me.node_id,
            self._me.peer_address,
            rules.held_version,
            rules.held_digest,
        )
        tick.emit(PeerSend(parent.address, request))
        self._schedule(tick, _REQUEST_RETRY_US, _REQUEST_RETRY_MAX_US)
        self._requests.failures += 1

    def _schedule(self, tick: Tick, least_us: int, most_us: int) -> None:
        pause_us = jittered_backoff_us(
            tick.random, self._requests.failures, least_us, most_us
        )
        tick.set_timer(RequestDue, Micros(tick.now_us + pause_us), RequestDue())


class FetchSnapshots(System):
    """Fetches a whole rules text in chunks, one request per chunk."""

    consumes = (RulesNotice, RulesChunk, RulesBusy, RulesGone, FetchDue)

    def __init__(
        self,
        me: SelfRow,
        rules: RulesTable,
        requests: RulesRequestTable,
        tree: TreeTables,
    ):
        self._me = me
        self._rules = rules
        self._requests = requests
        self._tree = tree

    def run(self, tick: Tick) -> None:
        """Start, continue, retry or abandon the fetch."""
        for notice in tick.take(RulesNotice):
            self._start_fetch(tick, notice)
        for chunk in tick.take(RulesChunk):
            self._receive_chunk(tick, chunk)
        for busy in tick.take(RulesBusy):
            pause_us = min(max(busy.retry_after_us, 0), _MAX_RETRY_AFTER_US)
            self._schedule(tick, pause_us)
        for gone in tick.take(RulesGone):
            self._abandon_fetch(tick, gone)
        if tick.take(FetchDue):
            self._retry_fetch(tick)

    def _abandon_fetch(self, tick: Tick, gone: RulesGone) -> None:
        fetch = self._requests.fetch
        if fetch is not None and fetch.version == gone.version:
            self._end_fetch(tick)
            tick.post(RequestDue())

    def _start_fetch(self, tick: Tick, notice: RulesNotice) -> None:
        if not self._is_wanted(notice):
            return
        max_bytes = self._rules.max_bytes
        if notice.size_bytes > max_bytes:
            self._refuse(
                tick,
                notice,
                f"version {notice.version} is announced with {notice.size_bytes} "
                f"bytes, the limit is {max_bytes}; split the rules file",
            )
            return
        fetch = self._requests.fetch
        if fetch is None or fetch.digest != notice.digest:
            if fetch is not None and fetch.received:
                # A transfer that has received bytes is completed first. The
                # parent then sends the later changes as one delta.
                return
            self._requests.fetch = FetchRow(
                notice.sender, notice.version, notice.digest, notice.size_bytes
            )
        self._send_request(tick)

    def _is_wanted(self, notice: RulesNotice) -> bool:
        refused = self._rules.refused
        is_refused = refused is not None and refused.version == notice.version
        return notice.version > self._rules.held_version and not is_refused

    def _receive_chunk(self, tick: Tick, chunk: RulesChunk) -> None:
        fetch = self._requests.fetch
        if fetch is None or (chunk.version, chunk.digest) != (
            fetch.version,
            fetch.digest,
        ):
            return
        if chunk.offset_bytes != len(fetch.received):
            return
        fetch.failures = 0
        fetch.received += chunk.data
        received_bytes = len(fetch.received)
        if received_bytes > fetch.size_bytes or (
            not chunk.data and received_bytes < fetch.size_bytes
        ):
            self._end_fetch(tick)
            self._refuse(
                tick,
                chunk,
                f"a chunk of {len(chunk.data)} bytes at offset {chunk.offset_bytes} "
                f"does not fit a text of {fetch.size_bytes} bytes; the node requests "
                "the text again",
            )
        elif received_bytes == fetch.size_bytes:
            self._complete_fetch(tick, fetch, chunk)
        else:
            self._send_request(tick)

    def _complete_fetch(self, tick: Tick, fetch: FetchRow, chunk: RulesChunk) -> None:
        self._end_fetch(tick)
        try:
            text = fetch.received.decode()
        except UnicodeDecodeError:
            text = ""
        if rules_digest(text) != fetch.digest:
            reason = f"the text of version {fetch.version} does not match its digest"
            self._refuse(tick, chunk, f"{reason}; the node requests it again")
            return
        tick.post(TextOffered(fetch.version, text))
        tick.post(RequestDue())

    def _retry_fetch(self, tick: Tick) -> None:
        fetch = self._requests.fetch
        if fetch is None:
            return
        if fetch.failures >= _MAX_CHUNK_FAILURES or self._address_of(fetch) is None:
            self._end_fetch(tick)
            tick.post(RequestDue())
            return
        fetch.failures += 1
        self._send_request(tick)

    def _send_request(self, tick: Tick) -> None:
        fetch = self._requests.fetch
        address = self._address_of(fetch) if fetch is not None else None
        if fetch is None or address is None:
            return
        request = ChunkRequest(
            self._me.node_id,
            self._me.peer_address,
            fetch.version,
            fetch.digest,
            len(fetch.received),
        )
        tick.emit(PeerSend(address, request))
        pause_us = jittered_backoff_us(
            tick.random, fetch.failures, _CHUNK_RETRY_US, _CHUNK_RETRY_MAX_US
        )
        self._schedule(tick, pause_us)

    def _address_of(self, fetch: FetchRow) -> Address | None:
        child = self._tree.children.get(fetch.source)
        if child is not None:
            return child.address
        parent = self._tree.parent
        return parent.address if parent is not None else None

    def _schedule(self, tick: Tick, pause_us: int) -> None:
        tick.set_timer(FetchDue, Micros(tick.now_us + pause_us), FetchDue())

    def _end_fetch(self, tick: Tick) -> None:
        self._requests.fetch = None
        tick.cancel_timer(FetchDue)

    def _refuse(
        self, tick: Tick, message: RulesNotice | RulesChunk, reason: str
    ) -> None:
        error = SnapshotRefused(reason)
        event = Event.RULES_SNAPSHOT_REFUSED
        peer = message.sender
        tick.emit(Noted(event, version=message.version, peer=peer, detail=str(error)))
        due_us = Micros(tick.now_us + _CHUNK_RETRY_US)
        tick.set_timer(RequestDue, due_us, RequestDue())
