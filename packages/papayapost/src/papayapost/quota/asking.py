"""The system of an entry node that gets tokens for its calls.

Load pattern that it answers: each call of an account with a quota needs one
token, wherever the calls of the account arrive. A call pays one short message
each way, in its own region unless that has no lender.
"""

from papayapost.ids import Address, LeaseTerm, Micros, NodeId, QuotaPartition
from papayapost.kernel import System, Tick
from papayapost.membership import BackendServerRow, Directory
from papayapost.observe import Event, Noted
from papayapost.peering import PeerSend
from papayapost.place import SelfRow
from papayapost.quota.lenders import Lenders
from papayapost.quota.messages import (
    AskDue,
    NotLender,
    TokenDenied,
    TokenGrant,
    TokenGranted,
    TokenNeeded,
    TokenReturned,
    TokenSettled,
    TokenUnneeded,
    TokenUnused,
    TokenVerdict,
    TokenWanted,
)
from papayapost.quota.tables import (
    AskRow,
    AskState,
    QuotaTables,
    partition_of_account,
)

__all__ = ["AskLenders"]

_REGION_WAIT_US = 150_000
_ACROSS_WAIT_US = 450_000
"""Time for the answer of a lender in this region and in another one."""

_LATE_US = 500_000
"""Time for which a settled call stays in the table for a token that is late.
After that, a lender does not take the token back."""

_NOTE_INTERVAL_US = 10_000_000

_Batch = tuple[Address, QuotaPartition]
_ReturnKey = tuple[NodeId, QuotaPartition, LeaseTerm, Micros]


class AskLenders(System):
    """Asks lenders for tokens, and returns those that are not used.

    All calls of a tick that ask the same lender share a message.
    """

    consumes = (
        AskDue,
        NotLender,
        TokenDenied,
        TokenGranted,
        TokenNeeded,
        TokenUnneeded,
        TokenUnused,
    )

    def __init__(
        self, me: SelfRow, directory: Directory, tables: QuotaTables, lenders: Lenders
    ):
        self._me = me
        self._directory = directory
        self._tables = tables
        self._lenders = lenders
        self._requests: dict[_Batch, list[AskRow]] = {}
        self._returns: dict[_ReturnKey, list] = {}
        self._timer_us: Micros | None = None
        self._noted_us: dict[Event, Micros] = {}

    def run(self, tick: Tick) -> None:
        """Apply the answers, then ask for the calls that need a token."""
        self._apply_answers(tick)
        if tick.take(AskDue):
            self._end_waits(tick)
        for needed in tick.take(TokenNeeded):
            partition = partition_of_account(needed.account)
            row = AskRow(needed.call_id, needed.account, partition, needed.deadline_us)
            self._tables.asks.put(needed.call_id, row)
            self._tables.counters.calls += 1
            self._ask(tick, row)
        for unneeded in tick.take(TokenUnneeded):
            ended = self._tables.asks.get(unneeded.call_id)
            if ended is not None:
                ended.state = AskState.SETTLED
        for unused in tick.take(TokenUnused):
            self._return(unused.grant)
        if self._requests:
            self._send_requests(tick)
        if self._returns:
            self._send_returns(tick)

    def _apply_answers(self, tick: Tick) -> None:
        for granted in tick.take(TokenGranted):
            self._apply_grants(tick, granted)
        for denied in tick.take(TokenDenied):
            self._apply_denials(tick, denied)
        for refusal in tick.take(NotLender):
            self._ask_elsewhere(tick, refusal)

    def _ask(self, tick: Tick, row: AskRow, is_answered: bool = False) -> None:
        """Ask the next lender that may answer, or give up."""
        if tick.now_us >= row.deadline_us:
            self._settle(tick, row, TokenSettled(row.call_id, TokenVerdict.TOO_LATE))
            return
        node = self._lenders.choose(row.partition, row.asked, tick.now_us, is_answered)
        if node is None:
            self._tables.counters.no_lender += 1
            detail = f"partition {row.partition}"
            self._note_once(tick, Event.LENDERS_MISSING, detail)
            self._settle(tick, row, TokenSettled(row.call_id, TokenVerdict.NO_LENDER))
            return
        row.asked.append(node.node_id)
        row.due_us = Micros(min(tick.now_us + self._wait_us(node), row.deadline_us))
        self._set_timer(tick, row.due_us)
        batch = (node.peer_address, row.partition)
        self._requests.setdefault(batch, []).append(row)

    def _wait_us(self, node: BackendServerRow) -> int:
        is_near = self._lenders.is_own_region(node)
        return _REGION_WAIT_US if is_near else _ACROSS_WAIT_US

    def _send_requests(self, tick: Tick) -> None:
        me = self._me
        for (address, partition), rows in self._requests.items():
            calls = tuple((row.call_id, row.account) for row in rows)
            wanted = TokenWanted(
                me.node_id, me.peer_address, me.incarnation, partition, calls
            )
            self._send(tick, address, wanted)
        self._requests = {}

    def _send(self, tick: Tick, address: Address, message: object) -> None:
        """Send a message, or post it here if it is for this node."""
        if address == self._me.peer_address:
            tick.post(message)
        else:
            tick.emit(PeerSend(address, message))

    def _set_timer(self, tick: Tick, due_us: Micros) -> None:
        """Set the timer of all requests, unless it is due before."""
        if self._timer_us is None or due_us < self._timer_us:
            self._timer_us = due_us
            tick.set_timer("quota requests", due_us, AskDue())

    def _settle(self, tick: Tick, row: AskRow, settled: TokenSettled) -> None:
        """Tell the call, and stay ready for an answer that comes late."""
        if len(row.asked) <= 1 and settled.verdict is not TokenVerdict.TOO_LATE:
            self._tables.asks.pop(row.call_id)
        else:
            row.state = AskState.SETTLED
            row.due_us = Micros(tick.now_us + _LATE_US)
            self._set_timer(tick, row.due_us)
        tick.post(settled)

    def _apply_grants(self, tick: Tick, granted: TokenGranted) -> None:
        if granted.incarnation != self._me.incarnation:
            return
        self._lenders.record_answer(granted.sender, granted.partition)
        for call_id in granted.call_ids:
            row = self._tables.asks.get(call_id)
            if row is None:
                continue
            grant = TokenGrant(
                row.account,
                granted.sender,
                granted.partition,
                granted.term,
                granted.granted_us,
            )
            if row.state is AskState.SETTLED:
                self._return(grant)
                continue
            self._tables.counters.granted += 1
            settled = TokenSettled(call_id, TokenVerdict.GRANTED, grant)
            self._settle(tick, row, settled)

    def _apply_denials(self, tick: Tick, denied: TokenDenied) -> None:
        if denied.incarnation != self._me.incarnation:
            return
        self._lenders.record_answer(denied.sender, denied.partition)
        for call_id, retry_after_ms in denied.denials:
            row = self._tables.asks.get(call_id)
            if row is not None and row.state is AskState.WAITING:
                self._tables.counters.denied += 1
                verdict = TokenVerdict.DENIED
                settled = TokenSettled(call_id, verdict, None, retry_after_ms)
                self._settle(tick, row, settled)

    def _ask_elsewhere(self, tick: Tick, refusal: NotLender) -> None:
        """Ask another node for the calls of one that does not lend."""
        if refusal.incarnation != self._me.incarnation:
            return
        sender, partition = refusal.sender, refusal.partition
        asked: list[NodeId] = [sender]
        rows = (self._tables.asks.get(call_id) for call_id in refusal.call_ids)
        waiting = [
            row
            for row in rows
            if row is not None
            and row.state is AskState.WAITING
            and row.asked[-1] == sender
        ]
        if waiting:
            asked = waiting[0].asked
        self._lenders.record_not_lender(
            sender, partition, refusal.holder, asked, tick.now_us
        )
        for row in waiting:
            self._ask(tick, row, is_answered=True)

    def _end_waits(self, tick: Tick) -> None:
        """Ask elsewhere for calls whose lender has not answered in time."""
        self._timer_us = None
        next_us: Micros | None = None
        silent: set[tuple[NodeId, QuotaPartition]] = set()
        overdue: list[AskRow] = []
        for row in list(self._tables.asks):
            if tick.now_us < row.due_us:
                next_us = row.due_us if next_us is None else min(next_us, row.due_us)
            elif row.state is AskState.SETTLED:
                self._tables.asks.pop(row.call_id)
            else:
                overdue.append(row)
                if tick.now_us < row.deadline_us:
                    silent.add((row.asked[-1], row.partition))
        for node_id, partition in silent:
            self._lenders.record_silence(node_id, partition, tick.now_us)
            detail = f"partition {partition}"
            self._note_once(tick, Event.LENDER_SILENT, detail, node_id)
        for row in overdue:
            self._tables.counters.unanswered += 1
            self._ask(tick, row)
        if next_us is not None:
            self._set_timer(tick, next_us)

    def _note_once(
        self, tick: Tick, event: Event, detail: str, peer: NodeId | None = None
    ) -> None:
        """Log an event, at most once in an interval."""
        noted_us = self._noted_us.get(event)
        if noted_us is None or tick.now_us - noted_us >= _NOTE_INTERVAL_US:
            self._noted_us[event] = tick.now_us
            tick.emit(Noted(event, peer=peer, detail=detail))

    def _return(self, grant: TokenGrant) -> None:
        self._tables.counters.returned += 1
        key = (grant.lender, grant.partition, grant.term, grant.granted_us)
        self._returns.setdefault(key, []).append(grant.account)

    def _send_returns(self, tick: Tick) -> None:
        for (lender, partition, term, granted_us), names in self._returns.items():
            node = self._directory.get(lender)
            if node is not None:
                returned = TokenReturned(
                    self._me.node_id, partition, term, granted_us, tuple(names)
                )
                self._send(tick, node.peer_address, returned)
        self._returns = {}
